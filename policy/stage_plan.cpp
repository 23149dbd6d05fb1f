#include "policy/stage_plan.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <map>
#include <tuple>

namespace poplar::policy
{

namespace
{

/// Time constant of the averages. It is long enough that bursts of a second
/// change no stage.
constexpr double time_constant_seconds = 3;

/// Weight that a value from `since` still has at `now`.
double decay(mono_time since, mono_time now)
{
    return std::exp(-seconds(now - since) / time_constant_seconds);
}

/// Returns the index of the engine to change next: the one with the fewest
/// requests in flight in the failure domain with the most engines of stage
/// `from`.
std::size_t next_engine_to_change(std::span<const staged_engine> engines,
                                  const std::vector<placed_stage>& stages,
                                  placed_stage from)
{
    std::map<failure_domain_id, int> counts;
    for (std::size_t i = 0; i < engines.size(); ++i)
        if (stages[i] == from)
            ++counts[engines[i].failure_domain];
    std::size_t best = engines.size();
    const auto change_order = [&](std::size_t i)
    {
        return std::tuple(-counts[engines[i].failure_domain],
                          engines[i].in_flight, engines[i].id);
    };
    for (std::size_t i = 0; i < engines.size(); ++i)
        if (stages[i] == from &&
            (best == engines.size() || change_order(i) < change_order(best)))
            best = i;
    return best;
}

/// Fraction of the engines that should be prefill engines.
double wanted_prefill_fraction(const stage_plan_settings& settings,
                               const stage_demand& demand, unsigned engines)
{
    const double assumed = settings.assumed_demand_fraction * engines;
    const double share =
        (demand.prefill + assumed * settings.max_prefill_fraction) /
        (demand.prefill + demand.decode + assumed);
    return std::min(share, settings.max_prefill_fraction);
}

/// Whether the stage that would gain engines is short of them. `missing` is the
/// number of prefill engines to add; when negative, decode gains engines.
bool is_short(const stage_plan_settings& settings, const stage_demand& demand,
              unsigned prefill, unsigned decode, int missing)
{
    return missing > 0 ? demand.prefill > settings.shortage_threshold * prefill
                       : demand.decode > settings.shortage_threshold * decode;
}

/// Whether a plan that is not an initial one may change engines.
bool needs_change(const stage_plan_settings& settings,
                  const stage_demand& demand, unsigned engines,
                  unsigned wanted_prefill, unsigned current_prefill)
{
    if (current_prefill == 0 || current_prefill == engines)
        return true;
    const int missing = int(wanted_prefill) - int(current_prefill);
    const unsigned tolerance =
        std::max(1U, unsigned(std::lround(settings.tolerance * engines)));
    return unsigned(std::abs(missing)) > tolerance &&
           is_short(settings, demand, current_prefill,
                    engines - current_prefill, missing);
}

/// Number of engines that a stage of a large fleet may be extended to.
/// `initial_fraction` is the stage's fraction of a small fleet without demand.
unsigned sufficient_engines(const stage_plan_settings& settings, double demand,
                            double initial_fraction)
{
    const double sufficient =
        std::max(initial_fraction * settings.small_fleet_engines,
                 demand / settings.sufficient_utilization);
    return std::max(1U, unsigned(std::lround(sufficient)));
}

/// Limits the wanted number of prefill engines of a large fleet to what the
/// demand needs.
unsigned limit_to_need(const stage_plan_settings& settings,
                       const stage_demand& demand, unsigned engines,
                       unsigned wanted_prefill, unsigned current_prefill)
{
    if (wanted_prefill > current_prefill)
        return std::clamp(sufficient_engines(settings, demand.prefill,
                                             settings.max_prefill_fraction),
                          current_prefill, wanted_prefill);
    const unsigned decode =
        std::clamp(sufficient_engines(settings, demand.decode,
                                      1 - settings.max_prefill_fraction),
                   engines - current_prefill, engines - wanted_prefill);
    return engines - decode;
}

/// Number of engines of a large fleet that may leave stage `from` now.
unsigned max_leaving(const stage_plan_settings& settings,
                     std::span<const staged_engine> engines, placed_stage from,
                     unsigned unlisted_changes)
{
    const auto remaining =
        unsigned(std::ranges::count(engines, from, &staged_engine::stage));
    const auto leaving =
        unlisted_changes + unsigned(std::ranges::count_if(
                               engines, [&](const staged_engine& it)
                               { return it.is_changing && it.stage != from; }));
    const auto limit = std::max(
        1U, unsigned(settings.max_leaving_fraction * (remaining + leaving)));
    return limit - std::min(limit, leaving);
}

} // namespace

stage_plan plan_stages(const stage_plan_settings& settings,
                       std::span<const staged_engine> engines,
                       const stage_demand& demand, bool is_initial,
                       unsigned unlisted_changes)
{
    stage_plan plan;
    const auto n = unsigned(engines.size());
    plan.current_prefill = unsigned(std::ranges::count(
        engines, placed_stage::prefill, &staged_engine::stage));
    if (n < 2)
    {
        plan.wanted_prefill = plan.current_prefill;
        return plan;
    }
    const double balanced = wanted_prefill_fraction(settings, demand, n) * n;
    plan.wanted_prefill =
        std::clamp(unsigned(std::lround(balanced)), 1U, n - 1);
    if (!is_initial && !needs_change(settings, demand, n, plan.wanted_prefill,
                                     plan.current_prefill))
        return plan;
    const bool is_large = n + unlisted_changes > settings.small_fleet_engines;
    if (is_large)
        plan.wanted_prefill = limit_to_need(
            settings, demand, n, plan.wanted_prefill, plan.current_prefill);
    const int missing = int(plan.wanted_prefill) - int(plan.current_prefill);
    const auto wanted_changes = unsigned(std::abs(missing));
    std::vector<placed_stage> stages;
    std::ranges::transform(engines, std::back_inserter(stages),
                           &staged_engine::stage);
    const auto from =
        missing > 0 ? placed_stage::decode : placed_stage::prefill;
    const auto to = missing > 0 ? placed_stage::prefill : placed_stage::decode;
    unsigned changes = wanted_changes;
    if (is_large)
        changes = std::min(
            changes, max_leaving(settings, engines, from, unlisted_changes));
    plan.is_partial = changes < wanted_changes;
    for (unsigned i = 0; i < changes; ++i)
    {
        const std::size_t engine = next_engine_to_change(engines, stages, from);
        stages[engine] = to;
        plan.changes.push_back({engine, to});
    }
    return plan;
}

void demand_meter::add(const stage_demand& work, mono_time now)
{
    sum_ = value(now);
    sum_ += {work.prefill / time_constant_seconds,
             work.decode / time_constant_seconds};
    last_ = now;
}

stage_demand demand_meter::value(mono_time now) const
{
    if (last_ == mono_time{})
        return {};
    const double remaining = decay(last_, now);
    return {sum_.prefill * remaining, sum_.decode * remaining};
}

void in_flight_average::add(double in_flight, mono_time now)
{
    const double remaining = last_ == mono_time{} ? 1 : decay(last_, now);
    last_ = now;
    value_ += (1 - remaining) * (in_flight - value_);
}

} // namespace poplar::policy
