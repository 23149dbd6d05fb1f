// Guards against a part of an answer that is passed on as complete: an upstream
// that crashes while it is still being sent a long request resets the
// connection, and that reset is reported to the write instead of the read.
#include "tests/platform/gateway_fixture.hpp"

namespace poplar::gateway
{
namespace
{

/// More than the buffers of two sockets hold, so that the request is still
/// being written when its answer ends.
constexpr std::size_t long_body = std::size_t(16) << 20;

enum class ending
{
    resets,
    closes, ///< Resets too, since bytes of the request are unread.
    closes_own_side,
    closes_own_side_and_resets
};

/// The upstream sends a signed head with `fields`, then the parts of the body.
struct early_answer
{
    const char* name;
    std::string fields;
    std::vector<std::string> body;
    ending end;
    bool is_complete;
};

scripted_answer make_answer(const early_answer& c, const std::string& id)
{
    return {.bytes = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                     "\r\nResponse-Seal: s\r\n" + c.fields + "\r\n",
            .closes = c.end == ending::closes,
            .resets_after = c.end == ending::resets ||
                            c.end == ending::closes_own_side_and_resets,
            .closes_own_side = c.end == ending::closes_own_side ||
                               c.end == ending::closes_own_side_and_resets,
            .pieces = c.body,
            .pause = milliseconds(50)};
}

class early_answer_test : public gateway_test,
                          public testing::WithParamInterface<early_answer>
{
protected:
    void start_with(scripted_upstream& u, const char* service,
                    const char* stage)
    {
        u.answer_before_body();
        json config = configuration_json(1);
        config["limits"]["maxBodyBytes"] = 2 * long_body;
        put("config/main", config);
        add_upstream("i-1", u.address(), service, stage);
        start_without_configuration();
        wait_until_ready();
    }

    static std::string long_request(const std::string& path,
                                    const std::string& fields = "")
    {
        std::string text =
            request(path, "1",
                    fields + "Content-Length: " + std::to_string(long_body) +
                        "\r\n") +
            std::string(long_body, 'x');
        return "POST" + text.substr(text.find(' '));
    }

    static scripted_answer answer(const std::string& head)
    {
        if (head.starts_with("GET /kv-list"))
            return {.bytes = whole_answer(404, "", "", "Connection: close\r\n"),
                    .closes = true};
        return make_answer(GetParam(), field_of(head, "Attempt-Id"));
    }
};

class early_call : public early_answer_test
{
};

TEST_P(early_call, is_answered_only_if_the_end_was_no_reset)
{
    scripted_upstream u(&early_call::answer);
    start_with(u, "desk", "");
    const std::string text =
        fetch(long_request("/once/x"),
              GetParam().is_complete ? "end of answer" : "\r\n\r\n");
    EXPECT_EQ(status_of(text), GetParam().is_complete ? "200" : "502");
    EXPECT_EQ(text.ends_with("the end of answer"), GetParam().is_complete);
}

const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string text = "the end of answer";

INSTANTIATE_TEST_SUITE_P(
    endings, early_call,
    testing::Values(
        early_answer{"reset", "", {"the end "}, ending::resets, false},
        early_answer{"reset_without_body", "", {""}, ending::resets, false},
        early_answer{"closed", "", {"the end "}, ending::closes, false},
        early_answer{"own_side",
                     "",
                     {"the end ", "of answer"},
                     ending::closes_own_side,
                     true},
        early_answer{"own_side_then_reset",
                     "",
                     {text},
                     ending::closes_own_side_and_resets,
                     true},
        early_answer{
            "length", "Content-Length: 17\r\n", {text}, ending::resets, true},
        early_answer{
            "short", "Content-Length: 18\r\n", {text}, ending::resets, false},
        early_answer{"chunks",
                     chunked,
                     {chunk(text) + "0\r\n\r\n"},
                     ending::resets,
                     true},
        early_answer{
            "no_last_chunk", chunked, {chunk(text)}, ending::resets, false}),
    [](const auto& it) { return it.param.name; });

class early_stream : public early_answer_test
{
};

TEST_P(early_stream, ends_whole_only_if_the_end_was_no_reset)
{
    scripted_upstream u(&early_stream::answer);
    start_with(u, "writers", "decode");
    scripted_caller c(gateway_->address());
    c.send(long_request("/stream/x", "Model: m\r\nToken-Count: 100,20\r\n"
                                     "Prompt-Prefix: aa:60,bb:40\r\n"));
    const std::string text = c.read_until("\r\n0\r\n\r\n");
    EXPECT_NE(text.find("id: 2\n\n"), std::string::npos) << text;
    EXPECT_EQ(text.ends_with("\r\n0\r\n\r\n"), GetParam().is_complete);
}

const std::string events = "id: 1\n\nid: 2\n\n";

INSTANTIATE_TEST_SUITE_P(
    endings, early_stream,
    testing::Values(
        early_answer{"reset", "", {events}, ending::resets, false},
        early_answer{"closed", "", {events}, ending::closes, false},
        early_answer{"own_side", "", {events}, ending::closes_own_side, true},
        early_answer{"own_side_then_reset",
                     "",
                     {events},
                     ending::closes_own_side_and_resets,
                     true},
        early_answer{"chunks",
                     chunked,
                     {chunk(events) + "0\r\n\r\n"},
                     ending::resets,
                     true},
        early_answer{
            "no_last_chunk", chunked, {chunk(events)}, ending::resets, false}),
    [](const auto& it) { return it.param.name; });

class early_prefill : public early_answer_test
{
};

// Half of an answer may be a whole JSON text.
TEST_P(early_prefill, gives_a_handle_only_if_the_end_was_no_reset)
{
    scripted_upstream u(&early_prefill::answer);
    scripted_upstream decoding(
        [](const std::string& head) -> scripted_answer
        {
            if (head.starts_with("GET /kv-list"))
                return {whole_answer(404, "", "")};
            return {stream_head(field_of(head, "Attempt-Id")) +
                    chunk("id: 1\n\n") + "0\r\n\r\n"};
        });
    add_upstream("i-2", decoding.address(), "writers", "decode");
    start_with(u, "writers", "prefill");
    scripted_caller c(gateway_->address());
    c.send(long_request("/stream/x", "Model: m\r\nToken-Count: 17000,20\r\n"
                                     "Prompt-Prefix: aa:13000,bb:4000\r\n"));
    c.read_until("\r\n0\r\n\r\n");
    const auto heads = decoding.heads();
    const auto uses_handle = [](const std::string& head)
    {
        return !field_of(head, "Kv-Source").empty();
    };
    EXPECT_EQ(std::ranges::any_of(heads, uses_handle), GetParam().is_complete);
}

const std::string handle =
    R"({"kvHandle":"3fa09c41b7d5","tokens":17000,"version":1})";

INSTANTIATE_TEST_SUITE_P(
    endings, early_prefill,
    testing::Values(
        early_answer{"reset", "", {handle}, ending::resets, false},
        early_answer{"own_side", "", {handle}, ending::closes_own_side, true},
        early_answer{"length",
                     "Content-Length: " + std::to_string(handle.size()) +
                         "\r\n",
                     {handle},
                     ending::resets,
                     true}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::gateway
