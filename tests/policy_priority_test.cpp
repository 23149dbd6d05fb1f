// Guards against urgent requests that wait behind less urgent ones because the
// priorities of accounts hide those of routes, or the other way round.
#include "policy/priority_ranks.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace poplar::policy
{
namespace
{

struct rank_case
{
    const char* name;
    configured_priorities configured;
    /// Priorities of account and route, with the expected rank of four.
    std::vector<std::tuple<std::optional<unsigned>, unsigned, std::size_t>>
        expected;
};

class priority_rank : public testing::TestWithParam<rank_case>
{
};

TEST_P(priority_rank, follows_the_account_and_then_the_route)
{
    const priority_ranks ranks(GetParam().configured, 4);
    for (const auto& [account, route, expected] : GetParam().expected)
        EXPECT_EQ(ranks.rank(account, route), expected)
            << int(account.value_or(99)) << " " << route;
}

INSTANTIATE_TEST_SUITE_P(
    configurations, priority_rank,
    testing::Values(
        rank_case{"one_priority_of_accounts",
                  {{{1, 80}}, 0, {0, 1, 2}},
                  {{1, 0, 0}, {1, 1, 1}, {1, 2, 2}, {0, 0, 0}}},
        rank_case{"few_urgent_accounts",
                  {{{0, 9}, {1, 75}}, 0, {0, 1, 2}},
                  {{0, 0, 0}, {0, 2, 0}, {1, 0, 1}, {1, 1, 2}, {1, 2, 3}}},
        rank_case{"accounts_without_priority",
                  {{}, 30, {0, 1, 2}},
                  {{std::nullopt, 0, 0}, {std::nullopt, 2, 3}}},
        rank_case{"public_route",
                  {{{1, 80}}, 0, {0, 1, 2}},
                  {{std::nullopt, 0, 0}, {std::nullopt, 2, 3}}},
        rank_case{"unknown_priority", {{{1, 4}}, 0, {0}}, {{7, 5, 3}}},
        rank_case{"nothing_configured", {}, {{std::nullopt, 0, 3}}}),
    [](const auto& it) { return it.param.name; });

RC_GTEST_PROP(priority_ranks, keep_the_order_of_pairs,
              (const std::vector<std::uint8_t>& accounts,
               const std::vector<std::uint8_t>& routes, std::uint8_t count))
{
    configured_priorities configured;
    for (const std::uint8_t it : accounts)
        ++configured.accounts[it % 5];
    for (const std::uint8_t it : routes)
        configured.routes.insert(it % 6);
    const std::size_t rank_count = 1 + count % 10;
    const priority_ranks ranks(configured, rank_count);
    std::size_t last = 0;
    for (const auto& [account, n] : configured.accounts)
        for (const unsigned route : configured.routes)
        {
            const std::size_t rank = ranks.rank(account, route);
            RC_ASSERT(rank >= last);
            RC_ASSERT(rank < rank_count);
            last = rank;
        }
}

} // namespace
} // namespace poplar::policy
