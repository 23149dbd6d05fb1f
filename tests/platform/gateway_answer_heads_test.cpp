// Guards against bytes of an upstream in trouble that reach a caller as an
// answer: a status such as 000, a malformed field, a body in a transfer coding
// that the gateway does not decode.
#include "tests/invalid_answers.hpp"
#include "tests/platform/gateway_fixture.hpp"

#include <array>

namespace poplar::gateway
{
namespace
{

std::string id_and_signature(const std::string& request)
{
    const std::string id = field_of(request, "Attempt-Id");
    return (id.empty() ? "" : "Attempt-Id: " + id + "\r\n") +
           "Response-Seal: s\r\n";
}

enum class request_kind
{
    once,
    safe,
    stream,
    prefill
};

constexpr std::array kind_names{"once", "safe", "stream", "prefill"};

using head_param = std::tuple<answer_head_case, request_kind>;

std::string name_of(const testing::TestParamInfo<head_param>& it)
{
    return std::string(kind_names.at(std::size_t(std::get<1>(it.param)))) +
           "_" + std::get<0>(it.param).name;
}

/// What the request would take for a whole answer, as long as `answer_body`.
std::string body_of(request_kind kind)
{
    switch (kind)
    {
    case request_kind::once:
    case request_kind::safe:
        return answer_body;
    case request_kind::stream:
        return "id: 1\ndata: abc\n\n";
    case request_kind::prefill:
        break;
    }
    return R"({"kvHandle":"hh"})";
}

/// One upstream, which answers with the head of the case.
class answer_head_test : public gateway_test,
                         public testing::WithParamInterface<head_param>
{
protected:
    /// `encode` turns the body into the bytes that are sent.
    std::string
    fetch_with(const std::function<std::string(const std::string&)>& encode,
               const std::string& end)
    {
        const auto& [c, kind] = GetParam();
        const scripted_upstream u(
            [&](const std::string& head) -> scripted_answer
            {
                if (head.starts_with("GET /kv-list"))
                    return {.bytes = whole_answer(404, "", "",
                                                  "Connection: close\r\n"),
                            .closes = true};
                return {.bytes = make_answer(c, id_and_signature(head),
                                             encode(body_of(kind))),
                        .closes = true};
            });
        const bool is_call =
            kind == request_kind::once || kind == request_kind::safe;
        const bool is_split = kind == request_kind::prefill;
        add_upstream("i-1", u.address(), is_call ? "desk" : "writers",
                     is_split  ? "prefill"
                     : is_call ? ""
                               : "decode");
        if (is_split)
            add_upstream("i-2", u.address(), "writers", "decode");
        start();
        const std::string answer = fetch(request_of(kind), end);
        EXPECT_FALSE(u.heads().empty());
        uses_handle_ =
            std::ranges::any_of(u.heads(), [](const std::string& it)
                                { return !field_of(it, "Kv-Source").empty(); });
        return answer;
    }

    void expect_failure(const std::string& answer) const
    {
        EXPECT_EQ(status_of(answer).substr(0, 2), "50") << answer;
        EXPECT_EQ(answer.find("Response-Seal"), std::string::npos) << answer;
        EXPECT_EQ(answer.find("Some"), std::string::npos) << answer;
        EXPECT_TRUE(answer.ends_with("\r\n\r\n")) << answer;
        EXPECT_FALSE(uses_handle_);
    }

private:
    static std::string request_of(request_kind kind)
    {
        switch (kind)
        {
        case request_kind::once:
            return request("/once/x", "1");
        case request_kind::safe:
            return request("/safe/x", "1");
        case request_kind::stream:
            return prompt_request("1");
        case request_kind::prefill:
            break;
        }
        return request("/stream/x", "1",
                       "Model: m\r\nToken-Count: 17000,20\r\n"
                       "Prompt-Prefix: aa:13000,bb:4000\r\n");
    }

    bool uses_handle_ = false; ///< A decode engine was told of the handle.
};

std::string unchanged(const std::string& body)
{
    return body;
}

class invalid_head : public answer_head_test
{
};

TEST_P(invalid_head, is_no_answer)
{
    expect_failure(fetch_with(unchanged, "\r\n\r\n"));
}

struct interim_case
{
    const char* name;
    const char* status;
};

class no_interim_head : public gateway_test,
                        public testing::WithParamInterface<interim_case>
{
};

// A status below 200 was taken for that of an interim answer: the caller waited
// for another one until its deadline.
TEST_P(no_interim_head, ends_the_attempt_at_once)
{
    const scripted_upstream u(
        [](const std::string& head) -> scripted_answer
        {
            return {std::string("HTTP/1.1 ") + GetParam().status + " X\r\n" +
                    id_and_signature(head) + "Content-Length: 0\r\n\r\n"};
        });
    add_upstream("i-1", u.address(), "desk");
    start();
    EXPECT_EQ(status_of(fetch(request("/once/x", "1"), "\r\n\r\n")), "502");
}

INSTANTIATE_TEST_SUITE_P(statuses, no_interim_head,
                         testing::Values(interim_case{"status_0", "000"},
                                         interim_case{"status_99", "099"},
                                         interim_case{"upgrade", "101"}),
                         [](const auto& it) { return it.param.name; });

const auto all_kinds =
    testing::Values(request_kind::once, request_kind::safe,
                    request_kind::stream, request_kind::prefill);

INSTANTIATE_TEST_SUITE_P(
    heads, invalid_head,
    testing::Combine(testing::ValuesIn(invalid_answer_heads()), all_kinds),
    name_of);

class invalid_chunked_head : public answer_head_test
{
};

TEST_P(invalid_chunked_head, is_no_answer)
{
    const auto encode = [](const std::string& body)
    {
        return chunk(body) + "0\r\n\r\n";
    };
    expect_failure(fetch_with(encode, "\r\n\r\n"));
}

INSTANTIATE_TEST_SUITE_P(
    heads, invalid_chunked_head,
    testing::Combine(testing::ValuesIn(invalid_chunked_heads()), all_kinds),
    name_of);

class valid_head : public answer_head_test
{
};

TEST_P(valid_head, is_an_answer)
{
    const std::string answer =
        fetch_with(unchanged, std::get<1>(GetParam()) == request_kind::stream
                                  ? "0\r\n\r\n"
                                  : "end of answer");
    EXPECT_EQ(status_of(answer), "200") << answer;
    EXPECT_NE(answer.find(body_of(std::get<1>(GetParam()))), std::string::npos)
        << answer;
}

INSTANTIATE_TEST_SUITE_P(
    heads, valid_head,
    testing::Combine(testing::ValuesIn(valid_answer_heads()),
                     testing::Values(request_kind::once, request_kind::safe,
                                     request_kind::stream)),
    name_of);

struct trailer_case
{
    const char* name;
    request_kind kind;
    std::string body;
};

class trailer : public gateway_test,
                public testing::WithParamInterface<trailer_case>
{
};

// The fields of a trailer were passed on as fields of the head, among them a
// second signature.
TEST_P(trailer, adds_nothing_to_the_head_of_an_answer)
{
    const trailer_case& c = GetParam();
    const scripted_upstream u(
        [&](const std::string& head) -> scripted_answer
        {
            if (head.starts_with("GET /kv-list"))
                return {whole_answer(404, "", "")};
            return {"HTTP/1.1 200 OK\r\n" + id_and_signature(head) +
                    "Transfer-Encoding: chunked\r\n\r\n" + c.body +
                    "0\r\nResponse-Seal: t\r\nSome-Field: 1\r\n\r\n"};
        });
    add_upstream("i-1", u.address(), "desk");
    add_upstream("i-2", u.address(), "writers", "decode");
    start();
    const bool is_stream = c.kind == request_kind::stream;
    const std::string answer =
        fetch(is_stream ? prompt_request("1") : request("/safe/x", "1"),
              is_stream ? "0\r\n\r\n" : "\r\n\r\n");
    EXPECT_EQ(status_of(answer), "200") << answer;
    EXPECT_EQ(field_of(answer, "Response-Seal"), "s") << answer;
    EXPECT_EQ(answer.find("Response-Seal: t"), std::string::npos) << answer;
    EXPECT_EQ(answer.find("Some-Field"), std::string::npos) << answer;
}

INSTANTIATE_TEST_SUITE_P(
    kinds, trailer,
    testing::Values(trailer_case{"call", request_kind::safe,
                                 chunk(answer_body)},
                    trailer_case{"stream", request_kind::stream,
                                 chunk(body_of(request_kind::stream))},
                    trailer_case{"empty_stream", request_kind::stream, ""}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::gateway
