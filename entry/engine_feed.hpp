/// Passes changes of the instance table to the policy and to the decision
/// record.
#pragma once

#include "entry/agent_links.hpp"
#include "entry/decision_log.hpp"
#include "entry/dispatch_policy.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

namespace poplar::entry
{

/// Members may be called from any thread. The lock is held while the table is
/// read and the policy is told, so that the policy sees states in order.
class engine_feed
{
public:
    engine_feed(dispatch_policy& policy, decision_log& decisions);

    void changed(const agent_links& links, const instance_id& instance);

private:
    struct last_seen
    {
        unusable_reason why = unusable_reason::not_connected;
        mono_time reported_at;
    };

    dispatch_policy& policy_;
    decision_log& decisions_;
    absl::Mutex mutex_;
    absl::flat_hash_map<instance_id, last_seen> seen_ ABSL_GUARDED_BY(mutex_);
};

} // namespace poplar::entry
