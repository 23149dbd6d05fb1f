#include "gateway/scaling_view.hpp"

#include <algorithm>
#include <cmath>

namespace poplar::gateway
{

std::map<failure_domain_id, policy::scaling_load>
sum_scaling_load(std::span<const scaled_upstream> upstreams,
                 std::span<const asked_work> asked)
{
    std::map<failure_domain_id, policy::scaling_load> domains;
    std::map<failure_domain_id, double> busy;
    for (const scaled_upstream& it : upstreams)
    {
        policy::scaling_load& load = domains[it.failure_domain];
        ++load.registered;
        const double used =
            double(it.in_flight) / double(std::max(1U, it.slots));
        busy[it.failure_domain] += std::min(used, 1.0);
        // The work of prefill engines is asked for by callers.
        if (it.stage != engine_stage::prefill)
            load.running += used;
    }
    for (auto& [name, load] : domains)
        load.occupied = unsigned(std::ceil(busy[name]));
    for (const asked_work& it : asked)
        if (const auto own = domains.find(it.failure_domain);
            own != domains.end())
            own->second.asked += it.work;
        else
            for (auto& [name, load] : domains)
                load.asked += it.work / double(domains.size());
    return domains;
}

} // namespace poplar::gateway
