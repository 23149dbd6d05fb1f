/// Orders requests by the priority of their client account, then of their
/// route.
///
/// Load: accounts of which most have the same priority, while the kinds of
/// requests of each account differ in urgency. Placement and engines
/// distinguish few ranks, so that those of accounts and routes have to share
/// them.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace poplar::policy
{

/// Priorities of a configuration; 0 is the most urgent.
struct configured_priorities
{
    /// Number of accounts by priority.
    std::map<unsigned, std::size_t> accounts;
    /// Number of accounts without a priority.
    std::size_t accounts_without = 0;
    std::set<unsigned> routes;
};

/// Maps the priorities of a request to one of a number of ranks. Immutable.
///
/// The priority of the account comes first, and that of the route orders the
/// requests of accounts with equal priorities. Without a priority of the
/// account, that of the route counts as both. When there are more pairs than
/// ranks, each priority of accounts gets one rank, and the others go to those
/// that most accounts have.
class priority_ranks
{
public:
    priority_ranks(const configured_priorities& configured,
                   std::size_t rank_count);

    /// From 0, the most urgent, to `rank_count` - 1.
    std::size_t rank(std::optional<unsigned> account, unsigned route) const;

private:
    /// Ranks of the accounts with one priority.
    struct level
    {
        std::size_t first = 0;
        std::size_t count = 1;
    };

    const std::set<unsigned> routes_;
    const std::size_t rank_count_;
    std::map<unsigned, level> levels_;
};

} // namespace poplar::policy
