#include "gateway/routing.hpp"

#include "policy/engine_placement.hpp"

#include <utility>

namespace poplar::gateway
{

namespace
{

policy::configured_priorities
priorities_of(const configuration& config,
              const std::vector<client_account>& accounts)
{
    policy::configured_priorities p;
    for (const client_account& it : accounts)
        if (it.priority)
            ++p.accounts[*it.priority];
        else
            ++p.accounts_without;
    for (const route& it : config.routes)
        p.routes.insert(it.priority);
    return p;
}

} // namespace

routing make_routing(configuration config)
{
    routing r;
    const auto accounts = std::exchange(config.accounts, std::nullopt);
    if (accounts)
    {
        const auto priorities = priorities_of(config, *accounts);
        r.accounts.emplace(account_rules{
            account_table(*accounts),
            policy::priority_ranks(priorities, policy::load_rank_count),
            policy::priority_ranks(priorities, engine_priority_count)});
    }
    r.table = route_table(config);
    r.config = std::move(config);
    return r;
}

} // namespace poplar::gateway
