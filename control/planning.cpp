#include "control/planning.hpp"

#include <algorithm>

namespace poplar::control
{

namespace
{

using sheet::engine_role;
using sheet::role_policy;
using sheet::upstream_state;

/// Role of an engine that has none yet and that the role planner leaves out.
engine_role first_role(const planning_input& input,
                       const engine_observation& seen)
{
    if (seen.role != engine_role::unassigned)
        return seen.role;
    return input.group->roles == role_policy::fixed ? engine_role::decode
                                                    : engine_role::mixed;
}

const policy::role_change* find_change(const policy::role_plan* plan,
                                       const instance_id& instance)
{
    if (!plan)
        return nullptr;
    auto it = std::ranges::find(plan->changes, instance,
                                &policy::role_change::instance);
    return it == plan->changes.end() ? nullptr : &*it;
}

bool has_current_model(const assignment& a, const sheet::engine_group& group)
{
    std::vector<adapter_id> adapters = group.adapters;
    std::ranges::sort(adapters);
    return a.model == group.model && a.version == group.version &&
           a.adapters == adapters;
}

void set_model(assignment& a, const planning_input& input)
{
    a.model = input.group->model;
    a.version = input.group->version;
    a.adapters = input.group->adapters;
    std::ranges::sort(a.adapters);
}

std::string sheet_reason(const planning_input& input)
{
    return "sheet generation " + std::to_string(input.generation.value);
}

/// The first assignment takes the engine as it stands; later steps bring it to
/// what the sheet asks for within the limit of changes.
assignment adopt(const planning_input& input, const engine_observation& seen)
{
    assignment a;
    a.instance = seen.instance;
    a.role = first_role(input, seen);
    a.reason = "first assignment from " + sheet_reason(input);
    set_model(a, input);
    if (!seen.model.empty())
    {
        a.model = seen.model;
        a.version = seen.version;
        a.adapters = seen.adapters;
    }
    return a;
}

/// Counts what may still change now.
class change_limit
{
public:
    change_limit(const planning_input& input,
                 const std::vector<assignment>& list)
        : left_(input.group->max_changing)
    {
        for (const assignment& a : list)
            count(input, a);
    }

    bool allows(const assignment& a, bool serves) const
    {
        if (a.state != upstream_state::active)
            return true; // Takes no work, so its change costs nothing.
        return left_ > 0 && (serving_ > 1 || !serves || total_ <= 1);
    }

    void use(const assignment& a, bool serves)
    {
        if (a.state != upstream_state::active)
            return;
        --left_;
        serving_ -= serves ? 1 : 0;
    }

private:
    void count(const planning_input& input, const assignment& a)
    {
        auto it = std::ranges::find(input.observed->engines, a.instance,
                                    &engine_observation::instance);
        const bool is_known = it != input.observed->engines.end();
        const bool is_active = a.state == upstream_state::active;
        total_ += is_active ? 1 : 0;
        if (!is_known || !it->is_reachable || !is_active || it->is_stuck)
            return;
        if (it->is_changing || !is_as_assigned(*it, a))
            left_ -= std::min(left_, 1U);
        else if (it->is_ready)
            ++serving_;
    }

    unsigned left_ = 0;
    unsigned serving_ = 0;
    unsigned total_ = 0;
};

void apply_states(const planning_input& input, std::vector<assignment>& list)
{
    for (assignment& a : list)
    {
        const upstream_state wanted = sheet::state_of(*input.sheet, a.instance);
        if (a.state == wanted)
            continue;
        a.state = wanted;
        a.reason = to_string(wanted) + " by " + sheet_reason(input);
    }
}

bool serves_now(const planning_input& input, const assignment& a)
{
    auto it = std::ranges::find(input.observed->engines, a.instance,
                                &engine_observation::instance);
    return it != input.observed->engines.end() && it->is_reachable &&
           it->is_ready && !it->is_changing && is_as_assigned(*it, a);
}

/// True when the owner may give the engine another order: it is connected and
/// has settled what it was told before.
bool is_settled(const planning_input& input, const assignment& a)
{
    auto it = std::ranges::find(input.observed->engines, a.instance,
                                &engine_observation::instance);
    return it != input.observed->engines.end() && it->is_reachable &&
           !it->is_changing && is_as_assigned(*it, a);
}

void apply_roles(const planning_input& input, change_limit& limit,
                 std::vector<assignment>& list)
{
    for (assignment& a : list)
    {
        const policy::role_change* change =
            find_change(input.roles, a.instance);
        if (!change || change->to == a.role || !is_settled(input, a))
            continue;
        const bool serves = serves_now(input, a);
        if (!limit.allows(a, serves))
            continue;
        limit.use(a, serves);
        a.role = change->to;
        a.reason = "role " + to_string(change->to) + ": " +
                   policy::to_string(change->reason) + "; " +
                   policy::to_string(*input.roles);
    }
}

void apply_models(const planning_input& input, change_limit& limit,
                  std::vector<assignment>& list)
{
    for (assignment& a : list)
    {
        if (has_current_model(a, *input.group) || !is_settled(input, a))
            continue;
        const bool serves = serves_now(input, a);
        if (!limit.allows(a, serves))
            continue;
        limit.use(a, serves);
        set_model(a, input);
        a.reason = "model " + a.model.value + " version " + a.version.value +
                   " by " + sheet_reason(input);
    }
}

} // namespace

bool is_as_assigned(const engine_observation& seen, const assignment& wanted)
{
    return seen.role == wanted.role && seen.model == wanted.model &&
           seen.version == wanted.version && seen.adapters == wanted.adapters;
}

policy::planner_input make_planner_input(const planning_input& input)
{
    policy::planner_input p;
    p.group = *input.group;
    p.ranks = input.sheet->ranks;
    p.demand = input.observed->demand;
    p.interval = input.observed->interval;
    for (const engine_observation& seen : input.observed->engines)
    {
        const assignment* a = find_assignment(*input.previous, seen.instance);
        policy::planned_engine e;
        e.instance = seen.instance;
        e.failure_domain = seen.failure_domain;
        e.role = a ? a->role : seen.role;
        e.state = sheet::state_of(*input.sheet, seen.instance);
        e.reachable = seen.is_reachable;
        e.changing = seen.is_changing || (a && !is_as_assigned(seen, *a));
        e.changing_since = seen.changing_since;
        e.streams = seen.streams;
        e.queued_prompt = seen.queued_prompt;
        e.cached = seen.cached;
        p.engines.push_back(e);
    }
    return p;
}

std::vector<assignment> plan_assignments(const planning_input& input)
{
    std::vector<assignment> list = input.previous->assignments;
    std::erase_if(list,
                  [&](const assignment& a) {
                      return std::ranges::find(input.gone, a.instance) !=
                             input.gone.end();
                  });
    for (const engine_observation& seen : input.observed->engines)
        if (!find_assignment(*input.previous, seen.instance) &&
            seen.is_reachable)
            list.push_back(adopt(input, seen));
    std::ranges::sort(list, {}, &assignment::instance);
    apply_states(input, list);
    change_limit limit(input, list);
    apply_models(input, limit, list);
    apply_roles(input, limit, list);
    return list;
}

} // namespace poplar::control
