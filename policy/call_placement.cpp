#include "policy/call_placement.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <limits>

namespace poplar::policy
{

std::optional<std::size_t>
choose_instance(const call_placement_settings& settings, engine_span instances,
                const failure_domain_id& own_domain,
                std::span<const std::size_t> excluded, std::uint64_t seed)
{
    std::optional<std::size_t> best;
    double best_cost = std::numeric_limits<double>::max();
    std::uint64_t best_preference = 0;
    for (std::size_t i = 0; i < instances.size(); ++i)
    {
        const placed_engine& e = *instances[i];
        if (!e.usable || e.is_saturated ||
            std::ranges::find(excluded, i) != std::ranges::end(excluded))
            continue;
        const unsigned in_flight = e.own_load.in_flight + e.peer_load.in_flight;
        double cost =
            settings.expected_call_seconds * in_flight / std::max(1U, e.slots) +
            e.penalty_seconds;
        if (e.failure_domain != own_domain)
            cost += settings.other_domain_seconds;
        const std::uint64_t preference = rendezvous_weight(e.id, seed);
        if (cost > best_cost ||
            (cost == best_cost && preference <= best_preference))
            continue;
        best = i;
        best_cost = cost;
        best_preference = preference;
    }
    return best;
}

} // namespace poplar::policy
