// Guards against one odd row of the platform's answers that hides the others.
#include "store/dialect.hpp"

#include <gtest/gtest.h>

namespace poplar::store
{
namespace
{

struct row_case
{
    const char* name;
    std::string text;
};

std::vector<row_case> odd_rows()
{
    const std::string deep =
        std::string(400'000, '[') + std::string(400'000, ']');
    return {
        {"null", "null"},
        {"text", R"("row")"},
        {"nested", deep},
        {"empty", "{}"},
        {"nested_name", R"({"key":)" + deep + R"(,"instance":)" + deep + "}"},
        {"number_for_name", R"({"key":1e999,"instance":1e999})"},
        {"invalid_utf8", "{\"key\":\"\xff\",\"instance\":\"\xff\"}"}};
}

net::http_response answer_of(const std::string& member, const std::string& rows)
{
    net::http_response r;
    r.body = R"({"revision":9,")" + member + R"(":[)" + rows + "]}";
    return r;
}

std::string object_row(const std::string& key)
{
    return R"({"key":")" + key + R"(","version":3,"value":"v"})";
}

std::string instance_row(const std::string& name)
{
    return R"({"instance":")" + name + R"(","kind":"engine"})";
}

class odd_row : public testing::TestWithParam<row_case>
{
protected:
    static std::string between(const std::string& first,
                               const std::string& last)
    {
        return first + "," + GetParam().text + "," + last;
    }
};

TEST_P(odd_row, costs_only_itself_among_objects)
{
    const store_dialect d = make_own_dialect();
    const std::string rows = between(object_row("a"), object_row("z"));
    for (const object_list& it :
         {d.parse_page("", answer_of("objects", rows)).list,
          d.parse_changes("", answer_of("changes", rows))})
    {
        EXPECT_EQ(it.revision, object_version(9));
        ASSERT_EQ(it.objects.size(), 2U);
        EXPECT_EQ(it.objects[0].key.value, "a");
        EXPECT_EQ(it.objects[1].key.value, "z");
        EXPECT_EQ(it.unreadable.size(), 1U);
    }
}

TEST_P(odd_row, costs_only_itself_among_instances)
{
    const instance_list list = make_own_dialect().parse_instances(
        answer_of("instances", between(instance_row("a"), instance_row("z"))));
    ASSERT_EQ(list.records.size(), 2U);
    EXPECT_EQ(list.records[1].instance.value, "z");
    EXPECT_EQ(list.unreadable.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(rows, odd_row, testing::ValuesIn(odd_rows()),
                         [](const auto& it) { return it.param.name; });

// A reader refuses an empty value as it refuses any other that it cannot read;
// what it has in force stays.
TEST(parse_changes, reports_an_object_whose_value_cannot_be_read)
{
    const object_list list = make_own_dialect().parse_changes(
        "", answer_of("changes",
                      "{\"key\":\"a\",\"version\":3,\"value\":\"\xff\"}"));
    ASSERT_EQ(list.objects.size(), 1U);
    EXPECT_EQ(list.objects[0].version, object_version(3));
    EXPECT_EQ(list.objects[0].value, "");
    EXPECT_EQ(list.unreadable.size(), 1U);
}

TEST(parse_instances, refuses_a_port_out_of_range)
{
    const instance_list list = make_own_dialect().parse_instances(answer_of(
        "instances",
        R"({"instance":"a","kind":"engine","address":"127.0.0.1:65536"})"));
    EXPECT_TRUE(list.records.empty());
    ASSERT_EQ(list.unreadable.size(), 1U);
}

} // namespace
} // namespace poplar::store
