// Guards against prompts that go on crashing engines, and against sound prompts
// that are refused because they shared engines with those.
#include "policy/fatal_blocks.hpp"

#include <gtest/gtest.h>

namespace poplar::policy
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr mono_time start{seconds(1000)};
constexpr std::uint64_t common = 1; ///< Block of most prompts.
constexpr std::uint64_t fatal = 2;
constexpr std::uint64_t client = 3; ///< Block of one client's prompts.

/// Crashes or completions of prompts, one every 100 ms.
struct fatal_block_case
{
    const char* name;
    /// Blocks of the prompts that broke off when an engine crashed, by engine.
    std::vector<std::vector<std::uint64_t>> crashes;
    /// Blocks of prompts that completed after the crashes.
    std::vector<std::vector<std::uint64_t>> completions;
    duration until; ///< Time of the check, from the last of these.
    std::vector<std::uint64_t> prompt;
    bool is_refused;
};

class fatal_block : public testing::TestWithParam<fatal_block_case>
{
};

TEST_P(fatal_block, refuses_only_prompts_that_crash_engines)
{
    const fatal_block_case& c = GetParam();
    fatal_block_detector d;
    mono_time at = start;
    std::uint64_t engine = 0;
    for (const auto& blocks : c.crashes)
    {
        at += milliseconds(100);
        ++engine;
        for (const std::uint64_t it : blocks)
            d.record_crash({it, {engine, 1}, at});
    }
    for (const auto& blocks : c.completions)
    {
        at += milliseconds(100);
        for (const std::uint64_t it : blocks)
            d.record_completion({it, at});
    }
    EXPECT_EQ(d.refusal(c.prompt, at + c.until).has_value(), c.is_refused);
}

INSTANTIATE_TEST_SUITE_P(
    prompts, fatal_block,
    testing::Values(fatal_block_case{"crashes_four_engines",
                                     {{common, fatal},
                                      {common, fatal},
                                      {common, fatal},
                                      {common, fatal}},
                                     {{common}},
                                     seconds(1),
                                     {common, fatal},
                                     true},
                    fatal_block_case{"with_other_blocks",
                                     {{common, fatal},
                                      {common, client, fatal},
                                      {common, fatal},
                                      {common, fatal}},
                                     {{common}},
                                     seconds(1),
                                     {common, client, fatal},
                                     true},
                    fatal_block_case{"sound_with_the_common_block",
                                     {{common, fatal},
                                      {common, fatal},
                                      {common, fatal},
                                      {common, fatal}},
                                     {{common}},
                                     seconds(1),
                                     {common, client},
                                     false},
                    fatal_block_case{"sound_while_none_has_completed",
                                     {{common, client, fatal},
                                      {common, client, fatal},
                                      {common, client, fatal},
                                      {common, client, fatal}},
                                     {},
                                     seconds(1),
                                     {common, client},
                                     false},
                    fatal_block_case{"fatal_while_none_has_completed",
                                     {{common, client, fatal},
                                      {common, client, fatal},
                                      {common, client, fatal},
                                      {common, client, fatal}},
                                     {},
                                     seconds(1),
                                     {common, client, fatal},
                                     true},
                    fatal_block_case{
                        "crashes_three_engines",
                        {{common, fatal}, {common, fatal}, {common, fatal}},
                        {{common}},
                        seconds(1),
                        {common, fatal},
                        false},
                    fatal_block_case{"completed_after_the_crashes",
                                     {{client}, {client}, {client}, {client}},
                                     {{client}},
                                     seconds(1),
                                     {client},
                                     false},
                    fatal_block_case{"before_others_may_have_completed",
                                     {{client}, {client}, {client}, {client}},
                                     {},
                                     milliseconds(500),
                                     {client},
                                     false},
                    fatal_block_case{"after_the_hold",
                                     {{fatal}, {fatal}, {fatal}, {fatal}},
                                     {},
                                     minutes(1),
                                     {fatal},
                                     false}),
    [](const auto& it) { return it.param.name; });

TEST(fatal_block_hold, doubles_when_the_block_is_still_fatal)
{
    fatal_block_detector d;
    for (std::uint64_t engine = 1; engine <= 4; ++engine)
        d.record_crash({fatal, {engine, 1}, start});
    const std::vector<std::uint64_t> prompt{common, fatal};
    EXPECT_EQ(d.refusal(prompt, start + seconds(2)), seconds(58));
    const mono_time later = start + seconds(70);
    EXPECT_FALSE(d.refusal(prompt, later).has_value());
    d.record_crash({fatal, {5, 1}, later});
    EXPECT_EQ(d.refusal(prompt, later), minutes(2));
}

// News of one crash arrives from several gateways, in any order and repeatedly.
TEST(fatal_block_news, of_one_process_count_once)
{
    fatal_block_detector d;
    for (int i = 0; i < 10; ++i)
        d.record_crash({fatal, {1, 1}, start + milliseconds(i)});
    EXPECT_EQ(d.crash_count(fatal), 1U);
    d.record_completion({fatal, start + seconds(1)});
    d.record_crash({fatal, {1, 1}, start});
    EXPECT_EQ(d.crash_count(fatal), 0U);
}

TEST(fatal_block_news, are_given_on_to_peers)
{
    fatal_block_detector here;
    fatal_block_detector peer;
    for (std::uint64_t engine = 1; engine <= 4; ++engine)
        for (const std::uint64_t block : {common, fatal})
            here.record_crash({block, {engine, 1}, start});
    here.record_completion({common, start + milliseconds(10)});
    for (const block_crash& it : here.crashes(start, 100))
        peer.record_crash(it);
    for (const block_completion& it : here.completions(start, 100))
        peer.record_completion(it);
    const std::vector<std::uint64_t> prompt{common, fatal};
    EXPECT_TRUE(peer.refusal(prompt, start + seconds(2)).has_value());
    EXPECT_EQ(peer.crash_count(common), 0U);
    EXPECT_TRUE(here.crashes(start + seconds(1), 100).empty());
    EXPECT_EQ(here.crashes(start, 2).size(), 2U);
}

TEST(fatal_block_memory, drops_the_oldest_blocks)
{
    fatal_block_settings s;
    s.max_blocks = 3;
    fatal_block_detector d(s);
    for (std::uint64_t block = 1; block <= 5; ++block)
        d.record_crash({block, {1, 1}, start + seconds(std::int64_t(block))});
    EXPECT_EQ(d.crash_count(2), 0U);
    EXPECT_EQ(d.crash_count(3), 1U);
    EXPECT_EQ(d.crash_count(5), 1U);
}

} // namespace
} // namespace poplar::policy
