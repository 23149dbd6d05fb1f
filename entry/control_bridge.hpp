/// Connects the control manager with the request path of this entry: passes
/// agents' reports and callers' demand to the manager, and sends demand to the
/// entries that own other groups.
#pragma once

#include "control/manager.hpp"
#include "entry/entry.hpp"

#include <absl/synchronization/mutex.h>
#include <map>
#include <memory>
#include <vector>

namespace poplar::entry
{

/// Thread-safe; no other lock is acquired while the mutex is held.
class control_bridge
{
public:
    explicit control_bridge(instance_id self);
    ~control_bridge();
    control_bridge(const control_bridge&) = delete;
    control_bridge& operator=(const control_bridge&) = delete;

    /// Hooks to construct the entry with; they must not outlive this object.
    entry_hooks hooks_for_entry();
    /// Starts the control manager; `e` and `store` must stay valid until `stop`
    /// returns.
    void start(entry& e, store::object_store& store,
               const entry_settings& settings);
    /// Stops the manager, which releases its ownership so that other entries
    /// take over without waiting for the lease to expire.
    void stop();

    /// Status of the groups; empty while the manager is stopped.
    std::vector<control::group_status> status() const;

private:
    /// Data of a group for the manager: the latest engine reports, and the
    /// demand that the manager has not taken yet.
    struct pending_group
    {
        std::vector<control::engine_observation> engines;
        std::vector<policy::rank_demand> demand;
    };

    control::manager_hooks hooks_for_manager();
    /// Updates `groups_` from the entry.
    void refresh();
    std::vector<instance_id> live_entries() const;
    void send_demand(const instance_id& owner, const fb::demand_reportT& r);
    wire::connection_ptr connection_to(const instance_id& owner);

    const instance_id self_;
    entry* entry_ = nullptr;
    mutable absl::Mutex mutex_;
    sheet_in_force sheet_ ABSL_GUARDED_BY(mutex_);
    std::map<group_id, instance_id> owners_ ABSL_GUARDED_BY(mutex_);
    std::map<instance_id, ip_address> entry_addresses_ ABSL_GUARDED_BY(mutex_);
    std::map<instance_id, wire::connection_ptr>
        connections_ ABSL_GUARDED_BY(mutex_);
    std::map<group_id, pending_group> groups_ ABSL_GUARDED_BY(mutex_);
    std::shared_ptr<control::manager> manager_ ABSL_GUARDED_BY(mutex_);
};

} // namespace poplar::entry
