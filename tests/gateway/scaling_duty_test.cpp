// Guards against holders that order upstreams together or with falling fencing
// tokens, orders that are lost, and more calls than the platform allows.
#include "tests/gateway/scaling_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplar::gateway
{
namespace
{

TEST(scaling_duty, makes_no_call_without_a_scaled_service)
{
    world w(2);
    w.has_scaling = false;
    const std::uint64_t writes = w.store.writes();
    w.run(seconds(60));
    EXPECT_TRUE(w.api.times.empty());
    EXPECT_EQ(w.store.writes(), writes);
}

TEST(scaling_duty, makes_no_call_while_the_number_fits)
{
    world w(3);
    w.run(seconds(300));
    EXPECT_TRUE(w.api.times.empty());
}

TEST(scaling_duty, sends_one_order_for_a_new_number)
{
    world w(3);
    w.run(seconds(20));
    w.asked = 7;
    w.run(seconds(10));
    EXPECT_EQ(w.number("east"), 10U);
    EXPECT_EQ(w.number("west"), 10U);
    EXPECT_EQ(w.api.times.size(), 2U);
}

// Entries and load reports of others have not arrived when a process starts.
TEST(scaling_duty, orders_nothing_before_it_has_watched)
{
    world w(1);
    w.asked = 7;
    w.run(milliseconds(4500));
    EXPECT_TRUE(w.api.times.empty());
}

struct fault_case
{
    const char* name;
    api_fault fault;
    std::size_t max_calls; ///< In 20 s.
};

class scaling_fault : public testing::TestWithParam<fault_case>
{
};

// Repeats with growing delays until the platform confirms the order.
TEST_P(scaling_fault, is_repeated_until_confirmed)
{
    world w(1);
    w.run(seconds(20));
    w.asked = 7;
    w.api.fault = GetParam().fault;
    w.run(seconds(20));
    EXPECT_GE(w.api.times.size(), 2U);
    EXPECT_LE(w.api.times.size(), GetParam().max_calls);
    w.api.fault = api_fault::none;
    w.run(seconds(40));
    EXPECT_EQ(w.number("east"), 10U);
    EXPECT_EQ(w.number("west"), 10U);
    const std::size_t after = w.api.times.size();
    w.run(seconds(20));
    EXPECT_EQ(w.api.times.size(), after) << "confirmed orders are not repeated";
}

INSTANTIATE_TEST_SUITE_P(
    faults, scaling_fault,
    testing::Values(fault_case{"lost_answer", api_fault::lost_answer, 8},
                    fault_case{"unreachable", api_fault::unreachable, 8},
                    fault_case{"rate_limited", api_fault::rate_limited, 8},
                    fault_case{"refused", api_fault::refused_order, 16}),
    [](const auto& it) { return it.param.name; });

// A service that the platform does not know must not delay the others.
TEST(scaling_duty, orders_other_services_when_one_is_refused)
{
    world w(1, 3);
    w.run(seconds(20));
    w.asked = 7;
    w.api.fault = api_fault::refused_order;
    w.run(seconds(5));
    EXPECT_EQ(w.number("east"), 4U);
    EXPECT_EQ((w.api.numbers.at({"s1", "east"})), 10U);
    EXPECT_EQ((w.api.numbers.at({"s2", "west"})), 10U);
}

// The limit holds for all duties together, and usage reports need most of it.
TEST(scaling_duty, uses_a_fifth_of_the_allowed_calls)
{
    world w(1, 60);
    w.run(seconds(20));
    w.asked = 7;
    w.run(seconds(40));
    EXPECT_EQ((w.api.numbers.at({"s59", "west"})), 10U);
    const auto& times = w.api.times;
    for (std::size_t i = 10; i < times.size(); ++i)
        ASSERT_GE(times[i] - times[i - 10], duration(seconds(1))) << i;
}

// Slow answers must not delay the renewal of the lease and other duties.
TEST(scaling_duty, ends_a_step_when_answers_are_slow)
{
    world w(1, 10);
    w.run(seconds(20));
    w.asked = 7;
    w.call_time = milliseconds(400);
    w.time += seconds(1);
    const mono_time before = w.time;
    w.step(0);
    EXPECT_LE(w.time - before, duration(milliseconds(800)));
}

// The lost domain's number is ordered again, as a new holder would find none.
TEST(scaling_duty, keeps_the_number_of_a_lost_domain)
{
    world w(1);
    w.run(seconds(20));
    w.lost = {"west"};
    w.api.numbers[{"s0", "west"}] = 0;
    w.run(seconds(10));
    EXPECT_EQ(w.number("west"), 4U);
}

TEST(scaling_duty, reduces_nothing_while_load_is_unknown)
{
    world w(1);
    w.run(seconds(20));
    w.asked = 0;
    w.is_complete = false;
    w.run(seconds(300));
    EXPECT_EQ(w.number(), 4U);
    w.is_complete = true;
    w.run(seconds(300));
    EXPECT_EQ(w.number(), 2U);
}

// A new holder has seen no demand; it must not order fewer than run.
TEST(scaling_duty, starts_from_the_registered_number_after_a_restart)
{
    world w(1);
    w.run(seconds(20));
    w.asked = 7;
    w.run(seconds(20));
    ASSERT_EQ(w.number(), 10U);
    w.start(0);
    w.asked = 0;
    w.run(seconds(30));
    EXPECT_EQ(w.number(), 10U);
}

// Ordered by nobody else while the holder is gone, and by one afterwards.
TEST(scaling_duty, is_taken_over_when_the_holder_ends)
{
    world w(3);
    w.run(seconds(20));
    w.asked = 4;
    w.run(seconds(10));
    ASSERT_TRUE(w.holds(0));
    w.silence(0);
    w.asked = 7;
    w.run(seconds(20), {0});
    EXPECT_TRUE(w.holds(1));
    EXPECT_EQ(w.number(), 10U);
    EXPECT_EQ(w.store_failures, 0U);
}

TEST(scaling_duty, passes_on_when_the_holder_cannot_reach_the_api)
{
    world w(2);
    w.run(seconds(20));
    w.asked = 7;
    for (int i = 0; i < 80; ++i)
    {
        w.time += milliseconds(500);
        w.api.fault = api_fault::unreachable;
        w.step(0);
        w.api.fault = api_fault::none;
        w.step(1);
    }
    EXPECT_EQ(w.number(), 10U);
}

// The usage duty acquires the lease where there is one; two acquisitions would
// cost twice the calls to the store.
TEST(scaling_duty, leaves_the_lease_to_another_duty)
{
    world w(2, 1, false);
    w.run(seconds(20));
    const std::uint64_t writes = w.store.writes();
    w.asked = 7;
    w.run(seconds(20));
    EXPECT_EQ(w.store.writes(), writes);
    EXPECT_TRUE(w.api.times.empty());
}

// Not all gateways call the store at once.
TEST(scaling_duty, is_taken_by_the_first_gateway)
{
    world w(3);
    w.run(seconds(20));
    w.asked = 7;
    for (const std::size_t i : {2U, 1U, 0U})
        w.step(i);
    EXPECT_TRUE(w.holds(0));
    EXPECT_FALSE(w.holds(1) || w.holds(2));
}

// The store's answer may arrive after the lease has expired.
TEST(scaling_duty, sends_nothing_after_a_slow_renewal)
{
    world w(1);
    w.run(seconds(20));
    w.asked = 7;
    w.store.before_answer = [&w]
    {
        w.time += milliseconds(1200);
    };
    w.step(0);
    EXPECT_TRUE(w.api.times.empty());
}

// Each further call would wait for its timeout, too.
TEST(scaling_duty, makes_one_call_while_the_api_does_not_answer)
{
    world w(1, 3);
    w.run(seconds(20));
    w.asked = 7;
    w.api.fault = api_fault::unreachable;
    w.step(0);
    EXPECT_EQ(w.api.times.size(), 1U);
}

// The platform may have carried out the order whose answer was lost.
TEST(scaling_duty, takes_back_an_order_without_an_answer)
{
    world w(1);
    w.run(seconds(20));
    w.asked = 7;
    w.run(seconds(10));
    ASSERT_EQ(w.number(), 10U);
    w.asked = 0;
    w.api.fault = api_fault::lost_answer;
    for (int i = 0; i < 1000 && w.number() == 10; ++i)
        w.run(milliseconds(500));
    ASSERT_EQ(w.number(), 9U);
    w.asked = 7;
    w.api.fault = api_fault::none;
    w.run(seconds(20));
    EXPECT_EQ(w.number(), 10U);
}

// A holder that was suspended must not rely on its own earlier orders.
TEST(scaling_duty, forgets_its_orders_when_another_one_has_ordered)
{
    world w(2);
    w.run(seconds(20));
    w.asked = 7;
    w.run(seconds(10));
    ASSERT_EQ(w.number(), 10U);
    w.silence(0);
    w.asked = 0;
    w.run(seconds(400), {0});
    ASSERT_EQ(w.number(), 2U);
    w.run(seconds(3));
    w.silence(1);
    w.asked = 7;
    w.run(seconds(30), {1});
    EXPECT_EQ(w.number(), 10U);
}

// A holder that was suspended and wants what it had ordered would not notice
// that another one has ordered another number.
TEST(scaling_duty, notices_that_another_one_holds_the_lease)
{
    world w(2);
    w.run(seconds(20));
    w.asked = 7;
    w.run(seconds(10));
    w.silence(0);
    w.asked = 0;
    w.run(seconds(400), {0});
    ASSERT_EQ(w.number(), 2U);
    w.asked = 7;
    w.run(seconds(3), {1}); // The other one still announces itself.
    EXPECT_FALSE(w.holds(0));
    w.silence(1);
    w.run(seconds(30), {1});
    EXPECT_EQ(w.number(), 10U);
}

// A holder that has no order to send does not renew the lease.
TEST(scaling_duty, is_not_taken_from_a_live_holder)
{
    world w(2);
    w.run(seconds(20));
    w.asked = 4;
    w.run(seconds(20));
    ASSERT_TRUE(w.holds(0));
    w.asked = 7;
    w.run(seconds(20), {0});
    EXPECT_FALSE(w.holds(1));
}

/// Gateways act in random order with random pauses and loads, faults of the
/// store and of the API, restorations of the store and restarts.
RC_GTEST_PROP(scaling_duty_history, breaks_no_rule_of_holders,
              (const std::vector<std::uint32_t>& draws))
{
    world w(3, 2);
    auto copy = w.store.make_copy();
    w.run(seconds(8));
    for (const std::uint32_t it : draws)
    {
        w.time += milliseconds(it % 2300);
        w.asked = double((it >> 9U) % 80) / 10;
        w.call_time = milliseconds(it % 23 == 0 ? 900 : 5);
        if (it % 29 == 0)
            w.store.restore(copy);
        else if (it % 7 == 0)
            copy = w.store.make_copy();
        const std::size_t i = (it >> 3U) % 3;
        w.store.set_faults({});
        if (it % 19 == 0)
            w.start(i);
        w.store.set_faults({.outage = it % 11 == 0,
                            .lose_answers = it % 13 == 0 ? 1U : 0U,
                            .lose_requests = it % 17 == 0 ? 1U : 0U});
        w.api.fault = api_fault((it >> 7U) % 8 < 4 ? (it >> 7U) % 4 : 0);
        if (it % 5 == 0)
            w.silence((it >> 5U) % 3);
        w.step(i); // Throws where a rule is broken.
    }
}

} // namespace
} // namespace poplar::gateway
