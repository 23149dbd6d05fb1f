// Guards against usage messages that are decoded wrongly, too large for a
// datagram, or taken for load reports.
#include "gateway/load_exchange.hpp"
#include "gateway/usage_report.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplar::gateway
{
namespace
{

usage_message sample()
{
    usage_message m;
    m.sender = {"g1", 42};
    m.windows = {{policy::window_number(7), {{"a", 3}, {"b", 1}}},
                 {policy::window_number(8), {{"a", 2}}}};
    m.is_holder = true;
    m.fixed_through = policy::window_number(6);
    return m;
}

TEST(usage_message, survives_encoding)
{
    const auto datagrams = encode_usage(sample());
    ASSERT_EQ(datagrams.size(), 1U);
    EXPECT_TRUE(is_usage_message(datagrams[0]));
    const usage_message back = decode_usage(datagrams[0]);
    EXPECT_EQ(back.sender, sample().sender);
    EXPECT_EQ(back.windows, sample().windows);
    EXPECT_TRUE(back.is_holder);
    EXPECT_EQ(back.fixed_through, sample().fixed_through);
}

TEST(usage_message, is_split_so_that_each_part_fits)
{
    usage_message m = sample();
    for (int i = 0; i < 5000; ++i)
        m.windows[1].second["account-" + std::to_string(i)] = 1;
    policy::account_counts seen;
    for (const std::string& it : encode_usage(m))
    {
        EXPECT_LT(it.size(), 60'000U);
        for (const auto& [window, counts] : decode_usage(it).windows)
            if (window == policy::window_number(8))
                seen.insert(counts.begin(), counts.end());
    }
    EXPECT_EQ(seen, m.windows[1].second);
}

TEST(usage_message, is_told_apart_from_a_load_report)
{
    load_report r;
    r.sender = "g1";
    const std::string bytes = encode_load_report(r);
    EXPECT_FALSE(is_usage_message(bytes));
    EXPECT_THROW(decode_load_report(encode_usage(sample())[0]), parse_error);
}

RC_GTEST_PROP(usage_message_bytes, that_are_damaged_are_refused_or_read,
              (std::size_t position, std::uint8_t value, std::size_t size))
{
    std::string bytes = encode_usage(sample())[0];
    bytes[position % bytes.size()] = char(value);
    bytes.resize(std::min(bytes.size(), size % (2 * bytes.size())));
    if (!is_usage_message(bytes))
        return;
    // Damaged bytes must not be read out of bounds; a message that is still
    // well-formed is read.
    bool is_refused = false;
    try
    {
        decode_usage(bytes);
    }
    catch (const parse_error&)
    {
        is_refused = true;
    }
    RC_CLASSIFY(is_refused);
}

} // namespace
} // namespace poplar::gateway
