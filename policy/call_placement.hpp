/// Chooses an instance of a plain service for a call.
#pragma once

#include "policy/engine_placement.hpp"

#include <optional>
#include <span>

namespace poplar::policy
{

struct call_placement_settings
{
    /// Expected seconds of a call; weighs load against penalties.
    double expected_call_seconds = 0.1;
    /// Added for an instance in another failure domain than the gateway.
    double other_domain_seconds = 0.004;
};

/// Index of the instance that is expected to answer first: its calls in
/// relation to its slots, its failures and its distance count. Empty when no
/// instance is usable.
std::optional<std::size_t>
choose_instance(const call_placement_settings& settings, engine_span instances,
                const failure_domain_id& own_domain,
                std::span<const std::size_t> excluded, std::uint64_t seed);

} // namespace poplar::policy
