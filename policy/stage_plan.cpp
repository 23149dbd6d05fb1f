#include "policy/stage_plan.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <map>
#include <ranges>
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

using decode_counts = std::map<software_version, std::size_t>;

/// Decode engines of each version, also of those that have none.
decode_counts count_decode(std::span<const staged_engine> engines,
                           const std::vector<placed_stage>& stages)
{
    decode_counts counts;
    for (std::size_t i = 0; i < engines.size(); ++i)
        counts[engines[i].version] += stages[i] == placed_stage::decode ? 1 : 0;
    return counts;
}

/// Returns the index of the engine to change next: the one with the fewest
/// requests in flight in the failure domain with the most engines of stage
/// `from`. Decode engines of a version that has few come last.
std::size_t next_engine_to_change(const stage_plan_settings& settings,
                                  std::span<const staged_engine> engines,
                                  const std::vector<placed_stage>& stages,
                                  placed_stage from)
{
    decode_counts decoding = count_decode(engines, stages);
    const auto is_scarce = [&](std::size_t i)
    {
        return from == placed_stage::decode && decoding.size() > 1 &&
               decoding[engines[i].version] <= settings.min_decode_per_version;
    };
    std::map<failure_domain_id, int> counts;
    for (std::size_t i = 0; i < engines.size(); ++i)
        if (stages[i] == from)
            ++counts[engines[i].failure_domain];
    std::size_t best = engines.size();
    const auto change_order = [&](std::size_t i)
    {
        return std::tuple(is_scarce(i), -counts[engines[i].failure_domain],
                          engines[i].in_flight, engines[i].id);
    };
    for (std::size_t i = 0; i < engines.size(); ++i)
        if (stages[i] == from &&
            (best == engines.size() || change_order(i) < change_order(best)))
            best = i;
    return best;
}

/// The engine of this stage and of an accepted version with the fewest requests
/// in flight; the number of engines if there is none.
template <class Accepts>
std::size_t idlest_engine(std::span<const staged_engine> engines,
                          const std::vector<placed_stage>& stages,
                          placed_stage stage, Accepts&& accepts)
{
    std::size_t best = engines.size();
    for (std::size_t i = 0; i < engines.size(); ++i)
        if (stages[i] == stage && accepts(engines[i].version) &&
            (best == engines.size() ||
             engines[i].in_flight < engines[best].in_flight))
            best = i;
    return best;
}

/// Changes prefill engines of versions that lack decode engines, and as many
/// decode engines of other versions in exchange, if these can spare them.
std::vector<stage_change>
supply_versions(const stage_plan_settings& settings,
                std::span<const staged_engine> engines,
                std::vector<placed_stage> stages)
{
    std::vector<stage_change> changes;
    const auto change = [&](std::size_t i, placed_stage to)
    {
        stages[i] = to;
        changes.push_back({i, to});
    };
    const decode_counts initial = count_decode(engines, stages);
    if (initial.size() < 2)
        return changes;
    for (const software_version& version : initial | std::views::keys)
    {
        const auto size = std::size_t(
            std::ranges::count(engines, version, &staged_engine::version));
        const std::size_t wanted =
            std::min(settings.min_decode_per_version, size - 1);
        for (std::size_t n = initial.at(version); n < wanted; ++n)
        {
            change(idlest_engine(engines, stages, placed_stage::prefill,
                                 [&](const software_version& it)
                                 { return it == version; }),
                   placed_stage::decode);
            decode_counts counts = count_decode(engines, stages);
            const std::size_t spare = idlest_engine(
                engines, stages, placed_stage::decode,
                [&](const software_version& it)
                { return counts[it] > settings.min_decode_per_version; });
            if (spare != engines.size())
                change(spare, placed_stage::prefill);
        }
    }
    return changes;
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

} // namespace

stage_plan plan_stages(const stage_plan_settings& settings,
                       std::span<const staged_engine> engines,
                       const stage_demand& demand, bool is_initial)
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
    const double wanted = wanted_prefill_fraction(settings, demand, n) * n;
    plan.wanted_prefill = std::clamp(unsigned(std::lround(wanted)), 1U, n - 1);
    const int missing = int(plan.wanted_prefill) - int(plan.current_prefill);
    const unsigned tolerance =
        std::max(1U, unsigned(std::lround(settings.tolerance * n)));
    const bool is_worthwhile = unsigned(std::abs(missing)) > tolerance &&
                               is_short(settings, demand, plan.current_prefill,
                                        n - plan.current_prefill, missing);
    const bool lacks_stage =
        plan.current_prefill == 0 || plan.current_prefill == n;
    std::vector<placed_stage> stages;
    std::ranges::transform(engines, std::back_inserter(stages),
                           &staged_engine::stage);
    if (!is_worthwhile && !lacks_stage && !is_initial)
    {
        plan.changes = supply_versions(settings, engines, std::move(stages));
        return plan;
    }
    const auto from =
        missing > 0 ? placed_stage::decode : placed_stage::prefill;
    const auto to = missing > 0 ? placed_stage::prefill : placed_stage::decode;
    for (int i = 0; i < std::abs(missing); ++i)
    {
        const std::size_t engine =
            next_engine_to_change(settings, engines, stages, from);
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
