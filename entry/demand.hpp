/// Work that callers asked for, per group and rank, for the control work.
#pragma once

#include "base/ids.hpp"
#include "base/units.hpp"

#include <absl/synchronization/mutex.h>
#include <map>

namespace poplar::entry
{

struct rank_demand
{
    token_count prompt;
    token_count output; ///< Expected.
    token_count refused_prompt;
    token_count refused_output;
};

/// Work of one request as it was offered.
struct offered_work
{
    token_count prompt;
    token_count output; ///< Expected.
};

using group_demand = std::map<rank_index, rank_demand>;

/// Members may be called from any thread; the lock is a leaf.
class demand_counter
{
public:
    void accepted(const group_id& group, rank_index rank,
                  const offered_work& offered);
    void refused(const group_id& group, rank_index rank,
                 const offered_work& offered);
    /// The demand since the last call.
    std::map<group_id, group_demand> take();

private:
    absl::Mutex mutex_;
    std::map<group_id, group_demand> groups_ ABSL_GUARDED_BY(mutex_);
};

} // namespace poplar::entry
