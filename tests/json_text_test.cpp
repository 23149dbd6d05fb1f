// Guards against text from outside that ends the process, that hides the rest
// of a list, or whose numbers are misread.
#include "base/json_text.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplar
{
namespace
{

using nlohmann::json;

std::string nested(std::size_t levels, char open = '[', char close = ']')
{
    return std::string(levels, open) + std::string(levels, close);
}

TEST(parse_json, bounds_the_depth)
{
    EXPECT_NO_THROW(parse_json(nested(max_json_depth)));
    EXPECT_THROW(parse_json(nested(max_json_depth + 1)), parse_error);
    EXPECT_THROW(parse_json(nested(500'000)), parse_error);
    EXPECT_THROW(parse_json(std::string(500'000, '{')), parse_error);
}

TEST(parse_json, counts_no_brackets_in_strings)
{
    const std::string text = "\\\"" + std::string(500, '[') + "\\\\";
    EXPECT_NO_THROW(parse_json("[\"" + text + "\"]"));
    EXPECT_THROW(
        parse_json("[\"" + text + "\"," + nested(max_json_depth) + "]"),
        parse_error);
}

TEST(parse_json, cites_only_the_beginning_of_a_long_text)
{
    try
    {
        parse_json('"' + std::string(500'000, 'x') + "\xff\"");
        FAIL() << "the text was read";
    }
    catch (const parse_error& ec)
    {
        EXPECT_LT(std::string(ec.what()).size(), 300U);
    }
}

struct broken_case
{
    const char* name;
    const char* text;
};

class broken_text : public testing::TestWithParam<broken_case>
{
};

TEST_P(broken_text, is_neither_an_object_nor_a_list)
{
    EXPECT_THROW(split_json_object(GetParam().text), parse_error);
    EXPECT_THROW(split_json_array(GetParam().text), parse_error);
}

INSTANTIATE_TEST_SUITE_P(
    texts, broken_text,
    testing::Values(broken_case{"empty", ""}, broken_case{"space", " "},
                    broken_case{"scalar", "7"}, broken_case{"string", "\"[]\""},
                    broken_case{"open_list", "[1"},
                    broken_case{"open_object", R"({"a":1)"},
                    broken_case{"open_string", R"({"a":"1})"},
                    broken_case{"open_escape", R"(["\)"},
                    broken_case{"open_inner_list", R"([[1])"},
                    broken_case{"no_value", R"({"a":})"},
                    broken_case{"no_colon", R"({"a" 1})"},
                    broken_case{"no_comma", R"([1 2])"},
                    broken_case{"last_comma", R"([1,])"},
                    broken_case{"name_is_number", R"({1:2})"},
                    broken_case{"text_after_list", "[1] 2"},
                    broken_case{"text_after_object", R"({"a":1}})"}),
    [](const auto& it) { return it.param.name; });

TEST(split_json_object, leaves_odd_values_to_the_reader)
{
    const auto members = split_json_object(
        R"( { "a" : 1e999 , "b":"}\"{", "c":[{"]":1}] ,"\u0064":nul,"a":2} )");
    ASSERT_EQ(members.size(), 5U);
    EXPECT_EQ(members[0].value, "1e999");
    EXPECT_EQ(find_json_member(members, "b"), R"("}\"{")");
    EXPECT_EQ(find_json_member(members, "c"), R"([{"]":1}])");
    EXPECT_EQ(find_json_member(members, "d"), "nul");
    EXPECT_EQ(find_json_member(members, "a"), "2");
    EXPECT_EQ(find_json_member(members, "e"), "");
    EXPECT_THROW(json_member_at(members, "e"), parse_error);
}

RC_GTEST_PROP(split_json_array, agrees_with_the_library,
              (const std::vector<std::map<std::string, std::string>>& rows))
{
    json all = json::array();
    for (const auto& it : rows)
        all.push_back({{"row", it}, {"n", it.size()}});
    const std::string text =
        all.dump(1, ' ', true, json::error_handler_t::replace);
    const json parsed = json::parse(text);
    const auto values = split_json_array(text);
    RC_ASSERT(values.size() == parsed.size());
    for (std::size_t i = 0; i < values.size(); ++i)
    {
        RC_ASSERT(parse_json(values[i]) == parsed[i]);
        for (const json_member& it : split_json_object(values[i]))
            RC_ASSERT(parse_json(it.value) == parsed[i].at(it.name));
    }
}

RC_GTEST_PROP(split_json_array, ends_for_any_text, ())
{
    const auto text = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("[]{}\",:\\ 1a\xff")));
    for (const auto read : {+[](const std::string& t) { split_json_array(t); },
                            +[](const std::string& t) { split_json_object(t); },
                            +[](const std::string& t)
                            {
                                parse_json(t);
                            }})
        try
        {
            read(text);
        }
        catch (const parse_error&) // NOLINT(bugprone-empty-catch)
        {
        }
}

struct number_case
{
    const char* name;
    const char* text;
    std::optional<std::uint32_t> n;
};

class whole_number : public testing::TestWithParam<number_case>
{
};

TEST_P(whole_number, is_read_only_in_its_range)
{
    const json j = json::parse(GetParam().text);
    if (GetParam().n)
        EXPECT_EQ(json_integer<std::uint32_t>(j), GetParam().n);
    else
        EXPECT_THROW(json_integer<std::uint32_t>(j), parse_error);
}

INSTANTIATE_TEST_SUITE_P(
    numbers, whole_number,
    testing::Values(number_case{"zero", "0", 0}, number_case{"whole", "8", 8},
                    number_case{"whole_with_exponent", "8e2", 800},
                    number_case{"largest", "4294967295", 4294967295U},
                    number_case{"above", "4294967296", {}},
                    number_case{"far_above", "1e300", {}},
                    number_case{"above_64_bits", "18446744073709551624", {}},
                    number_case{"negative", "-1", {}},
                    number_case{"negative_float", "-1.0", {}},
                    number_case{"fraction", "1.5", {}},
                    number_case{"text", "\"8\"", {}},
                    number_case{"truth", "true", {}},
                    number_case{"null", "null", {}},
                    number_case{"list", "[8]", {}}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar
