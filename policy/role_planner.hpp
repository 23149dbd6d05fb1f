/// Decides which engines of a group change role, for engines that entries use.
/// The stages of the engines of gateways are planned by stage_plan.hpp.
///
/// The planner averages the offered work per rank, evaluates the possible
/// splits of the engines into prefill and decode engines, and changes roles if
/// the gain over the expected lifetime of the mix of prompt and output work
/// outweighs the cost of the changes.
#pragma once

#include "policy/work.hpp"

#include <absl/container/flat_hash_map.h>
#include <string>
#include <vector>

namespace poplar::policy
{

/// Parameters of the role planner.
struct role_planner_settings
{
    engine_speed speed;
    /// Time an engine is unavailable during a role change; the value used until
    /// changes have been measured.
    duration initial_change_time{std::chrono::seconds(5)};
    /// Lifetime of a mix of prompt and output work: the time until the planner
    /// changes roles in the opposite direction. This value is used until such
    /// changes have been observed.
    duration initial_mix_lifetime{std::chrono::minutes(2)};
    /// Time constant of the exponential average of demand.
    duration demand_time_constant{std::chrono::seconds(20)};
    /// A direction of change must stay desired for this long before it is
    /// acted on, since reports may lag by seconds.
    duration confirmation_time{std::chrono::seconds(3)};
    /// Minimum time between two role changes of an engine.
    duration min_time_in_role{std::chrono::seconds(15)};
    /// A change that takes longer than this is stuck; its engine counts as
    /// unavailable.
    duration stuck_after{std::chrono::seconds(30)};
    /// Fraction of an engine's capacity that a plan uses.
    double target_utilisation = 0.85;
    /// Fraction of the prefill time of decode engines
    /// (engine_speed::shared_prefill_fraction) that a plan uses, since long
    /// prompts that are prefilled between decode steps miss their targets.
    double usable_shared_fraction = 0.25;
    /// Factor by which the gain of a change must exceed its cost.
    double min_gain_to_cost = 2;
    /// Smallest gain for which roles are changed, as a fraction of the offered
    /// worth.
    double min_gain = 0.01;
    /// Weight of the utilization of the busier role in the value of a split. Of
    /// two splits that serve all work, the one with more headroom is preferred.
    double headroom_worth = 0.05;
};

/// State of an engine as the planner sees it.
struct planned_engine
{
    instance_id instance;
    failure_domain_id failure_domain;
    /// Assigned role; during a change, the new one.
    sheet::engine_role role = sheet::engine_role::unassigned;
    sheet::upstream_state state = sheet::upstream_state::active;
    bool reachable = true;
    bool changing = false; ///< The engine has not taken its role yet.
    mono_time changing_since;
    unsigned streams = 0;
    token_count queued_prompt;
    token_count cached; ///< Tokens in its prefix cache, lost in a role change.
};

/// Work offered to a group by one rank in an interval, summed over entries.
struct rank_demand
{
    work offered; ///< Accepted and refused work.
};

/// State of a group and its demand since the last call.
struct planner_input
{
    sheet::engine_group group;
    std::vector<sheet::rank> ranks;
    std::vector<planned_engine> engines;
    std::vector<rank_demand> demand; ///< One per rank, since the last call.
    duration interval{}; ///< Interval that `demand` covers; 0: no demand data.
};

/// Reason for a role change.
enum class role_reason
{
    first_assignment, ///< The engine had no role.
    fixed_by_sheet,   ///< The sheet prescribes the roles.
    prompt_shortage,  ///< More worth is served with one more prefill engine.
    stream_shortage   ///< More worth is served with one more decode engine.
};

/// Reason why no (further) engine changes role.
enum class hold_reason
{
    none,
    balanced,       ///< The current split has the highest value.
    gain_too_small, ///< The gain doesn't justify the cost of a change.
    not_confirmed,  ///< The change hasn't been desired for long enough.
    change_limit,   ///< The group's max_changing is reached.
    /// No engine can change now; at least one can't because it changed
    /// recently.
    resting,
    /// No engine can change, because each is the last of its role in its
    /// failure domain (in the group, if the sheet prescribes the roles).
    last_of_role,
    no_engine ///< No engine of the other role is available for a change.
};

/// Figures behind a decision, for the decision record.
struct plan_figures
{
    unsigned prefill_engines = 0; ///< Serving in or changing to this role.
    unsigned stream_engines = 0;
    unsigned changing = 0;       ///< Engines that are changing, stuck ones too.
    unsigned unavailable = 0;    ///< Stuck, unreachable or not active.
    unsigned wanted_prefill = 0; ///< Prefill engines in the best split.
    double prompt_tokens_per_second = 0;
    double output_tokens_per_second = 0;
    /// Fraction of the worth of the offered work that is served, 0..1, with
    /// the current and with the wanted split.
    double served_now = 0;
    double served_after = 0;
    /// Gain and cost of changing one engine.
    double gain_engine_seconds = 0;
    double cost_engine_seconds = 0;
    duration mix_lifetime{}; ///< Expected lifetime of the current mix.
};

/// Planned change of the role of one engine.
struct role_change
{
    instance_id instance;
    sheet::engine_role from = sheet::engine_role::unassigned;
    sheet::engine_role to = sheet::engine_role::unassigned;
    role_reason reason = role_reason::first_assignment;
};

/// Result of one planning step.
struct role_plan
{
    std::vector<role_change> changes;
    hold_reason hold = hold_reason::none; ///< Why there are no further changes.
    plan_figures figures;
};

/// Formats the plan as one line for the decision record.
std::string to_string(const role_plan& plan);
std::string to_string(role_reason reason);
std::string to_string(hold_reason reason);

/// Plans the roles of one group, at the control owner of the group (the entry
/// that plans for it). A new owner starts without history. With automatic roles
/// it changes no working engine before `confirmation_time` has passed; roles
/// that the sheet prescribes are applied at once.
class role_planner
{
public:
    explicit role_planner(const role_planner_settings& settings = {});

    /// Adds the demand to the averages and returns the role changes to make
    /// now.
    role_plan plan(const planner_input& input, mono_time now);

    /// Records the measured duration of a completed role change.
    void record_change_time(duration d);

private:
    /// Average rates of offered work, in tokens per second.
    struct rank_rates
    {
        double prompt = 0;
        double output = 0;
    };
    /// Number of serving engines of one failure domain, by role.
    struct domain_count
    {
        unsigned prefill = 0;
        unsigned streams = 0;
    };
    /// Number of engines of the group, by role and state.
    struct engine_counts
    {
        unsigned prefill = 0;
        unsigned streams = 0;
        unsigned changing = 0; ///< Includes stuck ones.
        unsigned unavailable = 0;
        std::vector<const planned_engine*> unassigned;
        absl::flat_hash_map<failure_domain_id, domain_count> domains;
    };
    /// Free capacity, in engine seconds per second.
    struct free_capacity
    {
        double prefill = 0;
        double streams = 0;
        double shared = 0; ///< Share of `streams` usable for prompts.
    };
    /// Evaluation of a split of the engines into prefill and decode engines.
    struct split_estimate
    {
        double served = 0; ///< Fraction of the offered worth served, 0..1.
        double max_utilization = 0; ///< Utilization of the busier role.
        double value = 0; ///< `served`, less a small cost for utilization.
    };

    /// Adds the demand of an interval to the average rates.
    void update_demand(const planner_input& input);
    /// Records the direction of a role change (1: more prefill engines, -1:
    /// fewer). If it differs from the last one, updates the mix lifetime.
    void update_mix_lifetime(int direction, mono_time now);
    engine_counts count_engines(const planner_input& input,
                                mono_time now) const;
    /// Returns the fraction of a rank's work that fits into `available`, and
    /// subtracts the capacity it uses. `prompt` and `output` are in engine
    /// seconds per second.
    double serve(double prompt, double output, free_capacity& available) const;
    /// Estimates what a split serves at the average demand.
    split_estimate evaluate_split(const planner_input& input, unsigned prefill,
                                  unsigned streams) const;
    /// Number of prefill engines in the split with the highest value; the
    /// current number if no other split is better.
    unsigned best_prefill_count(const planner_input& input,
                                unsigned current_prefill, unsigned engines,
                                unsigned domains) const;
    /// Offered work in engine seconds per second.
    double offered_engine_seconds() const;
    /// Assigns roles to the engines that have none.
    void assign_initial_roles(const planner_input& input, engine_counts& c,
                              role_plan& plan) const;
    /// Plans role changes towards the best split for the current demand.
    void plan_by_demand(const planner_input& input, const engine_counts& c,
                        mono_time now, role_plan& plan);
    /// Plans role changes towards the roles that the sheet prescribes. If all
    /// are mixed, only prefill engines change; decode engines stay.
    void plan_by_sheet(const planner_input& input, const engine_counts& c,
                       mono_time now, role_plan& plan);
    /// Returns whether changing to the wanted split gains enough; sets the
    /// figures of gain and cost.
    bool worth_changing(const planner_input& input, const engine_counts& c,
                        role_plan& plan) const;
    /// Adds up to `max_changes` changes to role `to`; sets plan.hold if fewer
    /// are possible.
    void add_changes(const planner_input& input, const engine_counts& c,
                     sheet::engine_role to, unsigned max_changes,
                     role_reason reason, mono_time now, role_plan& plan);
    /// Which engine must keep its role.
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
    /// 1: more prefill engines, -1: fewer, 0: no change.
    int desired_direction_ = 0;
    mono_time desired_since_;
    int last_direction_ = 0;
    mono_time last_direction_change_;
    double mix_lifetime_;   ///< Estimate, in seconds.
    double change_seconds_; ///< Estimated duration of a role change.
    /// Last change of each engine that changed within `min_time_in_role`.
    absl::flat_hash_map<instance_id, mono_time> changed_at_;
};

} // namespace poplar::policy
