// Guards against holders that order upstreams together or with falling fencing
// tokens, orders that are lost, and more calls than the platform allows.
#include "gateway/scaling_duty.hpp"

#include "gateway/engine_control.hpp"
#include "gateway/load_exchange.hpp"
#include "store/memory_store.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace poplar::gateway
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What the platform's API does with the next calls.
enum class api_fault
{
    none,
    lost_answer, ///< The order is carried out.
    unreachable,
    rate_limited,
    refused_order ///< The order of the first service only.
};

const service_id first_service("s0");

/// The platform's API. Throws std::logic_error where a rule is broken.
class fake_api
{
public:
    using subject = std::pair<std::string, std::string>;

    net::client_result call(const platform::duty_credentials& by,
                            const platform::scale_order& order, int process,
                            mono_time now)
    {
        times.push_back(now);
        net::client_result result;
        result.response.status = 200;
        check(by, order, process, now);
        if (fault == api_fault::unreachable)
            result.failure = net::client_failure::timed_out;
        if (fault == api_fault::rate_limited)
            result.response.status = 429;
        if (fault == api_fault::refused_order && order.service == first_service)
            result.response.status = 400;
        if (fault == api_fault::none || fault == api_fault::lost_answer ||
            (fault == api_fault::refused_order &&
             order.service != first_service))
            numbers[{order.service.value, order.failure_domain.value}] =
                order.wanted;
        if (fault == api_fault::lost_answer)
            result.failure = net::client_failure::broken;
        return result;
    }

    api_fault fault = api_fault::none;
    std::map<subject, unsigned> numbers;
    std::vector<mono_time> times; ///< Of all calls.

private:
    struct last_call
    {
        std::uint64_t token = 0;
        int process = -1;
        mono_time at{};
    };

    void check(const platform::duty_credentials& by,
               const platform::scale_order& order, int process, mono_time now)
    {
        last_call& last =
            last_[{order.service.value, order.failure_domain.value}];
        if (by.fencing.value < last.token)
            throw std::logic_error("the fencing token fell");
        if (last.process >= 0 && last.process != process)
        {
            if (by.fencing.value == last.token)
                throw std::logic_error("two holders used one token");
            if (now - last.at < seconds(3))
                throw std::logic_error("two holders acted in turn");
        }
        last = {by.fencing.value, process, now};
    }

    std::map<subject, last_call> last_;
};

/// A store that has not been restored; eras begin at 1.
struct first_era_store : store::memory_store
{
    first_era_store()
    {
        restore(make_copy());
    }

    store::put_result put(const object_key& key, const std::string& value,
                          object_version expected) override
    {
        const store::put_result result =
            memory_store::put(key, value, expected);
        before_answer();
        return result;
    }

    std::function<void()> before_answer = [] {
    };
};

/// Gateways on a common clock. The platform carries orders out at once.
class world
{
public:
    explicit world(std::size_t gateways, std::size_t services = 1,
                   bool acquires = true)
        : acquires_lease(acquires)
    {
        for (std::size_t i = 0; i < services; ++i)
            for (const char* domain : {"east", "west"})
                api.numbers[{"s" + std::to_string(i), domain}] = 4;
        for (std::size_t i = 0; i < gateways; ++i)
            start(i);
    }

    /// Replaces the process of a gateway.
    void start(std::size_t i)
    {
        heard_.erase(i);
        announced_.erase(i);
        gateways_[i] = std::make_unique<process>(*this, i);
    }

    void step(std::size_t i)
    {
        process& p = *gateways_.at(i);
        try
        {
            p.duty.step(p.lease,
                        [&](const platform::duty_credentials& by,
                            const platform::scale_order& order)
                        {
                            time += call_time;
                            return api.call(by, order, p.number, time);
                        });
        }
        catch (const store::store_error&)
        {
            ++store_failures; // As in the gateway, the next step tries again.
        }
    }

    /// Steps all gateways but those in `silent` each half second.
    void run(duration d, const std::set<std::size_t>& silent = {})
    {
        const mono_time end = time + d;
        while (time < end)
        {
            time += milliseconds(500);
            for (const auto& [i, p] : gateways_)
                if (!silent.contains(i))
                    step(i);
        }
    }

    /// The gateway no longer announces itself, as if it were cut off.
    void silence(std::size_t i)
    {
        announced_[i] = false;
    }

    unsigned number(const std::string& domain = "east") const
    {
        return api.numbers.at({first_service.value, domain});
    }
    bool holds(std::size_t i) const
    {
        return gateways_.at(i)->lease.is_holder();
    }

    first_era_store store;
    fake_api api;
    mono_time time{seconds(10)};
    unsigned store_failures = 0;
    duration call_time{};
    double asked = 2.5; ///< By callers in each failure domain.
    bool has_scaling = true;
    std::set<std::string> lost; ///< Failure domains without upstreams.
    bool is_complete = true;
    const bool acquires_lease;

private:
    struct process
    {
        process(world& w, std::size_t i)
            : started(w.time), number(int(i) + 10 * w.starts_++),
              lease(w.store, {.holder = "g" + std::to_string(i)},
                    [&w] { return w.time; }),
              duty(options(w, i))
        {
            w.store.get(object_key("any")); // Tells the era.
            lease.follow_era();
        }

        scaling_duty_options options(world& w, std::size_t i)
        {
            scaling_duty_options o;
            o.holder = "g" + std::to_string(i);
            o.acquires_lease = w.acquires_lease;
            o.clock = [&w]
            {
                return w.time;
            };
            o.view = [this, &w, i]
            {
                return w.view(*this, i);
            };
            o.announce = [&w, i](bool is_holder)
            {
                w.announced_[i] = is_holder;
            };
            return o;
        }

        mono_time started;
        int number;
        duty_lease lease;
        scaling_duty duty;
    };

    scaling_view view(const process& p, std::size_t i)
    {
        scaling_view v;
        for (const auto& [other, is_holder] : announced_)
            if (is_holder)
                heard_[other] = time;
        mono_time heard = p.started;
        for (const auto& [other, at] : heard_)
            if (other != i)
                heard = std::max(heard, at);
        v.holder_silence = time - heard;
        v.index = i;
        v.gateways = gateways_.size();
        v.is_complete = is_complete;
        if (!has_scaling)
            return v;
        std::map<std::string, scaled_service> services;
        for (const auto& [of, n] : api.numbers)
        {
            scaled_service& s = services[of.first];
            s.name = service_id(of.first);
            s.bounds = {2, 10, seconds(5)};
            if (lost.contains(of.second))
                continue;
            policy::scaling_load load;
            load.asked = asked;
            load.registered = n;
            s.domains[failure_domain_id(of.second)] = load;
        }
        for (auto& [name, it] : services)
            v.services.push_back(std::move(it));
        return v;
    }

    std::map<std::size_t, std::unique_ptr<process>> gateways_;
    std::map<std::size_t, bool> announced_;
    std::map<std::size_t, mono_time> heard_;
    int starts_ = 0;
};

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

struct view_case
{
    const char* name;
    std::vector<scaled_upstream> upstreams;
    std::vector<asked_work> asked;
    double east;
    double west;
};

class scaling_sum : public testing::TestWithParam<view_case>
{
};

// Load must count where its upstreams are, and none may be left out.
TEST_P(scaling_sum, puts_load_where_it_is_served)
{
    const auto domains =
        sum_scaling_load(GetParam().upstreams, GetParam().asked);
    const auto load = [&](const char* name)
    {
        const auto it = domains.find(failure_domain_id(name));
        return it == domains.end() ? 0 : it->second.asked + it->second.running;
    };
    EXPECT_DOUBLE_EQ(load("east"), GetParam().east);
    EXPECT_DOUBLE_EQ(load("west"), GetParam().west);
}

const failure_domain_id east("east");
const failure_domain_id west("west");

INSTANTIATE_TEST_SUITE_P(
    loads, scaling_sum,
    testing::Values(
        view_case{"running",
                  {{east, engine_stage::decode, 4, 6},
                   {west, engine_stage::none, 2, 1}},
                  {},
                  1.5,
                  0.5},
        view_case{"prefill",
                  {{east, engine_stage::prefill, 1, 3}},
                  {{east, 0.5}},
                  0.5,
                  0},
        view_case{"asked", {{east}, {west}}, {{east, 2}, {west, 1}}, 2, 1},
        view_case{"lost_domain", {{east}}, {{east, 2}, {west, 1}}, 3, 0},
        view_case{"unknown_domain",
                  {{east}, {west}},
                  {{failure_domain_id(), 3}},
                  1.5,
                  1.5},
        view_case{"no_slots", {{east, engine_stage::none, 0, 2}}, {}, 2, 0}),
    [](const auto& it) { return it.param.name; });

TEST(scaling_sum, counts_upstreams_that_running_requests_need)
{
    const std::vector<scaled_upstream> upstreams{
        {east, engine_stage::prefill, 1, 3},
        {east, engine_stage::decode, 4, 1},
        {east, engine_stage::decode, 4, 0}};
    const auto load = sum_scaling_load(upstreams, {}).at(east);
    EXPECT_EQ(load.registered, 3U);
    EXPECT_EQ(load.occupied, 2U);
}

// Gateways without this duty, and earlier versions, state no failure domain.
TEST(scaling_registration, may_state_the_failure_domain)
{
    const ip_address peer{"127.0.0.1", 7};
    const auto full = decode_registration(encode_registration({peer, east}));
    EXPECT_EQ(full.peer, peer);
    EXPECT_EQ(full.failure_domain, east);
    EXPECT_EQ(encode_registration({peer, {}}), R"({"peer":"127.0.0.1:7"})");
    EXPECT_EQ(decode_registration(R"({"peer":"127.0.0.1:7"})").failure_domain,
              failure_domain_id());
    EXPECT_THROW(
        decode_registration(R"({"peer": "127.0.0.1:7", "failure_domain": 7})"),
        parse_error);
}

// The sum alone does not tell where the callers are.
TEST(scaling_demand, is_known_by_gateway)
{
    peer_loads loads;
    std::vector<std::uint64_t> changed;
    load_report a;
    a.sender = "a";
    a.number = 1;
    a.demand = {{5, {2, 1}}, {6, {9, 9}}};
    load_report b = a;
    b.sender = "b";
    b.demand = {{5, {4, 0}}};
    loads.apply(a, mono_time(seconds(1)), changed);
    loads.apply(b, mono_time(seconds(1)), changed);
    const auto demands = loads.demand_by_sender(5);
    ASSERT_EQ(demands.size(), 2U);
    EXPECT_EQ(demands[0].first, "a");
    EXPECT_DOUBLE_EQ(demands[0].second.prefill, 2);
    EXPECT_EQ(demands[1].first, "b");
    EXPECT_DOUBLE_EQ(demands[1].second.prefill, 4);
}

} // namespace
} // namespace poplar::gateway
