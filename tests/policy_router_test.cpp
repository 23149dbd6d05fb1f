// Guards against routing by outdated load or lost cache state, cells that move
// more members than necessary, unbounded retries, and output estimates that
// diverge or grow without bound.
#include "policy/cells.hpp"
#include "policy/output_estimator.hpp"
#include "policy/retry_budget.hpp"
#include "policy/router.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <numeric>
#include <rapidcheck/gtest.h>

namespace poplar::policy
{
namespace
{

using namespace std::chrono_literals;
using sheet::engine_role;

constexpr mono_time start_time{duration(1000000000)};

std::vector<std::uint64_t> blocks_from(std::uint64_t first, std::size_t n)
{
    std::vector<std::uint64_t> blocks(n);
    std::iota(blocks.begin(), blocks.end(), first);
    return blocks;
}

engine_report idle_report(mono_time at)
{
    engine_report r;
    r.measured_at = at;
    return r;
}

struct routed_group
{
    router r;
    random_source random{42};
    std::vector<engine_index> engines;

    explicit routed_group(unsigned n, engine_role role = engine_role::decode)
    {
        for (unsigned i = 0; i < n; ++i)
        {
            engines.push_back(r.set_engine(
                {instance_id("e" + std::to_string(i)), group_id("g"),
                 failure_domain_id(std::to_string(i % 3)), role, true}));
            r.report(engines.back(), idle_report(start_time), start_time);
        }
    }

    route_request request(std::int64_t prompt,
                          const std::vector<std::uint64_t>& blocks = {}) const
    {
        route_request q;
        q.group = group_id("g");
        q.prompt = token_count(prompt);
        q.expected_output = token_count(100);
        q.blocks = blocks;
        return q;
    }
};

class group_size : public testing::TestWithParam<unsigned>
{
};

TEST_P(group_size, prefers_the_holder_of_the_prefix)
{
    routed_group g(GetParam());
    const auto blocks = blocks_from(1000, 200);
    const auto q = g.request(3200, blocks);
    const auto first = g.r.choose(q, start_time, g.random);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->cached, token_count(0));
    g.r.dispatched(first->engine, q, token_count(3200), start_time);
    g.r.prompt_computed(first->engine, token_count(3200), start_time + 1s);
    g.r.report(first->engine, idle_report(start_time + 2s), start_time + 2s);
    const auto second = g.r.choose(q, start_time + 2s, g.random);
    EXPECT_EQ(second->engine, first->engine);
    EXPECT_EQ(second->cached, token_count(3200));
}

TEST_P(group_size, spreads_work_between_reports)
{
    routed_group g(GetParam());
    std::map<engine_index, int> sent;
    const int n = static_cast<int>(GetParam()) * 10;
    for (int i = 0; i < n; ++i)
    {
        const auto q = g.request(500);
        const auto c = g.r.choose(q, start_time, g.random);
        g.r.dispatched(c->engine, q, q.prompt, start_time + 1ms);
        ++sent[c->engine];
    }
    for (const auto& [engine, count] : sent)
        EXPECT_LE(count, 20);
}

TEST_P(group_size, avoids_an_overloaded_holder)
{
    routed_group g(GetParam());
    const auto blocks = blocks_from(1000, 20);
    const auto q = g.request(320, blocks);
    g.r.dispatched(g.engines[0], q, q.prompt, start_time);
    g.r.report(g.engines[0], {start_time + 1s, token_count(50000), 40},
               start_time + 1s);
    EXPECT_NE(g.r.choose(q, start_time + 1s, g.random)->engine, g.engines[0]);
}

INSTANTIATE_TEST_SUITE_P(table, group_size, testing::Values(3, 18, 400));

TEST(router, forgets_a_cache_after_a_gap_in_events)
{
    routed_group g(3);
    const auto blocks = blocks_from(1, 4);
    const std::vector<cache_change> events{{10, true, blocks[0]},
                                           {11, true, blocks[1]},
                                           {12, true, blocks[2]},
                                           {13, true, blocks[3]}};
    g.r.cache_events(g.engines[1], events, false);
    const auto q = g.request(64, blocks);
    EXPECT_EQ(g.r.choose(q, start_time, g.random)->cached, token_count(64));
    const cache_change late{12, false, blocks[0]};
    g.r.cache_events(g.engines[1], {&late, 1}, false);
    EXPECT_EQ(g.r.choose(q, start_time, g.random)->cached, token_count(64));
    const cache_change after_gap{20, true, 999};
    g.r.cache_events(g.engines[1], {&after_gap, 1}, false);
    EXPECT_EQ(g.r.choose(q, start_time, g.random)->cached, token_count(0));
}

TEST(router, keeps_roles_apart_and_excludes_failed_engines)
{
    routed_group g(3, engine_role::prefill);
    auto q = g.request(100);
    EXPECT_FALSE(g.r.choose(q, start_time, g.random));
    q.kind = route_kind::prefill;
    q.excluded = {g.engines[0], g.engines[1]};
    EXPECT_EQ(g.r.choose(q, start_time, g.random)->engine, g.engines[2]);
    g.r.remove_engine(instance_id("e2"));
    EXPECT_FALSE(g.r.choose(q, start_time, g.random));
}

TEST(router, prefers_its_failure_domain_at_equal_load)
{
    routed_group g(18);
    auto q = g.request(100);
    q.preferred_domain = failure_domain_id("2");
    const auto c = g.r.choose(q, start_time, g.random);
    EXPECT_EQ(g.r.info(c->engine).failure_domain, q.preferred_domain);
}

RC_GTEST_PROP(prefix_index, stays_bounded_and_consistent, ())
{
    prefix_index index(8);
    for (int i = 0; i < 200; ++i)
    {
        const auto engine = *rc::gen::inRange<engine_index>(0, 4);
        const auto block = *rc::gen::inRange<std::uint64_t>(0, 30);
        const int what = *rc::gen::inRange(0, 12);
        if (what == 0)
            index.clear(engine);
        else if (what < 3)
            index.remove(engine, block);
        else
            index.add(engine, block);
        RC_ASSERT(index.holds(engine, block) == (what >= 3));
        RC_ASSERT(index.blocks_of(engine) <= 8U);
        RC_ASSERT(index.blocks() <= 32U);
    }
}

TEST(prefix, digests_name_whole_prefixes)
{
    std::string text;
    for (int i = 0; i < 40; ++i)
        text += "word" + std::to_string(i) + " ";
    const auto a = prompt_blocks(text);
    const auto b = prompt_blocks(text + "more words");
    const auto c = prompt_blocks("x" + text);
    EXPECT_EQ(a.size(), 2U);
    EXPECT_EQ(std::vector(b.begin(), b.begin() + 2), a);
    EXPECT_NE(c[1], a[1]);
    EXPECT_NE(prompt_blocks(text, 1)[0], a[0]);
    EXPECT_EQ(count_tokens("one two  three"), token_count(3));
}

std::vector<instance_id> members(std::size_t n, const std::string& kind = "m")
{
    std::vector<instance_id> result;
    result.reserve(n);
    for (std::size_t i = 0; i < n; ++i)
        result.emplace_back(kind + std::to_string(i));
    return result;
}

RC_GTEST_PROP(cells, balanced_and_stable_when_one_leaves, ())
{
    const auto n = *rc::gen::inRange<std::size_t>(20, 400);
    const auto count = *rc::gen::inRange<std::uint32_t>(2, 8);
    auto list = members(n);
    const auto before = assign_cells(list, count);
    std::vector<std::size_t> cell_sizes(count, 0);
    for (std::uint32_t cell : before)
        ++cell_sizes[cell];
    const auto capacity = static_cast<std::size_t>(
        std::ceil(static_cast<double>(n) / count * 1.1));
    RC_ASSERT(*std::ranges::max_element(cell_sizes) <= capacity);
    const auto removed = *rc::gen::inRange<std::size_t>(0, n);
    list.erase(list.begin() + static_cast<std::ptrdiff_t>(removed));
    const auto after = assign_cells(list, count);
    std::size_t moved = 0;
    for (std::size_t i = 0; i < list.size(); ++i)
        moved += after[i] != before[i < removed ? i : i + 1];
    // Removing a member frees capacity in one cell; only a short chain of
    // members moves as a result.
    RC_ASSERT(moved <= 2 * count + n / 20);
}

TEST(cells, subsets_cover_every_agent_the_same_number_of_times)
{
    const auto entries = members(20);
    const auto agents = members(520, "a");
    std::map<instance_id, int> covered;
    for (const instance_id& e : entries)
    {
        const auto subset = agent_subset(e, entries, agents, 5);
        EXPECT_LE(subset.size(), 143U);
        EXPECT_GE(subset.size(), 104U);
        for (const instance_id& a : subset)
            ++covered[a];
    }
    EXPECT_EQ(covered.size(), agents.size());
    EXPECT_TRUE(std::ranges::all_of(covered, [](const auto& entry)
                                    { return entry.second == 5; }));
}

RC_GTEST_PROP(retry_budget, never_exceeds_its_share_of_first_attempts, ())
{
    retry_budget_settings s;
    retry_budget budget(s);
    double first = 0;
    double retries = 0;
    for (int i = 0; i < 500; ++i)
    {
        if (*rc::gen::inRange(0, 3) == 0)
        {
            budget.record_first_attempt();
            ++first;
        }
        else
        {
            retries += budget.try_retry() ? 1 : 0;
        }
        RC_ASSERT(retries <= s.initial + s.per_first_attempt * first + 1e-6);
    }
}

struct hedge_case
{
    bool idempotent;
    duration waited;
    double budget;
    bool expected;
};

class hedging : public testing::TestWithParam<hedge_case>
{
};

TEST_P(hedging, only_when_idempotent_slow_and_within_budget)
{
    retry_budget budget({0.1, 20, GetParam().budget});
    EXPECT_EQ(should_hedge({}, GetParam().idempotent, GetParam().waited, 200ms,
                           budget),
              GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(table, hedging,
                         testing::Values(hedge_case{true, 300ms, 5, true},
                                         hedge_case{false, 300ms, 5, false},
                                         hedge_case{true, 100ms, 5, false},
                                         hedge_case{true, 300ms, 0, false}));

TEST(output_estimator, learns_mean_and_quantile_per_account)
{
    output_estimator e;
    const model_id m("m");
    random_source random{1};
    for (int i = 0; i < 4000; ++i)
    {
        e.learn(tenant_id("long"), m, rank_index(0),
                token_count(900 + static_cast<int>(random() % 200)));
        e.learn(tenant_id("short"), m, rank_index(0),
                token_count(1 + static_cast<int>(random() % 100)));
    }
    const auto expect = [&](const char* tenant, int most)
    {
        return e.estimate(tenant_id(tenant), m, rank_index(0),
                          token_count(most));
    };
    EXPECT_NEAR(static_cast<double>(expect("long", 5000).mean.value), 1000, 60);
    EXPECT_NEAR(static_cast<double>(expect("short", 5000).mean.value), 50, 25);
    EXPECT_NEAR(static_cast<double>(expect("short", 5000).upper.value), 90, 15);
    EXPECT_EQ(expect("long", 300).upper, token_count(300));
    // The estimate for an unknown tenant lies between those of the known ones.
    EXPECT_GT(expect("other", 5000).mean, expect("short", 5000).mean);
}

TEST(output_estimator, keeps_its_bound_and_recently_used_accounts)
{
    output_estimator_settings s;
    s.max_accounts = 100;
    output_estimator e(s);
    for (int i = 0; i < 5000; ++i)
    {
        e.learn(tenant_id(std::to_string(i)), model_id("m"), rank_index(0),
                token_count(10));
        e.learn(tenant_id("busy"), model_id("m"), rank_index(0),
                token_count(500));
    }
    EXPECT_EQ(e.accounts(), 100U);
    EXPECT_GT(e.estimate(tenant_id("busy"), model_id("m"), rank_index(0),
                         token_count(9999))
                  .mean,
              token_count(400));
}

} // namespace
} // namespace poplar::policy
