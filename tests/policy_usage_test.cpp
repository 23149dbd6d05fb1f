// Guards against usage reports whose windows, counts or clocks are wrong.
#include "policy/clock_consensus.hpp"
#include "policy/usage_plan.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplar::policy
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

window_number window(std::uint64_t n)
{
    return window_number(n);
}

struct window_case
{
    const char* name;
    unix_time at;
    std::uint64_t expected;
};

class usage_window : public testing::TestWithParam<window_case>
{
};

TEST_P(usage_window, begins_at_multiples_of_its_length)
{
    EXPECT_EQ(window_at(GetParam().at, seconds(5)),
              window(GetParam().expected));
}

INSTANTIATE_TEST_SUITE_P(
    times, usage_window,
    testing::Values(window_case{"epoch", unix_time(0), 0},
                    window_case{"end_of_first", seconds(5) - unix_time(1), 0},
                    window_case{"second", seconds(5), 1},
                    window_case{"before_epoch", seconds(-7), 0},
                    window_case{"today", seconds(1767225601), 353445120}),
    [](const auto& it) { return it.param.name; });

TEST(usage_windows, add_up_all_processes_and_ignore_repeats)
{
    usage_windows w;
    w.count(window(7), "a");
    w.count(window(7), "a");
    w.apply({"g2", 1}, window(7), {{"a", 3}, {"b", 1}});
    w.apply({"g2", 1}, window(7), {{"a", 5}});  // Cumulative.
    w.apply({"g2", 1}, window(7), {{"a", 4}});  // Overtaken.
    w.apply({"g2", 2}, window(7), {{"a", 10}}); // Restarted.
    EXPECT_EQ(w.total(window(7)), (account_counts{{"a", 17}, {"b", 1}}));
    EXPECT_TRUE(w.total(window(8)).empty());
}

// A count that arrives after the report was fixed would be kept for ever.
TEST(usage_windows, drop_counts_of_settled_windows)
{
    usage_windows w;
    w.count(window(7), "a");
    w.discard_before(window(8));
    w.count(window(7), "a");
    w.apply({"g2", 1}, window(7), {{"a", 3}});
    EXPECT_TRUE(w.total(window(7)).empty());
    EXPECT_TRUE(w.own().empty());
}

struct clock_case
{
    const char* name;
    std::vector<int> offsets_ms; ///< Errors of the peers' clocks.
    int own_ms;
    int allowed_ms;
};

class clock_error : public testing::TestWithParam<clock_case>
{
};

TEST_P(clock_error, of_a_minority_changes_nothing)
{
    const mono_time t{seconds(100)};
    const unix_time truth = seconds(1'700'000'000);
    clock_consensus c;
    c.set_own(truth + milliseconds(GetParam().own_ms), t);
    for (std::size_t i = 0; i < GetParam().offsets_ms.size(); ++i)
        c.add("peer" + std::to_string(i),
              truth + milliseconds(GetParam().offsets_ms[i]), t);
    const auto later = seconds(3);
    const duration error = c.at(t + later) - (truth + later);
    EXPECT_LE(std::abs(to_milliseconds(error)), GetParam().allowed_ms);
}

INSTANTIATE_TEST_SUITE_P(
    clocks, clock_error,
    testing::Values(clock_case{"own_ahead", {1, -2, 0, 3}, 2000, 3},
                    clock_case{"own_back", {1, -2, 0, 3}, -2000, 3},
                    clock_case{"two_of_five", {2000, 1, -2000, -1}, 0, 1},
                    clock_case{"one_peer_ahead", {2000, 4}, 0, 4},
                    clock_case{"alone", {}, 5, 5}),
    [](const auto& it) { return it.param.name; });

TEST(clock_consensus, forgets_silent_peers)
{
    clock_consensus c;
    c.set_own(seconds(1000), mono_time{seconds(1)});
    c.add("a", seconds(2000), mono_time{seconds(1)});
    c.add("b", seconds(2000), mono_time{seconds(1)});
    c.expire(mono_time{seconds(2)});
    EXPECT_EQ(c.at(mono_time{seconds(1)}), unix_time(seconds(1000)));
}

/// A holder that began to serve in window 100 and knows `now_s` seconds.
usage_plan_input input_at(int now_s)
{
    usage_plan_input in;
    in.now = seconds(now_s);
    in.started = seconds(501);
    in.total = [](window_number w) -> account_counts
    {
        return {{"a", std::uint32_t(w.value)}};
    };
    return in;
}

std::vector<std::uint64_t> windows_of(const usage_record& r)
{
    std::vector<std::uint64_t> numbers;
    std::ranges::transform(r.pending, std::back_inserter(numbers),
                           [](const usage_report& it)
                           { return it.window.value; });
    return numbers;
}

TEST(usage_plan, waits_until_counts_are_complete)
{
    EXPECT_TRUE(plan_usage({}, input_at(506)).record.pending.empty());
    EXPECT_EQ(windows_of(plan_usage({}, input_at(507)).record),
              (std::vector<std::uint64_t>{100}));
}

TEST(usage_plan, fixes_all_windows_after_an_outage_of_the_store)
{
    usage_plan_input in = input_at(527);
    in.record.fixed_through = window(100);
    const usage_plan p = plan_usage({}, in);
    EXPECT_EQ(windows_of(p.record),
              (std::vector<std::uint64_t>{101, 102, 103, 104}));
    EXPECT_EQ(p.record.fixed_through, window(104));
}

TEST(usage_plan, keeps_fixed_counts_until_they_are_confirmed)
{
    usage_plan_input in = input_at(512);
    in.record = {window(100), {{window(100), {{"a", 7}}}}};
    const usage_plan kept = plan_usage({}, in);
    ASSERT_EQ(windows_of(kept.record), (std::vector<std::uint64_t>{100, 101}));
    EXPECT_EQ(kept.record.pending[0].counts, (account_counts{{"a", 7}}));
    in.confirmed = {window(100)};
    EXPECT_EQ(windows_of(plan_usage({}, in).record),
              (std::vector<std::uint64_t>{101}));
}

TEST(usage_plan, gives_up_old_windows)
{
    usage_plan_input in = input_at(700);
    in.record = {window(110), {{window(110), {}}}};
    const usage_plan p = plan_usage({}, in);
    EXPECT_EQ(windows_of(p.record).front(), 128U);
    EXPECT_EQ(p.record.fixed_through, window(138));
    EXPECT_FALSE(p.abandoned.empty());
}

// The record of a restored store may lack reports that were sent. Only the
// process that fixed them knows their counts.
TEST(usage_plan, repeats_only_own_reports_after_a_restoration)
{
    usage_plan_input in = input_at(522);
    in.record.fixed_through = window(99);
    in.restored = seconds(516);
    in.own_fixed = {{window(101), {{"a", 9}}}};
    const usage_plan p = plan_usage({}, in);
    EXPECT_EQ(windows_of(p.record), (std::vector<std::uint64_t>{101, 103}));
    EXPECT_EQ(p.record.pending[0].counts, (account_counts{{"a", 9}}));
    EXPECT_EQ(p.abandoned,
              (std::vector<window_number>{window(100), window(102)}));
}

RC_GTEST_PROP(usage_plan_history, fixes_each_window_once_and_in_order,
              (const std::vector<std::uint8_t>& steps))
{
    usage_plan_input in = input_at(501);
    std::map<window_number, account_counts> fixed;
    std::uint32_t salt = 0;
    in.total = [&](window_number) -> account_counts
    {
        return {{"a", ++salt}}; // Differs with each call.
    };
    for (const std::uint8_t it : steps)
    {
        in.now += milliseconds(std::int64_t(it) * 80);
        const usage_plan p = plan_usage({}, in);
        RC_ASSERT(!in.record.fixed_through ||
                  *p.record.fixed_through >= *in.record.fixed_through);
        for (const usage_report& r : p.record.pending)
        {
            const auto known = fixed.emplace(r.window, r.counts).first;
            RC_ASSERT(known->second == r.counts);
            RC_ASSERT(r.window <= *p.record.fixed_through);
        }
        in.record = p.record;
        if (it % 3 == 0 && !in.record.pending.empty())
            in.confirmed.insert(in.record.pending.front().window);
    }
}

} // namespace
} // namespace poplar::policy
