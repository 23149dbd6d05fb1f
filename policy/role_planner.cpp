#include "policy/role_planner.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace poplar::policy
{

namespace
{

using sheet::engine_role;

/// Bounds of a measured mix lifetime, in seconds.
constexpr double min_mix_lifetime = 20;
constexpr double max_mix_lifetime = 3600;
/// Weight of the newest measurement in the moving averages of the change time
/// and of the mix lifetime.
constexpr double newest_weight = 0.3;

bool is_unavailable(const planned_engine& e, mono_time now,
                    duration stuck_after)
{
    if (e.state != sheet::upstream_state::active || !e.reachable)
        return true;
    return e.changing && now - e.changing_since > stuck_after;
}

/// Returns true if the engine serves in or is changing to a role of the same
/// kind (prefill, or decode and mixed) as `role`, and so counts towards the
/// capacity of that role.
bool has_role_kind(const planned_engine& e, engine_role role)
{
    return is_prefill_only(role) ? is_prefill_only(e.role) : can_decode(e.role);
}

double per_second(token_count n, duration interval)
{
    return static_cast<double>(n.value) / seconds(interval);
}

} // namespace

role_planner::role_planner(const role_planner_settings& settings)
    : settings_(settings),
      mix_lifetime_(seconds(settings.initial_mix_lifetime)),
      change_seconds_(seconds(settings.initial_change_time))
{
}

void role_planner::record_change_time(duration d)
{
    change_seconds_ += newest_weight * (seconds(d) - change_seconds_);
}

void role_planner::update_demand(const planner_input& input)
{
    if (input.interval <= duration::zero())
        return;
    rates_.resize(std::max(rates_.size(), input.demand.size()));
    const double weight =
        1 - std::exp(-seconds(input.interval) /
                     std::max(seconds(settings_.demand_time_constant), 1e-3));
    for (std::size_t i = 0; i < rates_.size(); ++i)
    {
        const rank_demand d =
            i < input.demand.size() ? input.demand[i] : rank_demand();
        rank_rates& r = rates_[i];
        const duration t = input.interval;
        r.prompt += weight * (per_second(d.offered.prompt, t) - r.prompt);
        r.output += weight * (per_second(d.offered.output, t) - r.output);
    }
}

void role_planner::update_mix_lifetime(int direction, mono_time now)
{
    if (direction == last_direction_)
        return;
    if (last_direction_ != 0)
    {
        const double lifetime =
            std::clamp(seconds(now - last_direction_change_), min_mix_lifetime,
                       max_mix_lifetime);
        mix_lifetime_ += newest_weight * (lifetime - mix_lifetime_);
    }
    last_direction_ = direction;
    last_direction_change_ = now;
}

role_planner::engine_counts
role_planner::count_engines(const planner_input& input, mono_time now) const
{
    engine_counts c;
    for (const planned_engine& e : input.engines)
    {
        const bool unavailable = is_unavailable(e, now, settings_.stuck_after);
        c.changing += e.changing ? 1 : 0;
        c.unavailable += unavailable ? 1 : 0;
        domain_count& domain = c.domains[e.failure_domain];
        if (unavailable)
            continue;
        if (e.role == engine_role::unassigned)
            c.unassigned.push_back(&e);
        const bool prefill = is_prefill_only(e.role);
        const bool streams = can_decode(e.role);
        c.prefill += prefill ? 1 : 0;
        c.streams += streams ? 1 : 0;
        domain.prefill += prefill && !e.changing ? 1 : 0;
        domain.streams += streams && !e.changing ? 1 : 0;
    }
    return c;
}

/// Prompts use the prefill engines first, then the share of the stream engines'
/// time that is usable for prompts, at their lower efficiency. Prompts and
/// output on the stream engines together must fit into the stream engines' free
/// capacity, which is the third limit of `fraction`.
double role_planner::serve(double prompt, double output,
                           free_capacity& available) const
{
    const double efficiency = settings_.speed.shared_prefill_efficiency;
    double fraction = 1;
    if (output > 0)
        fraction = std::min(fraction, available.streams / output);
    if (prompt > 0)
        fraction = std::min(
            fraction,
            (available.prefill + efficiency * available.shared) / prompt);
    if (fraction * prompt > available.prefill)
        fraction = std::min(
            fraction, (available.streams + available.prefill / efficiency) /
                          (output + prompt / efficiency));
    const double on_prefill = std::min(fraction * prompt, available.prefill);
    const double on_streams = (fraction * prompt - on_prefill) / efficiency;
    available.prefill -= on_prefill;
    available.shared = std::max(0.0, available.shared - on_streams);
    available.streams =
        std::max(0.0, available.streams - on_streams - fraction * output);
    return fraction;
}

/// Assigns capacity to the ranks in order of urgency, the most urgent first.
role_planner::split_estimate
role_planner::evaluate_split(const planner_input& input, unsigned prefill,
                             unsigned streams) const
{
    const engine_speed& speed = settings_.speed;
    const double utilization = settings_.target_utilisation;
    free_capacity available{prefill * utilization, streams * utilization,
                            streams * utilization *
                                speed.shared_prefill_fraction *
                                settings_.usable_shared_fraction};
    const free_capacity total = available;
    double offered = 0;
    double served = 0;
    double prompt_needed = 0;
    double output_needed = 0;
    for (std::size_t i = 0; i < rates_.size(); ++i)
    {
        const double worth =
            i < input.ranks.size() ? input.ranks[i].worth : 1.0;
        const double prompt =
            rates_[i].prompt / speed.prefill_tokens_per_second;
        const double output = rates_[i].output / speed.decode_tokens_per_second;
        offered += worth * (prompt + output);
        served += worth * (prompt + output) * serve(prompt, output, available);
        prompt_needed += prompt;
        output_needed += output;
    }
    split_estimate result;
    result.served = offered > 0 ? served / offered : 1;
    const double prompt_capacity =
        total.prefill + speed.shared_prefill_efficiency * total.shared;
    result.max_utilization =
        std::max(prompt_needed / std::max(prompt_capacity, 1e-3),
                 output_needed / std::max(total.streams, 1e-3));
    result.value = result.served - settings_.headroom_worth *
                                       std::min(2.0, result.max_utilization);
    return result;
}

unsigned role_planner::best_prefill_count(const planner_input& input,
                                          unsigned current_prefill,
                                          unsigned engines,
                                          unsigned domains) const
{
    // Each failure domain keeps at least one engine of each role.
    const unsigned min_prefill = std::min(current_prefill, domains);
    const unsigned max_prefill =
        engines > domains ? engines - domains : current_prefill;
    unsigned best = current_prefill;
    double best_value =
        evaluate_split(input, current_prefill, engines - current_prefill).value;
    for (unsigned n = min_prefill; n <= max_prefill; ++n)
    {
        const double value = evaluate_split(input, n, engines - n).value;
        if (value > best_value + 1e-9)
        {
            best = n;
            best_value = value;
        }
    }
    return best;
}

double role_planner::offered_engine_seconds() const
{
    double sum = 0;
    for (const rank_rates& r : rates_)
        sum += r.prompt / settings_.speed.prefill_tokens_per_second +
               r.output / settings_.speed.decode_tokens_per_second;
    return sum;
}

/// With automatic roles, each failure domain first gets one engine of each
/// role; further engines get the role that serves the current demand best. With
/// fixed roles, the first engines become prefill engines up to the number in
/// the sheet. With all_mixed, every engine becomes mixed.
void role_planner::assign_initial_roles(const planner_input& input,
                                        engine_counts& c, role_plan& plan) const
{
    const bool mixed = input.group.roles == sheet::role_policy::all_mixed;
    for (const planned_engine* e : c.unassigned)
    {
        domain_count& domain = c.domains[e->failure_domain];
        const unsigned engines = c.prefill + c.streams + 1;
        bool prefill = false;
        if (input.group.roles == sheet::role_policy::fixed)
            prefill = c.prefill < input.group.prefill_engines;
        else if (domain.streams == 0 || domain.prefill == 0)
            prefill = domain.streams > 0;
        else
            prefill =
                evaluate_split(input, c.prefill + 1, engines - c.prefill - 1)
                    .value >
                evaluate_split(input, c.prefill, engines - c.prefill).value;
        engine_role to = prefill ? engine_role::prefill : engine_role::decode;
        if (mixed)
            to = engine_role::mixed;
        const bool as_prefill = to == engine_role::prefill;
        c.prefill += as_prefill ? 1 : 0;
        domain.prefill += as_prefill ? 1 : 0;
        c.streams += as_prefill ? 0 : 1;
        domain.streams += as_prefill ? 0 : 1;
        plan.changes.push_back({e->instance, engine_role::unassigned, to,
                                role_reason::first_assignment});
    }
}

/// Selects an engine from the failure domain with the most engines of the old
/// role, and among these the one that loses the least work by the change.
/// Returns null and sets plan.hold if there is none.
const planned_engine*
role_planner::choose_engine(const planner_input& input, const engine_counts& c,
                            engine_role to, domain_rule rule, mono_time now,
                            role_plan& plan) const
{
    const engine_role from =
        is_prefill_only(to) ? engine_role::decode : engine_role::prefill;
    const planned_engine* best = nullptr;
    std::tuple<int, double> best_key;
    plan.hold = hold_reason::no_engine;
    for (const planned_engine& e : input.engines)
    {
        if (e.changing || is_unavailable(e, now, settings_.stuck_after) ||
            !has_role_kind(e, from))
            continue;
        const domain_count& domain = c.domains.at(e.failure_domain);
        const unsigned in_domain =
            is_prefill_only(from) ? domain.prefill : domain.streams;
        const unsigned in_group = is_prefill_only(from) ? c.prefill : c.streams;
        const bool is_last = rule == domain_rule::keep_last_of_role
                                 ? in_domain <= 1
                                 : in_group <= 1;
        if (is_last)
        {
            if (plan.hold == hold_reason::no_engine)
                plan.hold = hold_reason::last_of_role;
            continue;
        }
        const auto changed = changed_at_.find(e.instance);
        if (changed != changed_at_.end() &&
            now - changed->second < settings_.min_time_in_role)
        {
            plan.hold = hold_reason::resting;
            continue;
        }
        const double loss =
            static_cast<double>(e.queued_prompt.value + e.cached.value) /
                settings_.speed.prefill_tokens_per_second +
            static_cast<double>(e.streams) / settings_.speed.max_streams;
        const std::tuple key(-static_cast<int>(in_domain), loss);
        if (!best || key < best_key)
        {
            best = &e;
            best_key = key;
        }
    }
    if (best)
        plan.hold = hold_reason::none;
    return best;
}

void role_planner::add_changes(const planner_input& input,
                               const engine_counts& c, engine_role to,
                               unsigned max_changes, role_reason reason,
                               mono_time now, role_plan& plan)
{
    engine_counts remaining = c;
    for (unsigned n = 0; n < max_changes; ++n)
    {
        if (remaining.changing >= input.group.max_changing)
        {
            plan.hold = hold_reason::change_limit;
            return;
        }
        const planned_engine* e = choose_engine(
            input, remaining, to, domain_rule::keep_last_of_role, now, plan);
        // The engine numbers of the sheet are followed even if a failure domain
        // loses its last engine of a role. The last one of the group is kept.
        if (!e && reason == role_reason::fixed_by_sheet)
            e = choose_engine(input, remaining, to,
                              domain_rule::keep_last_of_group, now, plan);
        if (!e)
            return;
        plan.changes.push_back({e->instance, e->role, to, reason});
        changed_at_[e->instance] = now;
        domain_count& domain = remaining.domains[e->failure_domain];
        --(is_prefill_only(e->role) ? domain.prefill : domain.streams);
        --(is_prefill_only(e->role) ? remaining.prefill : remaining.streams);
        ++remaining.changing;
    }
}

bool role_planner::worth_changing(const planner_input& input,
                                  const engine_counts& c, role_plan& plan) const
{
    plan_figures& f = plan.figures;
    const unsigned engines = c.prefill + c.streams;
    const split_estimate now = evaluate_split(input, c.prefill, c.streams);
    const split_estimate after =
        evaluate_split(input, f.wanted_prefill, engines - f.wanted_prefill);
    f.served_now = now.served;
    f.served_after = after.served;
    const double moved =
        std::abs(static_cast<double>(f.wanted_prefill) - c.prefill);
    if (moved == 0)
        return false;
    const double offered = offered_engine_seconds();
    const double gain = after.value - now.value;
    const double lifetime = std::max(0.0, mix_lifetime_ - change_seconds_);
    f.gain_engine_seconds = gain * offered * lifetime / moved;
    // The cost is the work that the engine would have served during the
    // change, and the prefill of the cached tokens that it loses.
    double cached = 0;
    for (const planned_engine& e : input.engines)
        cached += static_cast<double>(e.cached.value);
    cached /= std::max<double>(1, static_cast<double>(input.engines.size()));
    f.cost_engine_seconds =
        change_seconds_ * std::min(1.0, offered / std::max(1U, engines)) +
        cached / settings_.speed.prefill_tokens_per_second;
    return gain >= settings_.min_gain &&
           f.gain_engine_seconds >
               settings_.min_gain_to_cost * f.cost_engine_seconds;
}

void role_planner::plan_by_demand(const planner_input& input,
                                  const engine_counts& c, mono_time now,
                                  role_plan& plan)
{
    plan_figures& f = plan.figures;
    const unsigned engines = c.prefill + c.streams;
    const auto domains = static_cast<unsigned>(c.domains.size());
    f.wanted_prefill = best_prefill_count(input, c.prefill, engines, domains);
    const bool worth = worth_changing(input, c, plan);
    const int direction = f.wanted_prefill > c.prefill   ? 1
                          : f.wanted_prefill < c.prefill ? -1
                                                         : 0;
    const int desired = worth ? direction : 0;
    if (desired != desired_direction_)
    {
        desired_direction_ = desired;
        desired_since_ = now;
    }
    if (desired == 0)
    {
        plan.hold = direction == 0 ? hold_reason::balanced
                                   : hold_reason::gain_too_small;
        return;
    }
    if (now - desired_since_ < settings_.confirmation_time)
    {
        plan.hold = hold_reason::not_confirmed;
        return;
    }
    const unsigned moved = desired > 0 ? f.wanted_prefill - c.prefill
                                       : c.prefill - f.wanted_prefill;
    add_changes(input, c,
                desired > 0 ? engine_role::prefill : engine_role::decode, moved,
                desired > 0 ? role_reason::prompt_shortage
                            : role_reason::stream_shortage,
                now, plan);
    if (!plan.changes.empty())
        update_mix_lifetime(desired, now);
}

void role_planner::plan_by_sheet(const planner_input& input,
                                 const engine_counts& c, mono_time now,
                                 role_plan& plan)
{
    const bool fixed = input.group.roles == sheet::role_policy::fixed;
    const unsigned wanted = fixed ? input.group.prefill_engines : 0;
    plan.figures.wanted_prefill = wanted;
    plan.hold = hold_reason::balanced;
    const engine_role to = wanted > c.prefill ? engine_role::prefill
                           : fixed            ? engine_role::decode
                                              : engine_role::mixed;
    const unsigned moved =
        wanted > c.prefill ? wanted - c.prefill : c.prefill - wanted;
    if (moved > 0)
        add_changes(input, c, to, moved, role_reason::fixed_by_sheet, now,
                    plan);
}

role_plan role_planner::plan(const planner_input& input, mono_time now)
{
    update_demand(input);
    engine_counts c = count_engines(input, now);
    role_plan plan;
    plan_figures& f = plan.figures;
    f.prefill_engines = c.prefill;
    f.stream_engines = c.streams;
    f.changing = c.changing;
    f.unavailable = c.unavailable;
    f.mix_lifetime = from_seconds(mix_lifetime_);
    for (const rank_rates& r : rates_)
    {
        f.prompt_tokens_per_second += r.prompt;
        f.output_tokens_per_second += r.output;
    }
    absl::erase_if(changed_at_,
                   [&](const auto& entry) {
                       return now - entry.second >= settings_.min_time_in_role;
                   });
    if (!c.unassigned.empty())
    {
        assign_initial_roles(input, c, plan);
        f.wanted_prefill = c.prefill;
        return plan;
    }
    if (input.group.roles == sheet::role_policy::automatic)
        plan_by_demand(input, c, now, plan);
    else
        plan_by_sheet(input, c, now, plan);
    return plan;
}

} // namespace poplar::policy
