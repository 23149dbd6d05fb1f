#include "entry/demand.hpp"

#include <utility>

namespace poplar::entry
{

void demand_counter::accepted(const group_id& group, rank_index rank,
                              token_count prompt, token_count output)
{
    absl::MutexLock lock(&mutex_);
    rank_demand& d = groups_[group][rank];
    d.prompt += prompt;
    d.output += output;
}

void demand_counter::refused(const group_id& group, rank_index rank,
                             token_count prompt, token_count output)
{
    absl::MutexLock lock(&mutex_);
    rank_demand& d = groups_[group][rank];
    d.refused_prompt += prompt;
    d.refused_output += output;
}

std::map<group_id, group_demand> demand_counter::take()
{
    absl::MutexLock lock(&mutex_);
    return std::exchange(groups_, {});
}

} // namespace poplar::entry
