#include "entry/engine_feed.hpp"

#include <utility>

namespace poplar::entry
{

engine_feed::engine_feed(dispatch_policy& policy, decision_log& decisions)
    : policy_(policy), decisions_(decisions)
{
}

void engine_feed::changed(const agent_links& links, const instance_id& instance)
{
    absl::MutexLock lock(&mutex_);
    const std::optional<member_view> found = links.find(instance);
    if (!found)
    {
        if (seen_.erase(instance) > 0)
            policy_.engine_removed(instance);
        return;
    }
    const member& m = found->row;
    last_seen& seen = seen_[instance];
    const bool is_usable = found->reason == unusable_reason::none;
    if (std::exchange(seen.why, found->reason) != found->reason)
        decisions_.add(is_usable ? decision_kind::instance_usable
                                 : decision_kind::instance_unusable,
                       {}, instance, to_string(found->reason));
    const bool is_new =
        std::exchange(seen.reported_at, m.reported_at) != m.reported_at;
    if (m.record.kind == store::instance_kind::engine)
        policy_.engine_changed({instance, m.record.group,
                                m.record.failure_domain, is_usable, is_new,
                                m.report},
                               now());
}

} // namespace poplar::entry
