// Guards against prefill on engines whose speed differs from what placement
// assumes, and against speeds learned from what is not the engine's: the delay
// of a gateway, single outliers, noise between equal engines, or processes and
// gateways that no longer exist.
#include "policy/engine_placement.hpp"
#include "policy/engine_speed.hpp"

#include <cmath>
#include <gtest/gtest.h>
#include <memory>
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

} // namespace
} // namespace poplar::policy
