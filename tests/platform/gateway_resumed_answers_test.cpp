// Guards against text of another answer in the middle of a resumed stream, and
// against a stream that broke off and is ended as complete.
#include "tests/platform/gateway_fixture.hpp"

#include <algorithm>
#include <array>

namespace poplar::gateway
{
namespace
{

/// What the engine after the broken one answers.
struct bad_answer
{
    const char* name;
    std::string fields; ///< Status line and fields, without the empty line.
    std::string body;
    bool closes;
    bool resets = false;
    bool is_cut = false; ///< The head has no empty line.

    std::string text() const;
};

const std::string signature = "Response-Seal: s\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string events_type = "Content-Type: text/event-stream\r\n";
const std::string text = "failed\n\nid: 9\n\n";
const std::string error_head =
    "HTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\nfailed";
const std::string last_chunk = "0\r\n\r\n";

std::string head(const std::string& status, const std::string& fields)
{
    return "HTTP/1.1 " + status + " X\r\nAttempt-Id: 7\r\n" + fields;
}

std::string with_length(const std::string& body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

/// Body of a chunked answer up to its last chunk.
std::string joined_chunks(std::string bytes)
{
    std::string body;
    while (!bytes.empty() && !bytes.starts_with(last_chunk))
    {
        const std::size_t size = std::stoul(bytes, nullptr, 16);
        const std::size_t from = bytes.find("\r\n") + 2;
        body += bytes.substr(from, size);
        bytes.erase(0, std::min(bytes.size(), from + size + 2));
    }
    return body;
}

std::string bad_answer::text() const
{
    return fields.ends_with(chunked) ? joined_chunks(body) : body;
}

const std::vector<bad_answer> bad_answers{
    {"status_500", head("500", with_length(text)), text, false},
    {"status_500_signed", head("500", signature + with_length(text)), text,
     false},
    {"status_500_events", head("500", events_type + chunked),
     chunk(text) + last_chunk, false},
    {"status_503", head("503", with_length(text)), text, false},
    {"status_503_not_run",
     head("503", "Not-Executed: 1\r\n" + with_length(text)), text, false},
    {"status_421", head("421", with_length(text)), text, false},
    {"status_429", head("429", with_length(text)), text, false},
    {"status_429_not_run",
     head("429", "Not-Executed: 1\r\n" + with_length(text)), text, false},
    {"status_404", head("404", with_length(text)), text, false},
    {"status_204", head("204", signature), "", false},
    {"status_206", head("206", signature + events_type + with_length(text)),
     text, false},
    {"json",
     head("200", signature + "Content-Type: application/json\r\n" +
                     with_length("{\"error\":1}\n\n")),
     "{\"error\":1}\n\n", false},
    {"json_with_id",
     head("200", signature + "Content-Type: application/json\r\n" +
                     with_length("id: 9\n{\"error\":1}\n\n")),
     "id: 9\n{\"error\":1}\n\n", false},
    {"json_empty",
     head("200",
          signature + "Content-Type: application/json\r\n" + with_length("")),
     "", false},
    {"text_without_type", head("200", signature + with_length("failed\n\n")),
     "failed\n\n", false},
    {"text_as_events", head("200", signature + events_type + chunked),
     chunk("failed\n\n") + last_chunk, false},
    {"head_in_chunks", head("200", signature + events_type + chunked),
     chunk(error_head) + last_chunk, false},
    {"head_until_close", head("200", signature + events_type), error_head,
     true},
    {"no_body_until_close", head("200", signature + events_type), "", true},
    {"not_signed", head("200", events_type + chunked),
     chunk("id: 9\n\n") + last_chunk, false},
    {"no_blank_line", head("200", signature + events_type + chunked),
     chunk("id: 9\nfailed") + last_chunk, false},
    {"no_blank_line_until_close", head("200", signature + events_type),
     "failed", true},
    {"no_last_chunk", head("200", signature + events_type + chunked), "", true},
    {"short", head("200", signature + events_type + "Content-Length: 9\r\n"),
     "failed", true},
    {"cut_in_status", "HTTP/1.1 50", "", true, false, true},
    {"cut_in_name", head("200", signature + "Content-Le"), "", true, false,
     true},
    {"cut_in_value", head("500", "Content-Length: 1"), "", true, false, true},
    {"cut_before_empty_line", head("200", signature + events_type), "", true,
     false, true},
    {"not_a_response", "failed\r\n", "failed", true},
    {"reset", "", "", true, true}};

struct resumed_case
{
    bad_answer answer;
    bool is_split;
    unsigned breaks; ///< Streams that break off before the bad answer.
    bool after_first_event;
    bool stays_bad; ///< All further engines give the bad answer too.
};

using resumed_param = std::tuple<bad_answer, bool, unsigned, bool, bool>;

std::string name_of(const testing::TestParamInfo<resumed_param>& it)
{
    const auto& [answer, is_split, breaks, after, stays_bad] = it.param;
    return std::string(answer.name) + (is_split ? "_split" : "") +
           (breaks == 1 ? "_once" : "_twice") +
           (after ? "" : "_before_first_event") + (stays_bad ? "_again" : "");
}

class resumed_stream : public gateway_test,
                       public testing::WithParamInterface<resumed_param>
{
protected:
    static resumed_case get()
    {
        const auto& [answer, is_split, breaks, after, stays_bad] = GetParam();
        return {answer, is_split, breaks, after, stays_bad};
    }

    scripted_answer answer(const std::string& request)
    {
        const resumed_case c = get();
        if (request.starts_with("GET /kv-list") ||
            request.starts_with("DELETE "))
            return {whole_answer(404, "", "")};
        if (field_of(request, "Serving-Stage") == "prefill")
            return {whole_answer(200, "7", R"({"kvHandle":"h"})")};
        const unsigned n = attempts_++;
        const std::string start = stream_head("7");
        if (n == 0 && !c.after_first_event)
            return {.bytes = start + chunk("id: 1\nda"), .closes = true};
        if (n == 0)
            return {.bytes = start + chunk("id: 1\n\nid: 2\n\nid: 3\nda"),
                    .closes = true};
        // Ended in chunks, since two engines that break off the same prompt
        // make it one that is not tried again.
        if (n < c.breaks)
            return {start + chunk("id: 1\n\nid: 2\n\nid: 3\n\nid: 4\nda") +
                    last_chunk};
        if (n == c.breaks || c.stays_bad)
            return {.bytes = c.answer.fields +
                             (c.answer.is_cut ? "" : "\r\n" + c.answer.body),
                    .closes = c.answer.closes,
                    .resets = c.answer.resets};
        return {start + chunk("id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n") +
                last_chunk};
    }

    void start_with_attempts(unsigned n)
    {
        json configuration = configuration_json(1);
        for (json& it : configuration.at("routes"))
            it["maxAttempts"] = n;
        put("config/main", configuration);
        start_without_configuration();
        wait_until_ready();
    }

    std::atomic<unsigned> attempts_ = 0;
};

TEST_P(resumed_stream, goes_on_or_ends_visibly_incomplete)
{
    const auto script = [this](const std::string& it)
    {
        return answer(it);
    };
    std::array<std::unique_ptr<scripted_upstream>, 5> engines;
    for (std::size_t i = 0; i < engines.size(); ++i)
    {
        engines.at(i) = std::make_unique<scripted_upstream>(script);
        const bool prefills = get().is_split && i == 0;
        add_upstream("i-" + std::to_string(i), engines.at(i)->address(),
                     "writers", prefills ? "prefill" : "decode");
    }
    retry_slack_ = 1000;
    start_with_attempts(8);
    const std::string whole = "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n";
    scripted_caller c(gateway_->address());
    c.send(get().is_split ? request("/stream/x", "7",
                                    "Model: m\r\nToken-Count: 17000,20\r\n"
                                    "Prompt-Prefix: aa:13000,bb:4000\r\n")
                          : prompt_request("7"));
    std::string answer = c.read_until("\r\n\r\n");
    const bool is_stream = status_of(answer) == "200";
    if (is_stream && !answer.ends_with("\r\n0\r\n\r\n"))
        answer += c.read_until("\r\n0\r\n\r\n", seconds(4));
    EXPECT_GT(attempts_, get().breaks) << "the bad answer was not given";
    if (!is_stream)
    {
        EXPECT_EQ(answer.find("HTTP/1.1 ", 1), std::string::npos) << answer;
        EXPECT_FALSE(get().after_first_event) << answer;
        return;
    }
    const std::string body =
        joined_chunks(answer.substr(answer.find("\r\n\r\n") + 4));
    // Before the first event an answer of any kind is passed on as it is.
    const bool is_own_answer =
        !get().after_first_event && !body.empty() && !whole.starts_with(body);
    const std::string expected = is_own_answer ? get().answer.text() : whole;
    const bool is_own_empty = !get().after_first_event && body.empty() &&
                              get().answer.text().empty() &&
                              !get().answer.closes;
    EXPECT_TRUE(expected.starts_with(body)) << answer;
    EXPECT_EQ(answer.ends_with("\r\n0\r\n\r\n"),
              body == expected || is_own_empty)
        << answer;
}

INSTANTIATE_TEST_SUITE_P(answers, resumed_stream,
                         testing::Combine(testing::ValuesIn(bad_answers),
                                          testing::Bool(),
                                          testing::Values(1U, 2U),
                                          testing::Bool(), testing::Bool()),
                         name_of);

} // namespace
} // namespace poplar::gateway
