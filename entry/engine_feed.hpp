/// Passes changes of the instance table to the dispatch policy and the decision
/// log.
#pragma once

#include "entry/agent_links.hpp"
#include "entry/decision_log.hpp"
#include "entry/dispatch_policy.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

namespace poplar::entry
{

/// Thread-safe. The lock is held while the table is read and the policy is
/// called, so that the policy receives states in order.
class engine_feed
{
public:
    engine_feed(dispatch_policy& policy, decision_log& decisions);

    /// Passes on the current state of an instance, or its removal.
    void changed(const agent_links& links, const instance_id& instance);

private:
    /// State of an instance at the last change.
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
