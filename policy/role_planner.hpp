/// Decides which engines of a group change role.
#pragma once

#include "policy/work.hpp"

#include <absl/container/flat_hash_map.h>
#include <string>
#include <vector>

namespace poplar::policy
{

struct role_planner_settings
{
    engine_speed speed;
    /// Time an engine is away for a change, until measured.
    duration initial_change_time{std::chrono::seconds(5)};
    /// Life of a mix assumed until changes of the mix were seen.
    duration initial_mix_lifetime{std::chrono::minutes(2)};
    /// Time constant of the demand average.
    duration demand_time_constant{std::chrono::seconds(20)};
    /// A wish must last this long; reports may lag by seconds.
    duration confirmation_time{std::chrono::seconds(3)};
    /// An engine that just changed keeps its role this long.
    duration min_time_in_role{std::chrono::seconds(15)};
    /// A change that takes longer is stuck; the engine counts as away.
    duration stuck_after{std::chrono::seconds(30)};
    double target_utilisation = 0.85;
    /// Part of the prompt time of decode engines that a plan counts on: long
    /// prompts beside decoding miss their targets.
    double usable_shared_fraction = 0.25;
    /// The gain must exceed the cost by this factor.
    double min_gain_to_cost = 2;
    /// Part of the offered worth that a change must win.
    double min_gain = 0.01;
    /// Worth of spare room: of two splits that serve all work, the one whose
    /// busier role is less busy.
    double headroom_worth = 0.05;
};

struct planned_engine
{
    instance_id instance;
    failure_domain_id failure_domain;
    /// Assigned role; while changing, the new one.
    sheet::engine_role role = sheet::engine_role::unassigned;
    sheet::upstream_state state = sheet::upstream_state::active;
    bool reachable = true;
    bool changing = false; ///< The engine does not have its role yet.
    mono_time changing_since;
    unsigned streams = 0;
    token_count queued_prompt;
    token_count cached; ///< Tokens in its prefix cache, lost by a change.
};

/// Work offered to a group by one rank in an interval, summed over entries.
struct rank_demand
{
    work offered; ///< Accepted and refused.
};

struct planner_input
{
    sheet::engine_group group;
    std::vector<sheet::rank> ranks;
    std::vector<planned_engine> engines;
    std::vector<rank_demand> demand; ///< One per rank, since the last call.
    duration interval{};             ///< That `demand` covers; 0: none.
};

enum class role_reason
{
    first_assignment, ///< The engine had no role.
    fixed_by_sheet,
    prompt_shortage, ///< More worth is served with one more prefill engine.
    stream_shortage  ///< More worth is served with one more decode engine.
};

enum class hold_reason
{
    none,
    balanced,       ///< The present split serves the most.
    gain_too_small, ///< Less than the cost of a change.
    not_confirmed,  ///< The wish is too recent.
    change_limit,   ///< max_changing engines are changing.
    resting,        ///< All candidates changed recently.
    last_of_role,   ///< Every candidate is the last of its role in its domain.
    no_engine
};

/// Figures behind a decision, for the operators' record.
struct plan_figures
{
    unsigned prefill_engines = 0; ///< Serving, or changing to this role.
    unsigned stream_engines = 0;
    unsigned changing = 0;    ///< Of both of the above.
    unsigned unavailable = 0; ///< Stuck, unreachable or not active.
    unsigned wanted_prefill = 0;
    double prompt_tokens_per_second = 0;
    double output_tokens_per_second = 0;
    double served_now = 0; ///< Part of the worth of offered work, 0..1.
    double served_after = 0;
    double gain_engine_seconds = 0;
    double cost_engine_seconds = 0;
    duration mix_lifetime{};
};

struct role_change
{
    instance_id instance;
    sheet::engine_role from = sheet::engine_role::unassigned;
    sheet::engine_role to = sheet::engine_role::unassigned;
    role_reason reason = role_reason::first_assignment;
};

struct role_plan
{
    std::vector<role_change> changes;
    hold_reason hold = hold_reason::none; ///< Why there are no (more) changes.
    plan_figures figures;
};

/// One line for the operators' record.
std::string to_string(const role_plan& plan);
std::string to_string(role_reason reason);
std::string to_string(hold_reason reason);

/// One object per group at its control owner. A new owner starts without
/// history and changes no working engine before `confirmation_time` has passed.
class role_planner
{
public:
    explicit role_planner(const role_planner_settings& settings = {});

    role_plan plan(const planner_input& input, mono_time now);

    /// Measured length of a completed change.
    void record_change_time(duration d);

private:
    /// Average of offered work in tokens/s.
    struct rank_rates
    {
        double prompt = 0;
        double output = 0;
    };
    /// Engines of one failure domain by role.
    struct domain_count
    {
        unsigned prefill = 0; ///< Serving now.
        unsigned streams = 0;
    };
    struct engine_counts
    {
        unsigned prefill = 0;
        unsigned streams = 0;
        unsigned changing = 0; ///< Includes stuck ones.
        unsigned unavailable = 0;
        std::vector<const planned_engine*> unassigned;
        absl::flat_hash_map<failure_domain_id, domain_count> domains;
    };
    /// Engine seconds per second that are still free.
    struct free_capacity
    {
        double prefill = 0;
        double streams = 0;
        double shared = 0; ///< Part of `streams` that prompts may take.
    };
    struct split_estimate
    {
        double served = 0; ///< Part of the offered worth, 0..1.
        double max_utilization = 0;
        double value = 0;
    };

    void update_demand(const planner_input& input);
    void update_mix_lifetime(int direction, mono_time now);
    engine_counts count_engines(const planner_input& input,
                                mono_time now) const;
    /// Part of a rank's work that fits; takes it from `available`.
    double serve(double prompt, double output, free_capacity& available) const;
    split_estimate evaluate_split(const planner_input& input, unsigned prefill,
                                  unsigned streams) const;
    unsigned best_prefill_count(const planner_input& input,
                                unsigned current_prefill, unsigned engines,
                                unsigned domains) const;
    double offered_engine_seconds() const;
    void assign_initial_roles(const planner_input& input, engine_counts& c,
                              role_plan& plan) const;
    void plan_by_demand(const planner_input& input, const engine_counts& c,
                        mono_time now, role_plan& plan);
    void plan_by_sheet(const planner_input& input, const engine_counts& c,
                       mono_time now, role_plan& plan);
    bool worth_changing(const planner_input& input, const engine_counts& c,
                        role_plan& plan) const;
    void add_changes(const planner_input& input, const engine_counts& c,
                     sheet::engine_role to, unsigned max_changes,
                     role_reason reason, mono_time now, role_plan& plan);
    /// Which engine a change may not take.
    enum class domain_rule
    {
        keep_last_of_role, ///< The last of its role in its failure domain.
        keep_last_of_group ///< Only the last of its role in the group.
    };
    const planned_engine* choose_engine(const planner_input& input,
                                        const engine_counts& c,
                                        sheet::engine_role to, domain_rule rule,
                                        mono_time now, role_plan& plan) const;

    role_planner_settings settings_;
    std::vector<rank_rates> rates_;
    int desired_direction_ =
        0; ///< 1: more prefill engines, -1: fewer, 0: none.
    mono_time desired_since_;
    int last_direction_ = 0;
    mono_time last_direction_change_;
    double mix_lifetime_; ///< Seconds.
    double change_seconds_;
    absl::flat_hash_map<instance_id, mono_time> changed_at_;
};

} // namespace poplar::policy
