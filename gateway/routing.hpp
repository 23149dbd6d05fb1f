/// What a gateway derives from one version of the configuration.
#pragma once

#include "gateway/account_table.hpp"
#include "gateway/route_table.hpp"
#include "policy/priority_ranks.hpp"

#include <optional>

namespace poplar::gateway
{

/// Keys and priorities of client accounts.
struct account_rules
{
    account_table table;
    policy::priority_ranks load_ranks;   ///< For placement.
    policy::priority_ranks engine_ranks; ///< For the queues of engines.
};

/// A configuration with what is derived from it. A request uses the one that
/// was in force when it began until it ends.
struct routing
{
    configuration config; ///< Without accounts: their keys are in `accounts`.
    route_table table;
    /// Empty: requests need no key.
    std::optional<account_rules> accounts;
};

routing make_routing(configuration config);

} // namespace poplar::gateway
