/// Decides which engines of a group change role.
#pragma once

#include "policy/work.hpp"

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <string>
#include <vector>

namespace poplar::policy
{

struct role_planner_settings
{
    engine_speed speed;
    /// Time an engine is away for a change, until measured.
    duration change_time{std::chrono::seconds(5)};
    /// Life of a mix assumed until changes of the mix were seen.
    duration first_mix_life{std::chrono::minutes(3)};
    /// Time constants of the demand average.
    duration demand_fast{std::chrono::seconds(4)};
    duration demand_slow{std::chrono::seconds(30)};
    /// A wish must last this long; reports may lag by seconds.
    duration confirm{std::chrono::seconds(4)};
    /// An engine that just changed keeps its role this long.
    duration rest{std::chrono::seconds(20)};
    /// A change that takes longer is stuck; the engine counts as away.
    duration stuck_after{std::chrono::seconds(30)};
    double target_utilisation = 0.85;
    /// The gain must exceed the cost by this factor.
    double gain_over_cost = 1.5;
    /// Part of the group's work that a change must win.
    double smallest_gain = 0.02;
};

struct planned_engine
{
    instance_id instance;
    failure_domain_id failure_domain;
    sheet::engine_role role = sheet::engine_role::unassigned;
    sheet::upstream_state state = sheet::upstream_state::active;
    bool reachable = true;
    bool changing = false;
    mono_time changing_since{};
    unsigned streams = 0;
    token_count queued_prompt;
    token_count cached; ///< Tokens in its prefix cache, lost by a change.
};

/// Work offered to a group by one rank in an interval, summed over entries.
/// Prompts are split by the route they would take.
struct rank_demand
{
    work offered; ///< Accepted and refused.
    /// Part of offered.prompt in prompts of at least split_threshold.
    token_count long_prompt;
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
    prompt_shortage, ///< Prompts wait for prefill engines.
    stream_shortage, ///< Streams wait for decode engines.
    domain_cover     ///< The failure domain lacks a role.
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
    unsigned prefill_engines = 0; ///< Able to serve now.
    unsigned stream_engines = 0;
    unsigned away = 0; ///< Changing, stuck, unreachable or not active.
    unsigned wanted_prefill = 0;
    double prompt_tokens_per_second = 0;
    double long_prompt_tokens_per_second = 0;
    double output_tokens_per_second = 0;
    double served_now = 0; ///< Part of the worth of offered work, 0..1.
    double served_after = 0;
    double gain_engine_seconds = 0;
    double cost_engine_seconds = 0;
    duration mix_life{};
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
/// history and makes no change before `confirm` has passed.
class role_planner
{
public:
    explicit role_planner(const role_planner_settings& settings = {});

    role_plan plan(const planner_input& input, mono_time now);

    /// Measured length of a completed change.
    void change_took(duration d);

private:
    struct rates
    {
        double prompt = 0;
        double long_prompt = 0;
        double output = 0;
    };
    struct census;

    void learn_demand(const planner_input& input);
    void learn_mix_life(unsigned wanted, mono_time now);
    census count(const planner_input& input, mono_time now) const;
    rates demand_rates() const;
    double served(const rates& r, double prefill, double streams) const;
    unsigned best_prefill(const rates& r, unsigned engines, unsigned least,
                          unsigned most) const;
    void plan_fixed(const planner_input& input, const census& c,
                    unsigned wanted, role_plan& plan) const;
    void plan_first(const planner_input& input, census& c,
                    role_plan& plan) const;
    void plan_by_mix(const planner_input& input, const census& c, mono_time now,
                     role_plan& plan);
    std::optional<instance_id> candidate(const planner_input& input,
                                         const census& c,
                                         sheet::engine_role from, mono_time now,
                                         hold_reason& hold) const;

    role_planner_settings settings_;
    rates fast_;
    rates slow_;
    bool seen_demand_ = false;
    std::optional<int> wish_; ///< Direction: 1 more prefill, -1 fewer.
    mono_time wish_since_{};
    int last_direction_ = 0;
    mono_time last_turn_{}; ///< Time the direction last reversed.
    double mix_life_;       ///< Seconds.
    double change_seconds_;
    absl::flat_hash_map<instance_id, mono_time> changed_at_;
};

} // namespace poplar::policy
