/// Counts the work that callers asked for, per group and rank, as input for
/// the control plane's planning.
#pragma once

#include "base/ids.hpp"
#include "base/units.hpp"

#include <absl/synchronization/mutex.h>
#include <map>

namespace poplar::entry
{

/// Tokens requested in one rank of a group.
struct rank_demand
{
    token_count prompt; ///< Prompt tokens of accepted requests.
    token_count output; ///< Expected output tokens of accepted requests.
    token_count refused_prompt;
    token_count refused_output; ///< Expected output of refused requests.
};

/// Work of one request at its admission.
struct offered_work
{
    token_count prompt;
    token_count output; ///< Expected output tokens.
};

using group_demand = std::map<rank_index, rank_demand>;

/// Accumulates demand. Thread-safe; the lock is a leaf: no other lock is taken
/// while it is held.
class demand_counter
{
public:
    void accepted(const group_id& group, rank_index rank,
                  const offered_work& offered);
    void refused(const group_id& group, rank_index rank,
                 const offered_work& offered);
    /// Returns the demand since the last call and resets the counts.
    std::map<group_id, group_demand> take();

private:
    absl::Mutex mutex_;
    std::map<group_id, group_demand> groups_ ABSL_GUARDED_BY(mutex_);
};

} // namespace poplar::entry
