// Guards against a request body that ends the entry that reads it.
#include "entry/chat_request.hpp"

#include <gtest/gtest.h>

namespace poplar::entry
{
namespace
{

struct body_case
{
    const char* name;
    std::string text;
};

std::vector<body_case> odd_bodies()
{
    const std::string deep =
        std::string(500'000, '[') + std::string(500'000, ']');
    const auto body = [](const std::string& content, const std::string& tokens)
    {
        return R"({"model":"m","messages":[{"content":)" + content +
               R"(}],"max_tokens":)" + tokens + "}";
    };
    return {{"nested", deep},
            {"nested_content", body(deep, "1")},
            {"nested_tokens", body(R"("x")", deep)},
            {"tokens_infinite", body(R"("x")", "1e999")},
            {"tokens_above_64_bits", body(R"("x")", "18446744073709551624")},
            {"tokens_negative", body(R"("x")", "-1")},
            {"not_utf8", body("\"\xff\"", "1")}};
}

class odd_body : public testing::TestWithParam<body_case>
{
};

TEST_P(odd_body, is_refused)
{
    const auto r = parse_chat_request(GetParam().text);
    ASSERT_TRUE(std::holds_alternative<failure>(r));
    EXPECT_EQ(std::get<failure>(r).kind, failure_kind::bad_request);
}

INSTANTIATE_TEST_SUITE_P(bodies, odd_body, testing::ValuesIn(odd_bodies()),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::entry
