/// Control work of one entry: for each group of the sheet it takes part in the
/// choice of the owner and, as owner, plans and writes the assignments.
#pragma once

#include "control/ownership.hpp"
#include "control/planning.hpp"
#include "wire/generated/inner_generated.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace poplar::control
{

/// Entries that may own a group, chosen by rendezvous hashing over all live
/// entries. Three, so that two may be gone at once; each polls the lease.
constexpr unsigned candidates_per_group = 3;

struct active_sheet
{
    std::shared_ptr<const sheet::sheet> content; ///< Null: none in force yet.
    sheet_generation generation;
};

/// Called on the manager's thread.
struct manager_hooks
{
    std::function<active_sheet()> sheet;
    /// Live entries of the platform's list, this one included.
    std::function<std::vector<instance_id>()> entries;
    std::function<std::vector<engine_observation>(const group_id&)> engines;
    /// Work offered at this entry since the last call, one for each rank.
    std::function<std::vector<policy::rank_demand>(const group_id&)> demand;
    /// Owner named in the group's assignments; empty when unknown.
    std::function<instance_id(const group_id&)> owner;
    /// Sends this entry's demand to the owner.
    std::function<void(const instance_id&, const wire::fb::demand_reportT&)>
        send_demand;
    /// Records a decision for operators; the instance is empty when it is
    /// about the group.
    std::function<void(const group_id&, const instance_id&, const std::string&)>
        record;
};

struct manager_options
{
    ownership_options ownership;
    policy::role_planner_settings planner;
    duration planning_interval = std::chrono::seconds(1);
    /// An engine that is not as assigned for longer is stuck.
    duration stuck_after = std::chrono::seconds(60);
    /// The assignment of an engine that is unknown for longer is removed.
    duration forget_after = std::chrono::minutes(10);
};

struct group_status
{
    group_id group;
    bool is_owner = false;
    owner_epoch epoch;
    std::string last_plan; ///< The planner's last decision, for operators.
};

/// Members may be called from any thread.
class manager
{
public:
    /// `store` must outlive the manager.
    manager(store::object_store& store, manager_options options,
            manager_hooks hooks);
    ~manager(); ///< Releases what it owns and joins the thread.
    manager(const manager&) = delete;
    manager& operator=(const manager&) = delete;

    /// Work offered at another entry.
    void add_demand(const wire::fb::demand_reportT& report);
    std::vector<group_status> status() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

/// Place of `self` among the candidates of a group; empty when it is none.
std::optional<unsigned> candidate_place(const group_id& group,
                                        const instance_id& self,
                                        std::vector<instance_id> entries);

} // namespace poplar::control
