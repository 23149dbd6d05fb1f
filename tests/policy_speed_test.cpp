// Guards against prefill on engines whose speed differs from what placement
// assumes, and against speeds learned from what is not the engine's: the delay
// of a gateway, single outliers, noise between equal engines, or processes and
// gateways that no longer exist.
#include "policy/engine_placement.hpp"
#include "policy/engine_speed.hpp"
#include "policy/peer_forecast.hpp"

#include <cmath>
#include <gtest/gtest.h>
#include <iostream>
#include <memory>
#include <queue>
#include <random>
#include <rapidcheck/gtest.h>

namespace poplar::policy
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t service = 1;

engine_process engine(std::size_t i)
{
    return {i, 100};
}

/// Gateways that each measure their own prefill calls and report them to the
/// first one.
class measuring_gateways
{
public:
    measuring_gateways(std::size_t gateways, std::vector<double> engine_speeds,
                       unsigned seed)
        : speeds_(std::move(engine_speeds)), delays_(gateways, 1),
          tables_(gateways), random_(seed)
    {
    }

    void slow_down_gateway(std::size_t i, double factor)
    {
        delays_[i] = factor;
    }
    void set_speed(std::size_t i, double speed)
    {
        speeds_[i] = speed;
    }

    /// Each gateway makes `calls` prefill calls per second, at engines chosen
    /// at random. Times vary by about `noise`.
    void run(int for_seconds, double calls, double noise)
    {
        for (int second = 0; second < for_seconds; ++second)
        {
            for (std::size_t g = 0; g < tables_.size(); ++g)
                call(g, calls, noise);
            time_ += seconds(1);
            report();
        }
    }

    engine_speed_table& first()
    {
        return tables_.front();
    }
    mono_time time() const
    {
        return time_;
    }

private:
    void call(std::size_t g, double calls, double noise)
    {
        std::poisson_distribution<int> count(calls);
        std::uniform_int_distribution<std::size_t> chosen(0,
                                                          speeds_.size() - 1);
        std::lognormal_distribution<double> factor(0, noise);
        for (int n = count(random_); n > 0; --n)
        {
            const std::size_t e = chosen(random_);
            const double measured =
                0.2 * delays_[g] * factor(random_) / speeds_[e];
            tables_[g].add({engine(e), service, 0.05, 0.15, measured}, time_);
        }
    }

    void report()
    {
        for (std::size_t g = 1; g < tables_.size(); ++g)
            for (const auto& m :
                 tables_[g].measured_since(time_ - seconds(1), time_))
                first().apply_peer("g" + std::to_string(g), 1, service, m,
                                   time_);
        first().update(time_);
    }

    std::vector<double> speeds_;
    std::vector<double> delays_;
    std::vector<engine_speed_table> tables_;
    std::mt19937 random_;
    mono_time time_ = mono_time(seconds(1000));
};

// Placement took engines of 1.2 and 1.9 times the expected time for equal.
// One gateway alone measures each engine too seldom.
TEST(engine_speeds, are_found_from_the_calls_of_all_gateways)
{
    std::vector<double> speeds(45, 1 / 1.2);
    std::fill(speeds.begin() + 22, speeds.end(), 1 / 1.9);
    measuring_gateways all(24, speeds, 1);
    all.run(40, 3, 0.4);
    double fast = 0;
    double slow = 0;
    for (std::size_t i = 0; i < 22; ++i)
    {
        fast += all.first().speed(engine(i)) / 22;
        slow += all.first().speed(engine(i + 22)) / 22;
    }
    EXPECT_NEAR(fast / slow, 1.9 / 1.2, 0.15);
    EXPECT_GT(fast, 1.1);
    EXPECT_LT(slow, 0.9);
}

// Gateways with a delay of their own measured every engine as slow; those that
// called only some engines then made these look slow for all gateways.
TEST(engine_speeds, are_not_those_of_a_slow_gateway)
{
    measuring_gateways all(4, std::vector<double>(12, 1), 2);
    for (std::size_t g = 1; g < 4; ++g)
        all.slow_down_gateway(g, 1.5 * double(g));
    all.run(30, 6, 0.2);
    for (std::size_t i = 0; i < 12; ++i)
        EXPECT_NEAR(all.first().speed(engine(i)), 1, 0.1) << i;

    engine_speed_table table;
    const mono_time now(seconds(1000));
    for (std::size_t i = 0; i < 3; ++i)
    {
        table.apply_peer("slow", 1, service, {engine(i), 60, 20}, now);
        table.apply_peer("other", 1, service, {engine(i), 20, 20}, now);
        table.apply_peer("other", 1, service, {engine(i + 3), 20, 20}, now);
    }
    for (int n = 0; n < 10; ++n)
        table.update(now);
    for (std::size_t i = 0; i < 6; ++i)
        EXPECT_NEAR(table.speed(engine(i)), 1, 0.1) << i;
}

// With equal engines no speed may differ from 1 at all: any difference would
// break ties between engines that all gateways must break in the same way.
RC_GTEST_PROP(engine_speeds, are_1_for_equal_engines, ())
{
    const auto gateways = *rc::gen::element<std::size_t>(2, 24, 60);
    measuring_gateways all(gateways, std::vector<double>(20, 1),
                           *rc::gen::arbitrary<unsigned>());
    // 6 calls per second at each engine.
    all.run(40, 120.0 / double(gateways), 0.3);
    for (std::size_t i = 0; i < 20; ++i)
        RC_ASSERT(all.first().speed(engine(i)) == 1);
}

// Few measurements, and any number of outliers among few, change little.
TEST(engine_speeds, need_more_than_an_outlier)
{
    measuring_gateways all(3, std::vector<double>(8, 1), 3);
    all.run(20, 8, 0.1);
    all.first().add({engine(0), service, 0, 0.1, 100}, all.time());
    all.first().update(all.time());
    EXPECT_GT(all.first().speed(engine(0)), 0.7);
    engine_speed_table table;
    table.add({engine(0), service, 0, 0.1, 0.1}, all.time());
    table.add({engine(1), service, 0, 0.1, 0.2}, all.time());
    table.update(all.time());
    EXPECT_NEAR(table.speed(engine(1)), 1, 0.1);
}

TEST(engine_speeds, are_bounded)
{
    const engine_speed_settings settings;
    measuring_gateways all(4, {1, 1, 1, 1, 1, 1, 0.01, 100}, 4);
    all.run(40, 20, 0.1);
    EXPECT_DOUBLE_EQ(all.first().speed(engine(6)), settings.min_speed);
    EXPECT_DOUBLE_EQ(all.first().speed(engine(7)), settings.max_speed);
}

// An engine that became slow once kept its former speed.
TEST(engine_speeds, follow_an_engine_that_slows_down_and_recovers)
{
    measuring_gateways all(10, std::vector<double>(20, 1), 5);
    all.run(40, 10, 0.3);
    all.set_speed(0, 0.5);
    all.run(25, 10, 0.3);
    EXPECT_LT(all.first().speed(engine(0)), 0.75);
    all.set_speed(0, 1);
    all.run(60, 10, 0.3);
    EXPECT_GT(all.first().speed(engine(0)), 0.9);
}

// An engine that gets no calls because it was slow must be tried again.
TEST(engine_speeds, return_to_1_without_measurements)
{
    measuring_gateways all(4, {1, 1, 1, 1, 1, 0.5}, 6);
    all.run(30, 8, 0.2);
    EXPECT_LT(all.first().speed(engine(5)), 0.7);
    all.first().update(all.time() + seconds(120));
    EXPECT_DOUBLE_EQ(all.first().speed(engine(5)), 1);
}

// The measurements of a process say nothing of the next one under its id, and
// those of a gateway that is gone cannot be corrected any more.
TEST(engine_speeds, end_with_their_process_and_their_gateway)
{
    const mono_time now(seconds(1000));
    engine_speed_table table;
    const auto add_peer = [&](const char* name, std::uint64_t process)
    {
        for (std::size_t i = 0; i < 6; ++i)
            table.apply_peer(name, process, service,
                             {engine(i), i == 0 ? 80.0 : 40.0, 40}, now);
        table.update(now);
    };
    add_peer("a", 1);
    EXPECT_LT(table.speed(engine(0)), 0.7);
    EXPECT_DOUBLE_EQ(table.speed({0, 101}), 1);
    table.forget_engine(engine(0));
    table.update(now);
    EXPECT_DOUBLE_EQ(table.speed(engine(0)), 1);
    add_peer("a", 1);
    table.forget_peer("a");
    table.update(now);
    EXPECT_DOUBLE_EQ(table.speed(engine(0)), 1);
    add_peer("a", 1);
    table.apply_peer("a", 2, service, {engine(1), 1, 1}, now);
    table.update(now);
    EXPECT_DOUBLE_EQ(table.speed(engine(0)), 1);
}

// A report that is sent again, or heard from several peers, must not count
// twice: only what a gateway measured itself is in its reports.
TEST(engine_speeds, are_reported_as_measured_by_the_sender)
{
    const mono_time now(seconds(1000));
    engine_speed_table table;
    table.apply_peer("a", 1, service, {engine(1), 30, 10}, now);
    EXPECT_TRUE(table.measured_since(now, now).empty());
    table.add({engine(2), service, 0, 0.1, 0.2}, now);
    const auto own = table.measured_since(now, now);
    ASSERT_EQ(own.size(), 1U);
    EXPECT_EQ(own[0], (speed_measurement{engine(2), 2, 1}));
    EXPECT_TRUE(
        table.measured_since(now + milliseconds(1), now + milliseconds(1))
            .empty());
}

class speed_placement : public testing::TestWithParam<placed_stage>
{
protected:
    placed_engine make(const char* id, double speed) const
    {
        placed_engine e;
        e.id = id;
        e.stage = GetParam();
        e.kv_capacity = token_count(500'000);
        e.slots = 64;
        e.speed = speed;
        return e;
    }

    static placement_choice place(engine_span engines)
    {
        placed_request r;
        r.input = token_count(10'000);
        r.now = mono_time(seconds(10));
        const engine_placement placement;
        if (engines[0]->stage == placed_stage::prefill)
            return *placement.choose_prefill(engines, r, {});
        return placement.plan(engines, r, {})->decode;
    }
};

// Both the wait and the prefill of an engine depend on its speed.
TEST_P(speed_placement, expects_the_time_at_the_speed_of_the_engine)
{
    placed_engine e = make("a", 1);
    e.peer_load.prefill_tokens[0] = token_count(5'000);
    const std::vector<const placed_engine*> view{&e};
    const placement_choice at_1 = place(view);
    e.speed = 0.5;
    const placement_choice at_half = place(view);
    EXPECT_DOUBLE_EQ(at_half.wait_seconds, 2 * at_1.wait_seconds);
    EXPECT_DOUBLE_EQ(at_half.prefill_seconds, 2 * at_1.prefill_seconds);
    EXPECT_DOUBLE_EQ(at_half.speed, 0.5);
}

// A slow engine with less work was preferred to a fast one that ends sooner.
TEST_P(speed_placement, prefers_the_engine_that_ends_first)
{
    placed_engine slow = make("a", 0.5);
    placed_engine fast = make("b", 1.4);
    fast.peer_load.prefill_tokens[0] = token_count(8'000);
    const std::vector<const placed_engine*> view{&slow, &fast};
    EXPECT_EQ(place(view).engine, 1U);
}

INSTANTIATE_TEST_SUITE_P(stages, speed_placement,
                         testing::Values(placed_stage::prefill,
                                         placed_stage::decode));

/// What one run of the model below consists of.
struct herd_case
{
    std::size_t gateways = 24;
    std::size_t engines = 25;
    double report_seconds = 0.345; ///< Between the reports of one gateway.
    double utilization = 0.7;
    std::size_t prefixes = 25;
    bool uses_forecast = true;
    unsigned seed = 1;
};

struct herd_result
{
    int placed = 0;
    int late = 0; ///< Prefills that took over twice the forecast.
    double total_seconds = 0;
};

/// Gateways that place prompts on engines by the loads that their peers last
/// reported. Two engines have cached each prefix. Engines process prompts in
/// the order of their arrival; only the unreported work makes forecasts wrong.
class herd_model
{
public:
    explicit herd_model(const herd_case& c)
        : case_(c), random_(c.seed), free_at_(c.engines),
          reported_sum_(c.engines),
          own_(c.gateways, std::vector<std::int64_t>(c.engines)),
          reported_(own_)
    {
        for (std::size_t i = 0; i < c.engines; ++i)
        {
            auto e = std::make_unique<placed_engine>();
            e->id = "e" + std::to_string(i);
            e->stage = placed_stage::prefill;
            e->kv_capacity = token_count(100'000'000);
            e->cache.set_capacity(e->kv_capacity);
            engines_.push_back(std::move(e));
            view_.push_back(engines_.back().get());
        }
        for (std::size_t p = 0; p < c.prefixes; ++p)
            for (int copies = 0; copies < 2; ++copies)
                engines_[below(c.engines)]->cache.add(blocks_of(p), {});
        for (std::size_t g = 0; g < c.gateways; ++g)
            events_.push({c.report_seconds * uniform(), g, report, 0});
    }

    herd_result run(int count)
    {
        // Starts empty; counted once queues have formed.
        const int not_counted = count / 4;
        const double mean_work = mean_tokens / placement_rate;
        std::exponential_distribution<double> gap(
            case_.utilization * double(case_.engines) / mean_work);
        for (int n = 0; n < count + not_counted; ++n)
        {
            time_ += gap(random_);
            process_events();
            place(n >= not_counted);
        }
        return result_;
    }

private:
    static constexpr double mean_tokens = 4000;
    static constexpr double placement_rate = 50'000;
    static constexpr std::size_t report = std::size_t(-1);

    /// A report of a gateway, or the end of its prefill at an engine.
    struct event
    {
        double at = 0;
        std::size_t gateway = 0;
        std::size_t engine = 0;
        std::int64_t tokens = 0;
        bool operator<(const event& o) const
        {
            return at > o.at;
        }
    };

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }
    std::size_t below(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
    }
    static std::vector<prefix_block> blocks_of(std::size_t prefix)
    {
        return {{prefix + 1, token_count(13'000)}};
    }

    void process_events()
    {
        while (events_.top().at <= time_)
        {
            const event it = events_.top();
            events_.pop();
            if (it.engine != report)
            {
                own_[it.gateway][it.engine] -= it.tokens;
                continue;
            }
            for (std::size_t e = 0; e < engines_.size(); ++e)
                reported_sum_[e] +=
                    own_[it.gateway][e] - reported_[it.gateway][e];
            reported_[it.gateway] = own_[it.gateway];
            events_.push({it.at + case_.report_seconds, it.gateway, report, 0});
        }
    }

    void place(bool is_counted)
    {
        const std::size_t g = below(case_.gateways);
        // The lower prefixes are more frequent.
        const auto prefix =
            std::size_t(double(case_.prefixes) * std::pow(uniform(), 2));
        const auto tokens = std::int64_t(
            1 + std::gamma_distribution<double>(3, mean_tokens / 3)(random_));
        for (std::size_t e = 0; e < engines_.size(); ++e)
        {
            engines_[e]->own_load.prefill_tokens[0] = token_count(own_[g][e]);
            engines_[e]->peer_load.prefill_tokens[0] =
                token_count(reported_sum_[e] - reported_[g][e]);
        }
        auto blocks = blocks_of(prefix);
        blocks.push_back({random_(), token_count(tokens)});
        placed_request r;
        r.input = token_count(13'000 + tokens);
        r.now = mono_time(seconds(10));
        r.blocks = blocks;
        r.random = random_();
        const double peers =
            double(case_.gateways - 1) / double(case_.gateways);
        if (case_.uses_forecast)
            r.unreported_seconds = unreported_work(
                case_.utilization * double(case_.engines) * peers,
                from_seconds(case_.report_seconds));
        const auto c = placement_.choose_prefill(view_, r, {});
        const double work = double(c->uncached.value) / placement_rate;
        const double begun = std::max(time_, free_at_[c->engine]);
        free_at_[c->engine] = begun + work;
        const double taken = begun + c->prefill_seconds - time_;
        own_[g][c->engine] += c->uncached.value;
        events_.push({time_ + taken, g, c->engine, c->uncached.value});
        if (!is_counted)
            return;
        ++result_.placed;
        result_.total_seconds += taken;
        result_.late += taken > 2 * c->total_seconds ? 1 : 0;
    }

    herd_case case_;
    std::mt19937_64 random_;
    double time_ = 0;
    engine_placement placement_;
    std::vector<std::unique_ptr<placed_engine>> engines_;
    std::vector<const placed_engine*> view_;
    std::vector<double> free_at_;
    std::vector<std::int64_t> reported_sum_;
    std::vector<std::vector<std::int64_t>> own_; ///< By gateway and engine.
    std::vector<std::vector<std::int64_t>> reported_;
    std::priority_queue<event> events_;
    herd_result result_;
};

herd_result run_herd(herd_case c, bool uses_forecast)
{
    c.uses_forecast = uses_forecast;
    return herd_model(c).run(2000);
}

void add(herd_result& sum, const herd_result& r)
{
    sum.placed += r.placed;
    sum.late += r.late;
    sum.total_seconds += r.total_seconds / r.placed;
}

// All gateways sent their requests to the engine that looked least loaded in
// reports of the same age. 587 of 1,043 late first events came from prefills
// that took over twice the forecast. The bound is the goal of 2%.
TEST(peer_forecast, keeps_prefills_within_twice_the_forecast)
{
    herd_result with;
    herd_result without;
    rc::check(
        [&]
        {
            herd_case c;
            c.gateways = *rc::gen::inRange<std::size_t>(2, 301);
            c.engines = *rc::gen::inRange<std::size_t>(2, 60);
            c.report_seconds = *rc::gen::inRange(40, 401) / 1000.0;
            c.utilization = *rc::gen::inRange(20, 86) / 100.0;
            c.prefixes = *rc::gen::inRange<std::size_t>(1, 100);
            c.seed = *rc::gen::arbitrary<unsigned>();
            add(with, run_herd(c, true));
            add(without, run_herd(c, false));
        });
    const auto late = [](const herd_result& r)
    {
        return double(r.late) / r.placed;
    };
    std::cout << "late: " << late(with) << ", without forecast "
              << late(without) << "; time relative to without forecast: "
              << with.total_seconds / without.total_seconds << "\n";
    EXPECT_LE(late(with), 0.02);
    EXPECT_LT(with.total_seconds, without.total_seconds);
}

// Expected work that is lost or counted twice would make forecasts wrong.
RC_GTEST_PROP(peer_forecast, distributes_all_unreported_work, ())
{
    const auto costs = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000)));
    const double work = *rc::gen::inRange(1, 1000) / 1000.0;
    std::vector<forecast_engine> all;
    all.reserve(costs.size());
    for (const int it : costs)
        all.push_back({"e", it / 1000.0, *rc::gen::inRange(40, 250) / 100.0});
    const auto expected = expected_unreported_work(all, work);
    double sum = 0;
    double lowest = 1e9;
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        sum += expected[i] * all[i].speed;
        lowest = std::min(lowest, all[i].cost_seconds + expected[i]);
    }
    RC_ASSERT(std::abs(sum - work) < 1e-9);
    for (std::size_t i = 0; i < all.size(); ++i)
        RC_ASSERT(expected[i] == 0 ||
                  std::abs(all[i].cost_seconds + expected[i] - lowest) < 1e-9);
}

// A prefix that no engine has cached was prefilled once by each gateway that
// received it in the meantime.
TEST(peer_forecast, sends_an_uncached_prefix_to_one_engine)
{
    std::vector<std::unique_ptr<placed_engine>> all;
    std::vector<const placed_engine*> view;
    for (int i = 0; i < 20; ++i)
    {
        all.push_back(std::make_unique<placed_engine>());
        all.back()->id = "e" + std::to_string(i);
        all.back()->stage = placed_stage::prefill;
        view.push_back(all.back().get());
    }
    std::vector<prefix_block> blocks{{1, token_count(13'000)},
                                     {2, token_count(100)}};
    placed_request r;
    r.input = token_count(13'100);
    r.blocks = blocks;
    r.unreported_seconds = 0.5;
    const engine_placement placement;
    const auto first = placement.choose_prefill(view, r, {});
    ASSERT_TRUE(first);
    for (r.random = 1; r.random < 50; ++r.random)
        EXPECT_EQ(placement.choose_prefill(view, r, {})->engine, first->engine);
}

} // namespace
} // namespace poplar::policy
