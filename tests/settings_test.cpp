// Guards against settings faults that pass unnoticed or are reported one by
// one.
#include "settings/reader.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace poplar::settings
{
namespace
{

struct sample
{
    std::string port_text;
    std::int64_t port = 0;
    duration wait{};
    byte_count limit;
    ip_address address;
    std::string name;
};

sample parse_sample(reader& r)
{
    sample s;
    s.name = r.text("name");
    s.port = r.integer("port", 1, 1, 100);
    s.wait = r.time("wait", std::chrono::seconds(1),
                    std::chrono::milliseconds(1), std::chrono::minutes(1));
    s.limit =
        r.size("limit", byte_count(1), byte_count(1), byte_count(1 << 20));
    s.address = r.address("address", {"127.0.0.1", 0});
    for (reader& item : r.tables("item"))
        item.text("id");
    r.finish();
    return s;
}

struct fault_case
{
    const char* text;
    std::uint32_t line;
    const char* key;
    const char* reason_part;
};

class settings_faults : public testing::TestWithParam<fault_case>
{
};

TEST_P(settings_faults, names_line_key_and_reason)
{
    reader r = reader::from_text(GetParam().text, "x.toml");
    try
    {
        parse_sample(r);
        FAIL() << "no fault reported";
    }
    catch (const settings_error& ec)
    {
        const auto found =
            std::ranges::find(ec.faults(), GetParam().key, &fault::key);
        ASSERT_NE(found, ec.faults().end()) << ec.what();
        EXPECT_EQ(found->line, GetParam().line);
        EXPECT_NE(found->reason.find(GetParam().reason_part), std::string::npos)
            << found->reason;
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, settings_faults,
    testing::Values(
        fault_case{"name='a'\nprot=3", 2, "prot", "unknown key"},
        fault_case{"name='a'\nport='x'", 2, "port", "whole number"},
        fault_case{"name='a'\nport=101", 2, "port", "out of range"},
        fault_case{"name='a'\nwait=5", 2, "wait", "expected text"},
        fault_case{"name='a'\nwait='5'", 2, "wait", "unit"},
        fault_case{"name='a'\nwait='5 days'", 2, "wait", "unit"},
        fault_case{"name='a'\nwait='2h'", 2, "wait", "out of range"},
        fault_case{"name='a'\nwait='9223372036854775807h'", 2, "wait",
                   "too large"},
        fault_case{"name='a'\nlimit='1MB'", 2, "limit", "unit"},
        fault_case{"name='a'\naddress='localhost:1'", 2, "address",
                   "IP number"},
        fault_case{"name='a'\naddress='127.0.0.1:99999'", 2, "address", "port"},
        fault_case{"port=1", 1, "name", "missing"},
        fault_case{"name='a'\n[[item]]\nid='1'\nextra=2", 4, "item[0].extra",
                   "unknown key"}));

TEST(settings, reports_all_faults_at_once)
{
    reader r = reader::from_text("port=0\nwait='x'\nunknown=1", "x.toml");
    try
    {
        parse_sample(r);
        FAIL();
    }
    catch (const settings_error& ec)
    {
        EXPECT_EQ(ec.faults().size(), 4U) << ec.what();
    }
}

TEST(settings, reads_units)
{
    reader r = reader::from_text("name='a'\nport=7\nwait='250ms'\n"
                                 "limit='64KiB'\naddress='[::1]:80'",
                                 "x.toml");
    const sample s = parse_sample(r);
    EXPECT_EQ(s.port, 7);
    EXPECT_EQ(s.wait, std::chrono::milliseconds(250));
    EXPECT_EQ(s.limit, byte_count(65536));
    EXPECT_EQ(to_string(s.address), "[::1]:80");
}

TEST(settings, syntax_faults_name_the_line)
{
    try
    {
        reader::from_text("a=1\nb==2", "x.toml");
        FAIL();
    }
    catch (const settings_error& ec)
    {
        EXPECT_EQ(ec.faults().at(0).line, 2U);
    }
}

} // namespace
} // namespace poplar::settings
