/// Chooses an instance for a call to a service without engines. Used by
/// gateways. Instances are passed as placed_engine, of which only the id, the
/// failure domain, usability, penalty, slots and calls in flight are used.
#pragma once

#include "policy/engine_placement.hpp"

#include <optional>
#include <span>

namespace poplar::policy
{

struct call_placement_settings
{
    /// Expected duration of a call in seconds. It converts load into seconds,
    /// so that load can be compared with penalties.
    double expected_call_seconds = 0.1;
    /// Cost in seconds of an instance outside the failure domain of the
    /// gateway.
    double other_domain_seconds = 0.004;
};

/// Returns the index of the instance with the lowest expected response time;
/// empty when no instance is usable. The estimate takes into account the calls
/// in flight per slot, recent failures and the failure domain. `seed` decides
/// between instances of equal cost.
std::optional<std::size_t>
choose_instance(const call_placement_settings& settings, engine_span instances,
                const failure_domain_id& own_domain,
                std::span<const std::size_t> excluded, std::uint64_t seed);

} // namespace poplar::policy
