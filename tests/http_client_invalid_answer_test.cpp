// Guards against bytes that are no answer and are taken for one, such as a
// status 000 of a store in trouble or a length field that is not recognised
// because of a blank in its name.
#include "net/http_client.hpp"
#include "tests/invalid_answers.hpp"
#include "tests/platform/scripted_upstream.hpp"

#include <gtest/gtest.h>

namespace poplar::net
{
namespace
{

using gateway::scripted_answer;
using gateway::scripted_upstream;

constexpr duration timeout = std::chrono::seconds(2);

client_result fetch(const std::string& answer, const std::string& method)
{
    const scripted_upstream server(
        [&](const std::string&) -> scripted_answer
        { return {.bytes = answer, .closes = true}; });
    http_client client;
    client_request r;
    r.method = method;
    r.to = server.address();
    r.timeout = timeout;
    return client.fetch(std::move(r));
}

using head_param = std::tuple<answer_head_case, const char*>;

std::string name_of(const testing::TestParamInfo<head_param>& it)
{
    return std::string(std::get<0>(it.param).name) + "_" +
           std::get<1>(it.param);
}

class invalid_head : public testing::TestWithParam<head_param>
{
};

TEST_P(invalid_head, is_no_answer)
{
    const auto& [c, method] = GetParam();
    const bool is_chunked = std::ranges::any_of(
        invalid_chunked_heads(), [&](const answer_head_case& it)
        { return std::string_view(it.name) == c.name; });
    const client_result r = fetch(
        make_answer(c, "", is_chunked ? answer_chunks : answer_body), method);
    EXPECT_EQ(r.failure, client_failure::broken) << r.response.body;
    EXPECT_FALSE(r.detail.empty());
}

INSTANTIATE_TEST_SUITE_P(
    heads, invalid_head,
    testing::Combine(testing::ValuesIn(invalid_answer_heads()),
                     testing::Values("GET", "POST")),
    name_of);
INSTANTIATE_TEST_SUITE_P(
    chunked_heads, invalid_head,
    testing::Combine(testing::ValuesIn(invalid_chunked_heads()),
                     testing::Values("GET", "POST")),
    name_of);

class valid_head : public testing::TestWithParam<head_param>
{
};

TEST_P(valid_head, is_an_answer)
{
    const auto& [c, method] = GetParam();
    const client_result r = fetch(make_answer(c), method);
    EXPECT_EQ(r.failure, client_failure::none) << r.detail;
    EXPECT_EQ(r.response.status, 200U);
    EXPECT_EQ(r.response.body, answer_body);
}

INSTANTIATE_TEST_SUITE_P(
    heads, valid_head,
    testing::Combine(testing::ValuesIn(valid_answer_heads()),
                     testing::Values("GET", "POST")),
    name_of);

struct trailer_case
{
    const char* name;
    std::string trailer;
    client_failure failure;
};

class trailer_of_answer : public testing::TestWithParam<trailer_case>
{
};

// A trailer came into the head of an answer, or replaced it.
TEST_P(trailer_of_answer, is_checked_and_adds_nothing_to_its_head)
{
    const trailer_case& c = GetParam();
    const client_result r = fetch(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nFirst: 1\r\n\r\n"
        "4\r\nbody\r\n0\r\n" +
            c.trailer + "\r\n",
        "GET");
    EXPECT_EQ(r.failure, c.failure) << r.detail;
    if (c.failure != client_failure::none)
        return;
    EXPECT_NE(find_header(r.response.headers, "First"), nullptr);
    EXPECT_EQ(find_header(r.response.headers, "Second"), nullptr);
}

INSTANTIATE_TEST_SUITE_P(
    trailers, trailer_of_answer,
    testing::Values(
        trailer_case{"none", "", client_failure::none},
        trailer_case{"field", "Second: 2\r\n", client_failure::none},
        trailer_case{"status_line", "HTTP/1.1 404 X\r\n",
                     client_failure::broken},
        trailer_case{"blank_in_name", "Sec ond: 2\r\n", client_failure::broken},
        trailer_case{"control_byte_in_value", "Second: \x01\r\n",
                     client_failure::broken}),
    [](const auto& it) { return it.param.name; });

struct early_case
{
    const char* name;
    std::string fields;
    bool closes_own_side; ///< Before the reset.
    client_failure failure;
};

class early_answer : public testing::TestWithParam<early_case>
{
};

// The server answers while the request is still being written, then resets the
// connection.
TEST_P(early_answer, is_complete_only_if_its_end_was_no_reset)
{
    const early_case& c = GetParam();
    scripted_upstream server(
        [&](const std::string&) -> scripted_answer
        {
            return {.bytes = "HTTP/1.1 200 OK\r\n" + c.fields + "\r\n",
                    .resets_after = true,
                    .closes_own_side = c.closes_own_side,
                    .pieces = {answer_body},
                    .pause = std::chrono::milliseconds(50)};
        });
    server.answer_before_body();
    http_client client;
    client_request r;
    r.method = "POST";
    r.to = server.address();
    r.timeout = timeout;
    r.body.assign(std::size_t(16) << 20, 'x');
    const client_result result = client.fetch(std::move(r));
    EXPECT_EQ(result.failure, c.failure) << result.detail;
}

INSTANTIATE_TEST_SUITE_P(
    ends, early_answer,
    testing::Values(early_case{"reset", "", false, client_failure::broken},
                    early_case{"short", "Content-Length: 18\r\n", false,
                               client_failure::broken}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::net
