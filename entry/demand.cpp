#include "entry/demand.hpp"

#include <utility>

namespace poplar::entry
{

void demand_counter::accepted(const group_id& group, rank_index rank,
                              const offered_work& offered)
{
    absl::MutexLock lock(&mutex_);
    rank_demand& d = groups_[group][rank];
    d.prompt += offered.prompt;
    d.output += offered.output;
}

void demand_counter::refused(const group_id& group, rank_index rank,
                             const offered_work& offered)
{
    absl::MutexLock lock(&mutex_);
    rank_demand& d = groups_[group][rank];
    d.refused_prompt += offered.prompt;
    d.refused_output += offered.output;
}

std::map<group_id, group_demand> demand_counter::take()
{
    absl::MutexLock lock(&mutex_);
    return std::exchange(groups_, {});
}

} // namespace poplar::entry
