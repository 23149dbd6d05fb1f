#include "policy/role_planner.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace poplar::policy
{

namespace
{

using sheet::engine_role;

constexpr double shortest_mix_life = 20;
constexpr double longest_mix_life = 3600;
/// Weight of the newest measurement of a change or of a mix's life.
constexpr double newest = 0.3;

bool is_away(const planned_engine& e, mono_time now, duration stuck_after)
{
    if (e.state != sheet::upstream_state::active || !e.reachable)
        return true;
    return e.changing && now - e.changing_since > stuck_after;
}

/// Serving or about to: counts towards the capacity of its role.
bool has_role(const planned_engine& e, engine_role to)
{
    return is_prefill_only(to) ? is_prefill_only(e.role) : can_decode(e.role);
}

double per_second(token_count n, duration interval)
{
    return static_cast<double>(n.value) / seconds(interval);
}

} // namespace

role_planner::role_planner(const role_planner_settings& settings)
    : settings_(settings), mix_life_(seconds(settings.first_mix_life)),
      change_seconds_(seconds(settings.change_time))
{
}

void role_planner::change_took(duration d)
{
    change_seconds_ += newest * (seconds(d) - change_seconds_);
}

void role_planner::learn_demand(const planner_input& input)
{
    if (input.interval <= duration::zero())
        return;
    rates_.resize(std::max(rates_.size(), input.demand.size()));
    const double weight =
        1 - std::exp(-seconds(input.interval) /
                     std::max(seconds(settings_.demand_average), 1e-3));
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

void role_planner::learn_direction(int direction, mono_time now)
{
    if (direction == last_direction_)
        return;
    if (last_direction_ != 0)
    {
        const double life = std::clamp(seconds(now - last_reversal_),
                                       shortest_mix_life, longest_mix_life);
        mix_life_ += newest * (life - mix_life_);
    }
    last_direction_ = direction;
    last_reversal_ = now;
}

role_planner::census role_planner::count(const planner_input& input,
                                         mono_time now) const
{
    census c;
    for (const planned_engine& e : input.engines)
    {
        const bool away = is_away(e, now, settings_.stuck_after);
        c.changing += e.changing ? 1 : 0;
        c.away += away ? 1 : 0;
        domain_count& domain = c.domains[e.failure_domain];
        if (away)
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

/// Prompts take prefill engines first, then the part of stream engines' time
/// that prompts may take, at their lower efficiency.
double role_planner::serve(double prompt, double output, room& left) const
{
    const double efficiency = settings_.speed.shared_prefill_efficiency;
    double part = 1;
    if (output > 0)
        part = std::min(part, left.streams / output);
    if (prompt > 0)
        part =
            std::min(part, (left.prefill + efficiency * left.shared) / prompt);
    if (part * prompt > left.prefill)
        part = std::min(part, (left.streams + left.prefill / efficiency) /
                                  (output + prompt / efficiency));
    const double on_prefill = std::min(part * prompt, left.prefill);
    const double on_streams = (part * prompt - on_prefill) / efficiency;
    left.prefill -= on_prefill;
    left.shared = std::max(0.0, left.shared - on_streams);
    left.streams = std::max(0.0, left.streams - on_streams - part * output);
    return part;
}

/// Serves the ranks in order of urgency.
role_planner::split role_planner::value_of(const planner_input& input,
                                           unsigned prefill,
                                           unsigned streams) const
{
    const engine_speed& speed = settings_.speed;
    const double use = settings_.target_utilisation;
    room left{prefill * use, streams * use,
              streams * use * speed.shared_prefill_fraction *
                  settings_.shared_counted};
    const room all = left;
    double offered = 0;
    double served = 0;
    double needed = 0;
    double output_needed = 0;
    for (std::size_t i = 0; i < rates_.size(); ++i)
    {
        const double worth =
            i < input.ranks.size() ? input.ranks[i].worth : 1.0;
        const double prompt =
            rates_[i].prompt / speed.prefill_tokens_per_second;
        const double output = rates_[i].output / speed.decode_tokens_per_second;
        offered += worth * (prompt + output);
        served += worth * (prompt + output) * serve(prompt, output, left);
        needed += prompt;
        output_needed += output;
    }
    split result;
    result.served = offered > 0 ? served / offered : 1;
    const double prompt_room =
        all.prefill + speed.shared_prefill_efficiency * all.shared;
    result.busiest = std::max(needed / std::max(prompt_room, 1e-3),
                              output_needed / std::max(all.streams, 1e-3));
    result.value =
        result.served - settings_.room_worth * std::min(2.0, result.busiest);
    return result;
}

unsigned role_planner::best_prefill(const planner_input& input,
                                    unsigned now_prefill, unsigned engines,
                                    unsigned domains) const
{
    // Each failure domain keeps an engine of each role.
    const unsigned least = std::min(now_prefill, domains);
    const unsigned most = engines > domains ? engines - domains : now_prefill;
    unsigned best = now_prefill;
    double best_value =
        value_of(input, now_prefill, engines - now_prefill).value;
    for (unsigned n = least; n <= most; ++n)
    {
        const double value = value_of(input, n, engines - n).value;
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

/// Engines without a role: first one of each role in every failure domain,
/// then as the mix asks.
void role_planner::assign_first(const planner_input& input, census& c,
                                role_plan& plan) const
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
                value_of(input, c.prefill + 1, engines - c.prefill - 1).value >
                value_of(input, c.prefill, engines - c.prefill).value;
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

/// Engine that loses least by the change, from the failure domain that can
/// best spare it; null with plan.hold when there is none.
const planned_engine* role_planner::candidate(const planner_input& input,
                                              const census& c, engine_role to,
                                              domain_rule rule, mono_time now,
                                              role_plan& plan) const
{
    const engine_role from =
        is_prefill_only(to) ? engine_role::decode : engine_role::prefill;
    const planned_engine* best = nullptr;
    std::tuple<int, double> best_key;
    plan.hold = hold_reason::no_engine;
    for (const planned_engine& e : input.engines)
    {
        if (e.changing || is_away(e, now, settings_.stuck_after) ||
            !has_role(e, from))
            continue;
        const domain_count& domain = c.domains.at(e.failure_domain);
        const unsigned same =
            is_prefill_only(from) ? domain.prefill : domain.streams;
        const unsigned in_group = is_prefill_only(from) ? c.prefill : c.streams;
        const bool is_last =
            rule == domain_rule::keep_last_of_role ? same <= 1 : in_group <= 1;
        if (is_last)
        {
            if (plan.hold == hold_reason::no_engine)
                plan.hold = hold_reason::last_of_role;
            continue;
        }
        const auto changed = changed_at_.find(e.instance);
        if (changed != changed_at_.end() &&
            now - changed->second < settings_.rest)
        {
            plan.hold = hold_reason::resting;
            continue;
        }
        const double loss =
            static_cast<double>(e.queued_prompt.value + e.cached.value) /
                settings_.speed.prefill_tokens_per_second +
            static_cast<double>(e.streams) / settings_.speed.max_streams;
        const std::tuple key(-static_cast<int>(same), loss);
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

void role_planner::change(const planner_input& input, const census& c,
                          engine_role to, unsigned most, role_reason reason,
                          mono_time now, role_plan& plan)
{
    census left = c;
    for (unsigned n = 0; n < most; ++n)
    {
        if (left.changing >= input.group.max_changing)
        {
            plan.hold = hold_reason::change_limit;
            return;
        }
        const planned_engine* e = candidate(
            input, left, to, domain_rule::keep_last_of_role, now, plan);
        // The sheet's numbers hold even where a failure domain has too few
        // engines to keep both roles.
        if (!e && reason == role_reason::fixed_by_sheet)
            e = candidate(input, left, to, domain_rule::keep_last_of_group, now,
                          plan);
        if (!e)
            return;
        plan.changes.push_back({e->instance, e->role, to, reason});
        changed_at_[e->instance] = now;
        domain_count& domain = left.domains[e->failure_domain];
        --(is_prefill_only(e->role) ? domain.prefill : domain.streams);
        --(is_prefill_only(e->role) ? left.prefill : left.streams);
        ++left.changing;
    }
}

bool role_planner::worth_changing(const planner_input& input, const census& c,
                                  role_plan& plan) const
{
    plan_figures& f = plan.figures;
    const unsigned engines = c.prefill + c.streams;
    const split now = value_of(input, c.prefill, c.streams);
    const split after =
        value_of(input, f.wanted_prefill, engines - f.wanted_prefill);
    f.served_now = now.served;
    f.served_after = after.served;
    const double moved =
        std::abs(static_cast<double>(f.wanted_prefill) - c.prefill);
    if (moved == 0)
        return false;
    const double offered = offered_engine_seconds();
    const double gain = after.value - now.value;
    const double life = std::max(0.0, mix_life_ - change_seconds_);
    f.gain_engine_seconds = gain * offered * life / moved;
    // An engine that is away costs what it would have served.
    double cached = 0;
    for (const planned_engine& e : input.engines)
        cached += static_cast<double>(e.cached.value);
    cached /= std::max<double>(1, static_cast<double>(input.engines.size()));
    f.cost_engine_seconds =
        change_seconds_ * std::min(1.0, offered / std::max(1U, engines)) +
        cached / settings_.speed.prefill_tokens_per_second;
    return gain >= settings_.smallest_gain &&
           f.gain_engine_seconds >
               settings_.gain_over_cost * f.cost_engine_seconds;
}

void role_planner::follow_mix(const planner_input& input, const census& c,
                              mono_time now, role_plan& plan)
{
    plan_figures& f = plan.figures;
    const unsigned engines = c.prefill + c.streams;
    const auto domains = static_cast<unsigned>(c.domains.size());
    f.wanted_prefill = best_prefill(input, c.prefill, engines, domains);
    const bool worth = worth_changing(input, c, plan);
    const int direction = f.wanted_prefill > c.prefill   ? 1
                          : f.wanted_prefill < c.prefill ? -1
                                                         : 0;
    const int wish = worth ? direction : 0;
    if (wish != wish_)
    {
        wish_ = wish;
        wish_since_ = now;
    }
    if (wish == 0)
    {
        plan.hold = direction == 0 ? hold_reason::balanced
                                   : hold_reason::gain_too_small;
        return;
    }
    if (now - wish_since_ < settings_.confirm)
    {
        plan.hold = hold_reason::not_confirmed;
        return;
    }
    const unsigned moved =
        wish > 0 ? f.wanted_prefill - c.prefill : c.prefill - f.wanted_prefill;
    change(
        input, c, wish > 0 ? engine_role::prefill : engine_role::decode, moved,
        wish > 0 ? role_reason::prompt_shortage : role_reason::stream_shortage,
        now, plan);
    if (!plan.changes.empty())
        learn_direction(wish, now);
}

void role_planner::follow_sheet(const planner_input& input, const census& c,
                                mono_time now, role_plan& plan)
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
        change(input, c, to, moved, role_reason::fixed_by_sheet, now, plan);
}

role_plan role_planner::plan(const planner_input& input, mono_time now)
{
    learn_demand(input);
    census c = count(input, now);
    role_plan plan;
    plan_figures& f = plan.figures;
    f.prefill_engines = c.prefill;
    f.stream_engines = c.streams;
    f.changing = c.changing;
    f.away = c.away;
    f.mix_life = from_seconds(mix_life_);
    for (const rank_rates& r : rates_)
    {
        f.prompt_tokens_per_second += r.prompt;
        f.output_tokens_per_second += r.output;
    }
    absl::erase_if(changed_at_, [&](const auto& entry)
                   { return now - entry.second >= settings_.rest; });
    if (!c.unassigned.empty())
    {
        assign_first(input, c, plan);
        f.wanted_prefill = c.prefill;
        return plan;
    }
    if (input.group.roles == sheet::role_policy::automatic)
        follow_mix(input, c, now, plan);
    else
        follow_sheet(input, c, now, plan);
    return plan;
}

} // namespace poplar::policy
