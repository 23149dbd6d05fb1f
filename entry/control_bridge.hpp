/// Connects the control work with the data path of this entry: what agents
/// report and callers ask for goes in; demand goes to other owners.
#pragma once

#include "control/manager.hpp"
#include "entry/entry.hpp"

#include <absl/synchronization/mutex.h>
#include <map>
#include <memory>
#include <vector>

namespace poplar::entry
{

/// Members may be called from any thread; the lock is a leaf.
class control_bridge
{
public:
    explicit control_bridge(instance_id self);
    ~control_bridge();
    control_bridge(const control_bridge&) = delete;
    control_bridge& operator=(const control_bridge&) = delete;

    /// Hooks to give to the entry.
    entry_hooks hooks_for_entry();
    /// Starts the control work; `e` and `store` must outlive `stop`.
    void start(entry& e, store::object_store& store,
               const entry_settings& settings);
    /// Releases ownership so that other entries take over at once.
    void stop();

    std::vector<control::group_status> status() const;

private:
    /// The view of a group that is not yet asked for.
    struct pending_group
    {
        std::vector<control::engine_observation> engines;
        std::vector<policy::rank_demand> demand;
    };

    control::manager_hooks hooks_for_manager();
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
