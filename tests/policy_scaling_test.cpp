// Guards against too few upstreams for a load that the plan must answer,
// numbers outside of the bounds, and numbers that alternate.
#include "policy/scaling.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <gtest/gtest.h>
#include <numbers>
#include <rapidcheck/gtest.h>
#include <vector>

namespace poplar::policy
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration tick = milliseconds(500);

double in_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// Load in busy upstreams, by seconds since the start.
using load_curve = std::function<double(double)>;

/// Upstreams in one failure domain: an ordered one serves after the boot time,
/// one that is no longer wanted stops at once.
class domain
{
public:
    domain(scaling_bounds bounds, unsigned registered)
        : bounds_(bounds), registered_(registered)
    {
        ordered_ = registered;
    }

    /// Replaces the process that decides.
    void restart()
    {
        plan_ = scaling_plan();
        has_ordered_ = false;
    }

    void step(double level, bool is_complete = true)
    {
        time_ += tick;
        while (!boots_.empty() && boots_.front() <= time_)
        {
            boots_.erase(boots_.begin());
            ++registered_;
        }
        scaling_load load;
        load.asked = level * 0.4;
        load.running = level * 0.6;
        load.occupied =
            unsigned(std::ceil(std::min(load.running, double(registered_))));
        load.registered = registered_;
        load.is_complete = is_complete;
        const unsigned before = plan_number_;
        plan_number_ = plan_.update(bounds_, load, has_ordered_, time_);
        is_in_bounds = is_in_bounds && plan_number_ >= bounds_.min &&
                       plan_number_ <= bounds_.max;
        is_enough_for_running =
            is_enough_for_running &&
            plan_number_ >= std::min(load.occupied, bounds_.max);
        if (is_settled() && plan_number_ != ordered_)
            order(before);
        shortage = std::max(shortage, level - registered_);
        upstream_seconds += registered_ * in_seconds(tick);
    }

    /// Runs for `d`; the curve begins at the first call.
    void run(const load_curve& level, duration d)
    {
        for (duration t{}; t < d; t += tick, curve_time_ += tick)
            step(level(in_seconds(curve_time_)));
    }

    unsigned wanted() const
    {
        return plan_number_;
    }
    unsigned registered() const
    {
        return registered_;
    }

    bool is_in_bounds = true;
    bool is_enough_for_running = true;
    double shortage = -1e9; ///< Largest, in upstreams, since it was reset.
    double upstream_seconds = 0;
    unsigned orders = 0;
    unsigned reversals = 0; ///< Orders in the other direction.

private:
    /// As in the gateway, a process watches for some seconds before it orders.
    bool is_settled() const
    {
        return time_ >= mono_time(seconds(15));
    }

    void order(unsigned)
    {
        ++orders;
        has_ordered_ = true;
        const int direction = plan_number_ > ordered_ ? 1 : -1;
        if (direction == -last_direction_)
            ++reversals;
        last_direction_ = direction;
        ordered_ = plan_number_;
        while (registered_ + boots_.size() > ordered_ && !boots_.empty())
            boots_.pop_back();
        registered_ = std::min(registered_, ordered_);
        while (registered_ + boots_.size() < ordered_)
            boots_.push_back(time_ + bounds_.boot_time);
    }

    scaling_bounds bounds_;
    scaling_plan plan_;
    bool has_ordered_ = false;
    unsigned registered_;
    unsigned ordered_ = 0;
    unsigned plan_number_ = 0;
    int last_direction_ = 0;
    std::vector<mono_time> boots_;
    duration curve_time_{};
    mono_time time_{seconds(10)};
};

double wave(double t, double low, double high, double period)
{
    return low +
           (high - low) * (1 - std::cos(2 * std::numbers::pi * t / period)) / 2;
}

class scaling_boot_time : public testing::TestWithParam<int>
{
protected:
    scaling_bounds bounds(unsigned min, unsigned max) const
    {
        return {min, max, seconds(GetParam())};
    }
};

INSTANTIATE_TEST_SUITE_P(seconds, scaling_boot_time,
                         testing::Values(2, 5, 11, 20, 30));

// Steady load: the number settles and stays.
TEST_P(scaling_boot_time, settles_at_a_steady_load)
{
    domain d(bounds(1, 40), 4);
    d.run([](double) { return 7.0; }, seconds(300));
    EXPECT_EQ(d.wanted(), 10U);
    const unsigned orders = d.orders;
    d.run([](double) { return 7.0; }, seconds(300));
    EXPECT_EQ(d.orders, orders);
}

// A load that alternates around a threshold must not make the number alternate.
TEST_P(scaling_boot_time, does_not_alternate_at_a_threshold)
{
    domain d(bounds(1, 40), 9);
    // Needs 8.95 to 9.15 upstreams, slower than peaks are held.
    d.run([](double t) { return 6.335 + 0.07 * std::sin(t / 80); },
          seconds(3000));
    EXPECT_EQ(d.reversals, 0U);
}

// The averages of a new process rise from 0, which is no growth.
TEST_P(scaling_boot_time, takes_its_own_start_for_no_growth)
{
    domain d(bounds(1, 90), 10);
    unsigned highest = 0;
    for (int i = 0; i < 200; ++i)
    {
        d.step(9.45 * (1 - std::exp(-i / 6.0)));
        highest = std::max(highest, d.wanted());
    }
    EXPECT_EQ(highest, 14U);
}

// Each reduction is small, since a wrong one costs callers a boot time.
TEST_P(scaling_boot_time, reduces_in_small_steps)
{
    domain d(bounds(1, 90), 40);
    std::vector<unsigned> numbers;
    for (int i = 0; i < 1600; ++i)
    {
        // The load of other gateways is unknown while it falls.
        d.step(i < 100 ? 28 : 1, i < 100 || i >= 900);
        numbers.push_back(d.wanted());
    }
    // 4.5 s are less than the least time between two reductions.
    for (std::size_t i = 9; i < numbers.size(); ++i)
        ASSERT_GE(numbers[i] + std::max(1U, numbers[i - 9] / 10),
                  numbers[i - 9]);
    EXPECT_LE(numbers.back(), 2U);
}

// Waves shorter than most boot times: after the first one, upstreams for the
// peak are kept, and no wave leads to an order.
TEST_P(scaling_boot_time, keeps_upstreams_for_waves)
{
    domain d(bounds(1, 60), 6);
    const auto waves = [](double t)
    {
        return wave(t, 4, 16, 11);
    };
    d.run(waves, seconds(180));
    d.shortage = -1e9;
    const unsigned orders = d.orders;
    d.run(waves, seconds(300));
    EXPECT_LE(d.shortage, 0);
    EXPECT_EQ(d.orders, orders);
    EXPECT_LE(d.wanted(), 24U); // 16 / 0.7, rounded up, and the margin.
}

// A rise that takes as long as a boot: looking ahead must have the upstreams
// ready, once the rise has been seen for one boot time.
TEST_P(scaling_boot_time, is_ahead_of_a_long_rise)
{
    const double horizon = GetParam() + 4;
    domain d(bounds(1, 400), 15);
    d.run([](double) { return 10.0; }, seconds(60));
    // Grows by 60% of the first level in each horizon, faster than the spare
    // capacity alone answers.
    const auto rise = [&](double t)
    {
        return 10 + 6 * std::max(0.0, t - 60) / horizon;
    };
    d.run(rise, duration(std::int64_t(horizon * 1e6)));
    d.shortage = -1e9;
    d.run(rise, duration(std::int64_t(4 * horizon * 1e6)));
    EXPECT_LE(d.shortage, 0);
}

// A burst that recurs within the hold time finds its upstreams ready.
TEST_P(scaling_boot_time, remembers_a_burst)
{
    domain d(bounds(1, 60), 6);
    const auto bursts = [](double t)
    {
        return std::fmod(t, 28) > 24 ? 20.0 : 4.0;
    };
    d.run(bursts, seconds(4 * 28));
    d.shortage = -1e9;
    d.run(bursts, seconds(8 * 28));
    EXPECT_LE(d.shortage, 0);
}

// After the load is gone, the upstreams are given up, since they are billed.
TEST_P(scaling_boot_time, gives_up_upstreams_after_a_burst)
{
    domain d(bounds(2, 60), 4);
    d.run([](double t) { return t < 60 ? 30.0 : 1.0; }, seconds(800));
    EXPECT_EQ(d.wanted(), 2U);
}

// The load of a lost domain arrives at the others at once.
TEST_P(scaling_boot_time, takes_over_the_load_of_a_lost_domain)
{
    domain rest(bounds(1, 60), 12);
    const auto load = [](double t)
    {
        return t < 120 ? 8.0 : 16.0;
    };
    rest.run(load, seconds(120));
    rest.run(load, tick);
    EXPECT_GE(rest.wanted(), 23U);
    rest.run(load, seconds(GetParam() + 1));
    rest.shortage = -1e9;
    rest.run(load, seconds(300));
    EXPECT_LE(rest.shortage, 0);
}

// The lost domain's own number is kept for the time for which peaks are held:
// it may come back.
TEST_P(scaling_boot_time, keeps_the_number_of_a_lost_domain)
{
    domain lost(bounds(1, 60), 12);
    const auto load = [](double t)
    {
        return t < 120 ? 8.0 : 0.0;
    };
    lost.run(load, seconds(120));
    const unsigned before = lost.wanted();
    lost.run(load, seconds(29));
    EXPECT_EQ(lost.wanted(), before);
}

// A new holder has seen no demand, and its averages rise from 0.
TEST_P(scaling_boot_time, starts_from_the_registered_number)
{
    domain d(bounds(1, 60), 6);
    d.run([](double) { return 14.0; }, seconds(120));
    const unsigned before = d.registered();
    const unsigned orders = d.orders;
    d.restart();
    d.run([](double t) { return 14.0 * (1 - std::exp(-(t - 120) / 3)); },
          seconds(60));
    EXPECT_EQ(d.registered(), before);
    EXPECT_EQ(d.orders, orders);
}

// Upstreams that an earlier holder ordered register after the new one began.
TEST(scaling_plan, keeps_upstreams_that_an_earlier_holder_ordered)
{
    scaling_plan plan;
    const scaling_bounds bounds{1, 20, seconds(10)};
    mono_time now(seconds(5));
    scaling_load load;
    load.asked = 2;
    load.registered = 4;
    EXPECT_EQ(plan.update(bounds, load, false, now), 4U);
    load.registered = 7;
    EXPECT_EQ(plan.update(bounds, load, false, now + seconds(6)), 7U);
    load.registered = 9; // After own orders the number is this process's.
    EXPECT_EQ(plan.update(bounds, load, true, now + seconds(7)), 7U);
}

// A new holder that sees that the load is gone gives up upstreams, though it
// has ordered none itself.
TEST(scaling_plan, reduces_what_an_earlier_holder_ordered)
{
    scaling_plan plan;
    scaling_load load;
    load.registered = 9;
    mono_time now(seconds(5));
    unsigned wanted = 0;
    for (int i = 0; i < 2000; ++i, now += tick)
        wanted = plan.update({1, 20, seconds(5)}, load, false, now);
    EXPECT_EQ(wanted, 1U);
}

// Requests that run would have to be moved or broken off.
TEST(scaling_plan, keeps_what_running_requests_need)
{
    scaling_plan plan;
    scaling_load load;
    load.registered = 9;
    load.occupied = 6;
    mono_time now(seconds(5));
    for (int i = 0; i < 2000; ++i, now += tick)
        ASSERT_GE(plan.update({1, 20, seconds(5)}, load, true, now), 6U);
}

// A holder that hears of few gateways sees little demand.
TEST(scaling_plan, is_not_reduced_while_load_is_unknown)
{
    domain d({1, 60, seconds(5)}, 6);
    d.run([](double) { return 14.0; }, seconds(60));
    const unsigned before = d.wanted();
    for (int i = 0; i < 1000; ++i)
        d.step(1, false);
    EXPECT_EQ(d.wanted(), before);
}

// An order that is on its way is not taken back at once.
TEST(scaling_plan, gives_up_no_upstream_before_it_serves)
{
    domain d({1, 90, seconds(20)}, 6);
    const auto step = [](double t)
    {
        return t < 60 ? 4.0 : 20.0;
    };
    d.run(step, seconds(63));
    const unsigned raised = d.wanted();
    d.run(step, seconds(18));
    EXPECT_GE(d.wanted(), raised);
}

struct limits_case
{
    const char* name;
    scaling_bounds bounds;
    scaling_load load;
    unsigned wanted;
};

class scaling_limits : public testing::TestWithParam<limits_case>
{
};

TEST_P(scaling_limits, hold)
{
    scaling_plan plan;
    const limits_case& it = GetParam();
    EXPECT_EQ(plan.update(it.bounds, it.load, true, mono_time(seconds(1))),
              it.wanted);
}

INSTANTIATE_TEST_SUITE_P(
    numbers, scaling_limits,
    testing::Values(
        limits_case{"idle", {2, 9, seconds(5)}, {}, 2},
        limits_case{"idle_without_minimum", {0, 9, seconds(5)}, {}, 1},
        limits_case{"none_allowed", {0, 0, seconds(5)}, {.asked = 4}, 0},
        limits_case{"asked", {0, 9, seconds(5)}, {.asked = 3.5}, 5},
        limits_case{"running", {0, 9, seconds(5)}, {.running = 3.5}, 5},
        limits_case{
            "both", {0, 9, seconds(5)}, {.asked = 2, .running = 1.5}, 5},
        limits_case{"occupied", {0, 9, seconds(5)}, {.occupied = 6}, 6},
        limits_case{"above", {0, 9, seconds(5)}, {.asked = 70}, 9},
        limits_case{"far_above", {0, 9, seconds(5)}, {.asked = 1e300}, 9},
        limits_case{"occupied_above", {0, 9, seconds(5)}, {.occupied = 12}, 9}),
    [](const auto& it) { return it.param.name; });

/// Any load: the number stays within the bounds and above what runs.
RC_GTEST_PROP(scaling_any_load, stays_within_bounds,
              (const std::vector<std::uint16_t>& levels))
{
    const auto min = *rc::gen::inRange(0U, 6U);
    const auto max = min + *rc::gen::inRange(0U, 30U);
    const duration boot = seconds(*rc::gen::inRange(2, 31));
    domain d({min, max, boot}, *rc::gen::inRange(0U, 40U));
    for (const std::uint16_t it : levels)
    {
        if (it % 97 == 0)
            d.restart();
        for (int i = 0; i < it % 31; ++i)
            d.step((it % 500) / 10.0, it % 7 != 0);
    }
    RC_ASSERT(d.is_in_bounds);
    RC_ASSERT(d.is_enough_for_running);
}

/// The stated load: a level that grows by at most 40% within the boot time and
/// the reaction time, from any base, is answered without a shortage.
RC_GTEST_PROP(scaling_stated_load, is_answered, ())
{
    const int boot = *rc::gen::inRange(2, 31);
    const double base = *rc::gen::inRange(10, 200) / 10.0;
    const double share = *rc::gen::inRange(0, 41) / 100.0;
    const double horizon = boot + 4;
    domain d({1, 1000, seconds(boot)}, unsigned(std::ceil(base / 0.7)));
    const auto level = [&](double t)
    {
        const double rising = std::clamp(t - 30, 0.0, 3 * horizon);
        return base * std::pow(1 + share, rising / horizon);
    };
    d.run(level, seconds(30));
    d.run(level, seconds(4 * boot + 40));
    RC_ASSERT(d.shortage <= 0);
}

/// Waves of any height and of periods up to the hold time, of any boot time:
/// no shortage after the first two boot times and periods.
RC_GTEST_PROP(scaling_any_waves, are_answered, ())
{
    const int boot = *rc::gen::inRange(2, 31);
    const double low = *rc::gen::inRange(0, 100) / 10.0;
    const double high = low + *rc::gen::inRange(0, 200) / 10.0;
    const int period = *rc::gen::inRange(3, 30);
    domain d({1, 1000, seconds(boot)}, 5);
    const auto waves = [&](double t)
    {
        return wave(t, low, high, period);
    };
    d.run(waves, seconds(20 + 2 * (boot + period)));
    d.shortage = -1e9;
    d.run(waves, seconds(240));
    RC_ASSERT(d.shortage <= 0);
}

} // namespace
} // namespace poplar::policy
