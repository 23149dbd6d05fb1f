#include "policy/priority_ranks.hpp"

#include <algorithm>
#include <iterator>

namespace poplar::policy
{

namespace
{

using account_counts_by_priority = std::map<unsigned, std::size_t>;

/// Priorities that come first in the order, with the number of accounts.
account_counts_by_priority levels_of(const configured_priorities& configured)
{
    account_counts_by_priority levels = configured.accounts;
    if (configured.accounts_without > 0)
        for (const unsigned it : configured.routes)
            levels[it] += configured.accounts_without;
    return levels;
}

} // namespace

priority_ranks::priority_ranks(const configured_priorities& configured,
                               std::size_t rank_count)
    : routes_(configured.routes), rank_count_(rank_count)
{
    const account_counts_by_priority accounts = levels_of(configured);
    for (const auto& [priority, n] : accounts)
        levels_[priority] = {};
    std::size_t unused = rank_count - std::min(rank_count, levels_.size());
    while (unused > 0)
    {
        // The level with the most accounts for each of its ranks.
        auto best = levels_.end();
        double best_share = 0;
        for (auto it = levels_.begin(); it != levels_.end(); ++it)
        {
            const double share =
                double(accounts.at(it->first)) / double(it->second.count);
            if (it->second.count < routes_.size() && share > best_share)
            {
                best = it;
                best_share = share;
            }
        }
        if (best == levels_.end())
            break;
        ++best->second.count;
        --unused;
    }
    std::size_t first = 0;
    for (auto& [priority, it] : levels_)
    {
        it.first = first;
        first += it.count;
    }
}

std::size_t priority_ranks::rank(std::optional<unsigned> account,
                                 unsigned route) const
{
    const auto it = levels_.lower_bound(account.value_or(route));
    if (it == levels_.end())
        return rank_count_ - 1;
    const auto position =
        std::size_t(std::distance(routes_.begin(), routes_.lower_bound(route)));
    const level& l = it->second;
    return std::min(l.first + std::min(position, l.count - 1), rank_count_ - 1);
}

} // namespace poplar::policy
