/// Works out the assignments of a group from its sheet, what its engines
/// report, and the role planner's decision. Pure: no threads, clocks or I/O.
#pragma once

#include "base/time.hpp"
#include "control/assignments.hpp"
#include "policy/role_planner.hpp"

#include <vector>

namespace poplar::control
{

/// What the owner knows of one engine.
struct engine_observation
{
    instance_id instance;
    failure_domain_id failure_domain;
    bool is_reachable = false; ///< Connected, with a load report.
    /// Order number that the agent has taken over; its report speaks of this.
    object_version assignments_version;
    sheet::engine_role role = sheet::engine_role::unassigned;
    model_id model;
    model_version version;
    std::vector<adapter_id> adapters; ///< Sorted.
    bool is_changing = false;
    /// Since when it has been changing or not as assigned.
    mono_time changing_since;
    /// It has not become as assigned for so long that it no longer counts
    /// against max_changing, so that one broken engine cannot stop a rollout.
    bool is_stuck = false;
    bool is_ready = false;
    unsigned streams = 0;
    token_count queued_prompt;
    token_count cached;
};

struct group_observation
{
    std::vector<engine_observation> engines;
    std::vector<policy::rank_demand> demand; ///< One per rank.
    duration interval{};                     ///< That `demand` covers.
};

struct planning_input
{
    const sheet::sheet* sheet = nullptr;
    sheet_generation generation;
    const sheet::engine_group* group = nullptr;
    const group_assignments* previous = nullptr;
    const group_observation* observed = nullptr;
    const policy::role_plan* roles = nullptr;
    std::vector<instance_id> gone; ///< Their assignments are removed.
};

/// Input of the role planner; engines that are not yet as assigned count as
/// changing.
policy::planner_input make_planner_input(const planning_input& input);

/// The assignments that should be in force next, ordered by instance. Sheet
/// states (draining, withdrawn) apply at once; models, versions, adapters and
/// roles change at no more than group.max_changing engines at a time, and the
/// only serving engine of a group is changed only when no other can serve.
std::vector<assignment> plan_assignments(const planning_input& input);

/// True when the engine reports what the assignment asks for.
bool is_as_assigned(const engine_observation& seen, const assignment& wanted);

} // namespace poplar::control
