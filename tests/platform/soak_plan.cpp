#include "tests/platform/soak_plan.hpp"

#include <random>

namespace poplar::gateway
{

std::vector<planned_fault> plan_faults(std::uint64_t seed)
{
    constexpr std::size_t planned_faults = 300; // More than fit into a soak.
    std::mt19937_64 random(seed);
    std::vector<planned_fault> all;
    while (all.size() < planned_faults)
    {
        const auto kind = fault_kind(random() % fault_kinds);
        const bool is_series = random() % 4 == 0;
        const std::uint64_t n = is_series ? 2 + random() % 3 : 1;
        for (std::uint64_t i = 0; i < n; ++i)
            all.push_back({kind, unsigned(random() % 1000),
                           unsigned(random() % 1000),
                           is_series ? unsigned(random() % 60)
                                     : unsigned(50 + random() % 250)});
    }
    return all;
}

} // namespace poplar::gateway
