// Guards against lines of an upstream in trouble that are taken for those of an
// answer, or that throw where nothing catches.
#include "net/answer_lines.hpp"
#include "tests/invalid_answers.hpp"

#include <gtest/gtest.h>

namespace poplar::net
{
namespace
{

using head_test = testing::TestWithParam<answer_head_case>;

std::string name_of(const testing::TestParamInfo<answer_head_case>& it)
{
    return it.param.name;
}

std::string head_of(const answer_head_case& c)
{
    return make_answer(c, "", "");
}

class invalid_head : public head_test
{
};

TEST_P(invalid_head, has_a_fault)
{
    EXPECT_FALSE(find_head_fault(head_of(GetParam())).empty());
}

INSTANTIATE_TEST_SUITE_P(heads, invalid_head,
                         testing::ValuesIn(invalid_answer_heads()), name_of);
INSTANTIATE_TEST_SUITE_P(chunked, invalid_head,
                         testing::ValuesIn(invalid_chunked_heads()), name_of);

class valid_head : public head_test
{
};

TEST_P(valid_head, has_no_fault)
{
    EXPECT_EQ(find_head_fault(head_of(GetParam())), "");
}

// A line may end anywhere when the connection does.
TEST_P(valid_head, may_break_off_at_every_byte)
{
    const std::string head = head_of(GetParam());
    for (std::size_t n = 0; n < head.size(); ++n)
    {
        answer_lines lines;
        EXPECT_NO_THROW(find_head_fault(head.substr(0, n)));
        EXPECT_NO_THROW(lines.take(head.substr(0, n)));
        EXPECT_FALSE(lines.has_whole_head());
    }
}

INSTANTIATE_TEST_SUITE_P(heads, valid_head,
                         testing::ValuesIn(valid_answer_heads()), name_of);

TEST(answer_lines, report_the_fields_of_each_head_and_not_of_a_trailer)
{
    std::string fields;
    answer_lines lines(
        [&](std::string_view name, std::string_view value)
        { fields += std::string(name) + "=" + std::string(value) + ";"; });
    for (const char* line : {"HTTP/1.1 102 Processing\r\n", "A: 1\r\n", "\r\n",
                             "HTTP/1.1 200 OK\r\n", "B:  2 \r\n", "C:\r\n"})
    {
        EXPECT_TRUE(lines.take(line)) << line;
        EXPECT_FALSE(lines.has_whole_head());
    }
    EXPECT_TRUE(lines.take("\r\n"));
    EXPECT_TRUE(lines.has_whole_head());
    EXPECT_EQ(lines.status(), 200U);
    EXPECT_TRUE(lines.take("D: 3\r\n"));
    EXPECT_FALSE(lines.take("D : 3\r\n"));
    EXPECT_EQ(lines.fault(), "a malformed field");
    EXPECT_EQ(fields, "A=1;B=2;C=;");
}

} // namespace
} // namespace poplar::net
