// Guards against two reports of one window with different counts, holders that
// act together or with falling fencing tokens, and windows without a report.
#include "gateway/usage_duty.hpp"
#include "store/memory_store.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace poplar::gateway
{
namespace
{

using nlohmann::json;
using policy::account_counts;
using policy::window_number;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration start_time = seconds(1'000'000);

/// What the platform's API does with the next calls.
enum class api_fault
{
    none,
    lost_answer, ///< The report is accepted.
    unreachable,
    rate_limited
};

/// The platform's API. Throws std::logic_error where a rule is broken.
class fake_api
{
public:
    net::client_result call(const net::client_request& request, int gateway,
                            mono_time now)
    {
        net::client_result result;
        if (fault == api_fault::unreachable)
            result.failure = net::client_failure::timed_out;
        if (fault == api_fault::rate_limited)
            result.response.status = 429;
        if (fault == api_fault::unreachable || fault == api_fault::rate_limited)
            return result;
        accept(request, gateway, now);
        if (fault == api_fault::lost_answer)
            result.failure = net::client_failure::broken;
        return result;
    }

    api_fault fault = api_fault::none;
    std::map<std::uint64_t, json> reports;
    std::map<std::uint64_t, mono_time> first_at;

private:
    void accept(const net::client_request& request, int gateway, mono_time now)
    {
        const json body = json::parse(request.body);
        const std::uint64_t window = body.at("windowId");
        const std::uint64_t token =
            std::stoull(*net::find_header(request.headers, "Fencing-Token"));
        if (token < last_token_)
            throw std::logic_error("the fencing token fell");
        if (last_gateway_ >= 0 && last_gateway_ != gateway)
        {
            if (token == last_token_)
                throw std::logic_error("two holders used one token");
            if (now - last_call_ < seconds(3))
                throw std::logic_error("two holders acted in turn");
        }
        const auto known = reports.emplace(window, body.at("counts")).first;
        if (known->second != body.at("counts"))
            throw std::logic_error("two reports of one window differ");
        first_at.emplace(window, now);
        last_token_ = token;
        last_gateway_ = gateway;
        last_call_ = now;
    }

    std::uint64_t last_token_ = 0;
    int last_gateway_ = -1;
    mono_time last_call_{};
};

/// A store that has not been restored; eras begin at 1.
struct first_era_store : store::memory_store
{
    first_era_store()
    {
        restore(make_copy());
    }
};

/// Gateways on a common clock. Each has other counts, as if datagrams had been
/// lost.
class world
{
public:
    explicit world(std::size_t n)
    {
        for (std::size_t i = 0; i < n; ++i)
            start(i);
    }

    /// Replaces the process of a gateway.
    void start(std::size_t i)
    {
        store.set_faults({});
        gateways_[i] = std::make_unique<process>(*this, i);
    }

    void step(std::size_t i)
    {
        process& p = *gateways_.at(i);
        try
        {
            p.duty.step(p.lease, [&](const net::client_request& request)
                        { return api.call(request, p.number, time); });
        }
        catch (const store::store_error&)
        {
            ++failed_steps_; // As in the gateway, the next step tries again.
        }
    }

    /// Steps all gateways but those in `silent` each half second.
    void run(duration d, const std::set<std::size_t>& silent = {})
    {
        for (duration t{}; t < d; t += milliseconds(500))
        {
            time += milliseconds(500);
            for (const auto& [i, p] : gateways_)
                if (!silent.contains(i))
                    step(i);
        }
    }

    std::uint64_t window_now() const
    {
        return policy::window_at(unix_now(), seconds(5)).value;
    }
    policy::unix_time unix_now() const
    {
        return start_time + time.time_since_epoch();
    }

    first_era_store store;
    fake_api api;
    mono_time time{seconds(10)};

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

        usage_duty_options options(world& w, std::size_t i)
        {
            usage_duty_options o;
            o.holder = "g" + std::to_string(i);
            o.clock = [&w]
            {
                return w.time;
            };
            o.settle_time = []
            {
                return milliseconds(1500);
            };
            o.view = [this, &w, i]
            {
                return w.view(*this, i);
            };
            o.totals = [this, i](window_number first, window_number last)
            {
                std::map<window_number, account_counts> sums;
                for (auto n = first.value; n <= last.value; ++n)
                    sums[window_number(n)] = {
                        {"a", std::uint32_t(n % 1000)},
                        {"b", std::uint32_t(++calls + 100 * i)}};
                return sums;
            };
            o.announce = [&w, i](bool is_holder, auto)
            {
                w.announced_[i] = is_holder;
            };
            return o;
        }

        mono_time started;
        int number;
        unsigned calls = 0;
        duty_lease lease;
        usage_duty duty;
    };

    usage_view view(const process& p, std::size_t i)
    {
        for (const auto& [other, is_holder] : announced_)
            if (is_holder)
                heard_[other] = time;
        usage_view v;
        v.now = unix_now();
        v.started = start_time + p.started.time_since_epoch();
        v.clock_offset = start_time;
        mono_time heard = p.started;
        for (const auto& [other, at] : heard_)
            if (other != i)
                heard = std::max(heard, at);
        v.holder_silence = time - heard;
        v.index = i;
        v.gateways = gateways_.size();
        return v;
    }

    std::map<std::size_t, std::unique_ptr<process>> gateways_;
    std::map<std::size_t, bool> announced_;
    std::map<std::size_t, mono_time> heard_;
    int starts_ = 0;
    unsigned failed_steps_ = 0;

public:
    /// The gateway no longer announces itself, as if it were cut off.
    void silence(std::size_t i)
    {
        announced_[i] = false;
    }
};

TEST(usage_duty, reports_each_window_in_calm_with_one_write)
{
    world w(3);
    w.run(seconds(6));
    const std::uint64_t first = w.window_now() - 1;
    const std::uint64_t writes = w.store.writes();
    w.run(seconds(60));
    for (std::uint64_t n = first; n + 2 < w.window_now(); ++n)
        EXPECT_TRUE(w.api.reports.contains(n)) << n;
    EXPECT_LE(w.store.writes() - writes, 13U);
}

struct fault_case
{
    const char* name;
    api_fault api;
    duration lasts;
    bool is_store_down;
};

class usage_fault : public testing::TestWithParam<fault_case>
{
};

TEST_P(usage_fault, leaves_no_window_without_a_report)
{
    world w(3);
    w.run(seconds(12));
    const std::uint64_t first = w.window_now();
    w.api.fault = GetParam().api;
    w.store.set_faults({.outage = GetParam().is_store_down});
    w.run(GetParam().lasts);
    w.api.fault = api_fault::none;
    w.store.set_faults({});
    w.run(seconds(20));
    for (std::uint64_t n = first; n + 3 < w.window_now(); ++n)
        EXPECT_TRUE(w.api.reports.contains(n)) << n;
}

INSTANTIATE_TEST_SUITE_P(
    faults, usage_fault,
    testing::Values(
        fault_case{"answers_lost", api_fault::lost_answer, seconds(20), false},
        fault_case{"api_down", api_fault::unreachable, seconds(20), false},
        fault_case{"rate_limited", api_fault::rate_limited, seconds(20), false},
        fault_case{"store_down", api_fault::none, seconds(17), true},
        fault_case{"both_down", api_fault::unreachable, seconds(17), true}),
    [](const auto& it) { return it.param.name; });

// The holder may end between the write of a report and its answer, or before
// either; the report is due 10 s after the end of its window.
TEST(usage_duty, is_taken_over_in_time_when_the_holder_ends)
{
    for (int tenths = 0; tenths < 50; tenths += 3)
    {
        world w(3);
        w.run(seconds(15));
        const std::uint64_t window = w.window_now();
        w.time += milliseconds(100 * tenths);
        w.step(0);
        w.silence(0);
        w.run(seconds(20), {0});
        ASSERT_TRUE(w.api.reports.contains(window)) << tenths;
        const auto end =
            policy::window_begin(window_number(window + 1), seconds(5));
        const auto at = start_time + w.api.first_at[window].time_since_epoch();
        EXPECT_LE(at - end, duration(seconds(10))) << tenths;
    }
}

TEST(usage_duty, passes_on_when_the_holder_cannot_reach_the_api)
{
    world w(2);
    w.run(seconds(12));
    for (int i = 0; i < 60; ++i)
    {
        w.time += milliseconds(500);
        w.api.fault = api_fault::unreachable;
        w.step(0);
        w.api.fault = api_fault::none;
        w.step(1);
    }
    for (std::uint64_t n = w.window_now() - 4; n + 2 < w.window_now(); ++n)
        EXPECT_TRUE(w.api.reports.contains(n)) << n;
}

TEST(usage_record, survives_encoding)
{
    const policy::usage_record r{
        window_number(7), {{window_number(6), {{"a", 3}, {"b", 0}}}, {}}};
    EXPECT_EQ(decode_usage_record({{"usage", encode_usage_record(r)}}), r);
}

class odd_usage_record : public testing::TestWithParam<const char*>
{
};

TEST_P(odd_usage_record, counts_as_empty)
{
    EXPECT_EQ(decode_usage_record(json::parse(GetParam())),
              policy::usage_record());
}

INSTANTIATE_TEST_SUITE_P(
    payloads, odd_usage_record,
    testing::Values("null", "7", "{}", R"({"usage": 7})", R"({"usage": {}})",
                    R"({"usage": {"pending": [{"window": -1}]}})",
                    R"({"usage": {"fixed_through": 1.5, "pending": []}})"));

/// Gateways act in random order with random pauses, faults of the store and of
/// the API, restorations of the store and restarts.
RC_GTEST_PROP(usage_duty_history, never_contradicts_itself,
              (const std::vector<std::uint32_t>& draws))
{
    world w(3);
    auto copy = w.store.make_copy();
    for (const std::uint32_t it : draws)
    {
        w.time += milliseconds(it % 2300);
        if (it % 29 == 0)
            w.store.restore(copy);
        else if (it % 7 == 0)
            copy = w.store.make_copy();
        w.store.set_faults({.outage = it % 11 == 0,
                            .lose_answers = it % 13 == 0 ? 1U : 0U,
                            .lose_requests = it % 17 == 0 ? 1U : 0U});
        w.api.fault = api_fault((it >> 7U) % 8 < 4 ? (it >> 7U) % 4 : 0);
        const std::size_t i = (it >> 3U) % 3;
        if (it % 19 == 0)
            w.start(i);
        if (it % 5 == 0)
            w.silence((it >> 5U) % 3);
        w.step(i); // Throws where a rule is broken.
    }
}

} // namespace
} // namespace poplar::gateway
