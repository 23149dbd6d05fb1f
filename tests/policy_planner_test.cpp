// Guards against role changes caused by noise in the demand, changes that leave
// a failure domain without an engine of a role, and too many changes at once.
#include "policy/role_planner.hpp"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace poplar::policy
{
namespace
{

using namespace std::chrono_literals;
using sheet::engine_role;

/// Simulated group: its engines, in three failure domains, finish a role change
/// after 4 s, and its planner is called every 500 ms.
struct planned_group
{
    role_planner planner;
    planner_input input;
    mono_time now{duration(1000000000)};
    std::size_t changes = 0;
    std::size_t most_changing = 0;
    bool lost_role = false;

    planned_group(unsigned prefill, unsigned streams)
    {
        input.group.max_changing = 2;
        input.ranks = {{"urgent", 1s, 30ms, 0.5, 4, 2},
                       {"later", 60s, 200ms, 0.5, 1, 0}};
        input.interval = 500ms;
        input.demand.resize(2);
        for (unsigned i = 0; i < prefill + streams; ++i)
        {
            planned_engine e;
            e.instance = instance_id("e" + std::to_string(i));
            e.failure_domain = failure_domain_id(std::to_string(i % 3));
            e.role = i < prefill ? engine_role::prefill : engine_role::decode;
            input.engines.push_back(e);
        }
    }

    unsigned count(engine_role role) const
    {
        return static_cast<unsigned>(
            std::ranges::count(input.engines, role, &planned_engine::role));
    }

    void demand(double prompt_rate, double output_rate)
    {
        const auto prompt = static_cast<std::int64_t>(prompt_rate * 0.5);
        const auto out = static_cast<std::int64_t>(output_rate * 0.5);
        input.demand[0].offered = {token_count(prompt), token_count(out)};
    }

    void check_domains()
    {
        std::map<std::string, std::pair<int, int>> domains;
        for (const planned_engine& e : input.engines)
        {
            auto& [p, s] = domains[e.failure_domain.value];
            p += !e.changing && e.role == engine_role::prefill;
            s += !e.changing && e.role == engine_role::decode;
        }
        for (const auto& [name, counts] : domains)
            lost_role |= counts.first == 0 || counts.second == 0;
    }

    role_plan step(bool changes_finish = true)
    {
        now += 500ms;
        for (planned_engine& e : input.engines)
        {
            if (e.changing && changes_finish && now - e.changing_since >= 4s)
                e.changing = false;
        }
        role_plan p = planner.plan(input, now);
        for (const role_change& c : p.changes)
        {
            auto e = std::ranges::find(input.engines, c.instance,
                                       &planned_engine::instance);
            e->changing = e->role != engine_role::unassigned;
            e->role = c.to;
            e->changing_since = now;
            ++changes;
        }
        const auto changing = static_cast<std::size_t>(
            std::ranges::count(input.engines, true, &planned_engine::changing));
        most_changing = std::max(most_changing, changing);
        check_domains();
        return p;
    }
};

TEST(role_planner, follows_a_change_of_the_mix)
{
    planned_group g(6, 12);
    for (int i = 0; i < 240; ++i)
    {
        g.demand(100000, 8000);
        g.step();
    }
    EXPECT_GE(g.count(engine_role::prefill), 9U);
    for (int i = 0; i < 240; ++i)
    {
        g.demand(20000, 24000);
        g.step();
    }
    EXPECT_LE(g.count(engine_role::prefill), 4U);
    EXPECT_LE(g.changes, 20U);
    EXPECT_LE(g.most_changing, 2U);
    EXPECT_FALSE(g.lost_role);
}

TEST(role_planner, reports_reason_and_figures)
{
    planned_group g(3, 15);
    role_plan p;
    for (int i = 0; i < 40 && p.changes.empty(); ++i)
    {
        g.demand(100000, 4000);
        p = g.step();
    }
    ASSERT_FALSE(p.changes.empty());
    EXPECT_EQ(p.changes[0].reason, role_reason::prompt_shortage);
    EXPECT_GT(p.figures.gain_engine_seconds, p.figures.cost_engine_seconds);
    EXPECT_GT(p.figures.served_after, p.figures.served_now);
    EXPECT_NE(to_string(p).find("prompt_shortage"), std::string::npos);
}

/// Offered load, relative to what 18 engines can serve if 6 of them are prefill
/// engines.
class noise_around : public testing::TestWithParam<double>
{
};

TEST_P(noise_around, changes_little)
{
    planned_group g(6, 12);
    std::uint64_t state = 7;
    for (int i = 0; i < 2400; ++i)
    {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        const double noise =
            0.7 + 0.6 * static_cast<double>(state >> 40) / (1 << 24);
        g.demand(GetParam() * 60000 * noise, GetParam() * 24000 * noise);
        g.step();
    }
    // 20 minutes. Adapting to the average load may take a few changes; noise
    // must not cause further ones.
    EXPECT_LE(g.changes, 4U);
}

INSTANTIATE_TEST_SUITE_P(table, noise_around,
                         testing::Values(0.3, 0.7, 0.8, 0.85, 0.9, 1.0, 1.3));

RC_GTEST_PROP(role_planner, keeps_each_role_in_each_domain, ())
{
    planned_group g(*rc::gen::inRange(3U, 9U), *rc::gen::inRange(6U, 12U));
    g.input.group.max_changing = *rc::gen::inRange(1U, 5U);
    for (int i = 0; i < 400; ++i)
    {
        if (i % 100 == 0)
            g.demand(*rc::gen::inRange(0, 300000), *rc::gen::inRange(0, 90000));
        g.step();
    }
    RC_ASSERT(!g.lost_role);
    RC_ASSERT(g.most_changing <= g.input.group.max_changing);
}

TEST(role_planner, counts_stuck_engines_as_unavailable_and_against_the_limit)
{
    planned_group g(6, 12);
    for (int i = 0; i < 200; ++i)
    {
        g.demand(120000, 4000);
        g.step(false);
    }
    EXPECT_EQ(g.changes, 2U);
    EXPECT_EQ(g.step(false).figures.unavailable, 2U);
}

TEST(role_planner, assigns_each_domain_both_roles_at_first)
{
    planned_group g(0, 18);
    for (planned_engine& e : g.input.engines)
        e.role = engine_role::unassigned;
    const role_plan p = g.step();
    EXPECT_EQ(p.changes.size(), 18U);
    EXPECT_FALSE(g.lost_role);
}

TEST(role_planner, follows_a_fixed_sheet)
{
    planned_group g(6, 12);
    g.input.group.roles = sheet::role_policy::fixed;
    g.input.group.prefill_engines = 9;
    for (int i = 0; i < 100; ++i)
        g.step();
    EXPECT_EQ(g.count(engine_role::prefill), 9U);
    EXPECT_EQ(g.changes, 3U);
}

// A sheet may fix more prefill engines than the failure domains can provide
// while each keeps both roles. The planner must still apply it.
TEST(role_planner, follows_a_fixed_sheet_with_one_engine_for_each_domain)
{
    planned_group g(0, 3);
    g.input.group.roles = sheet::role_policy::fixed;
    g.input.group.prefill_engines = 1;
    for (int i = 0; i < 100; ++i)
        g.step();
    EXPECT_EQ(g.count(engine_role::prefill), 1U);
    EXPECT_EQ(g.changes, 1U);
}

TEST(role_planner, waits_before_its_first_change)
{
    planned_group g(3, 15);
    g.demand(120000, 4000);
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(g.step().changes.empty());
}

} // namespace
} // namespace poplar::policy
