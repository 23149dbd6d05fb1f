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

/// Time constant of the averages; bursts of a second change no stage.
constexpr double average_seconds = 3;

double kept_share(mono_time since, mono_time now)
{
    return std::exp(-seconds(now - since) / average_seconds);
}

/// Index of the engine that changes next: from the failure domain that has most
/// engines of its stage, and there the one with the least work.
std::size_t next_to_change(std::span<const staged_engine> engines,
                           const std::vector<placed_stage>& stages,
                           placed_stage from)
{
    std::map<failure_domain_id, int> counts;
    for (std::size_t i = 0; i < engines.size(); ++i)
        if (stages[i] == from)
            ++counts[engines[i].failure_domain];
    std::size_t best = engines.size();
    const auto rank = [&](std::size_t i)
    {
        return std::tuple(-counts[engines[i].failure_domain], engines[i].runs,
                          engines[i].id);
    };
    for (std::size_t i = 0; i < engines.size(); ++i)
        if (stages[i] == from &&
            (best == engines.size() || rank(i) < rank(best)))
            best = i;
    return best;
}

/// Part of the engines that are to read prompts.
double wanted_share(const stage_plan_settings& settings,
                    const stage_demand& demand, unsigned engines)
{
    const double assumed = settings.assumed_demand * engines;
    const double share = (demand.reading + assumed * settings.most_prefill) /
                         (demand.reading + demand.running + assumed);
    return std::min(share, settings.most_prefill);
}

/// Whether the stage that would get `missing` prefill engines needs them.
bool is_short(const stage_plan_settings& settings, const stage_demand& demand,
              unsigned prefill, unsigned decode, int missing)
{
    return missing > 0 ? demand.reading > settings.short_from * prefill
                       : demand.running > settings.short_from * decode;
}

} // namespace

stage_plan plan_stages(const stage_plan_settings& settings,
                       std::span<const staged_engine> engines,
                       const stage_demand& demand, bool is_first)
{
    stage_plan plan;
    const auto n = unsigned(engines.size());
    plan.present_prefill = unsigned(std::ranges::count(
        engines, placed_stage::prefill, &staged_engine::stage));
    if (n < 2)
    {
        plan.wanted_prefill = plan.present_prefill;
        return plan;
    }
    const double wanted = wanted_share(settings, demand, n) * n;
    plan.wanted_prefill = std::clamp(unsigned(std::lround(wanted)), 1U, n - 1);
    const int missing = int(plan.wanted_prefill) - int(plan.present_prefill);
    const unsigned tolerance =
        std::max(1U, unsigned(std::lround(settings.tolerance * n)));
    const bool pays = unsigned(std::abs(missing)) > tolerance &&
                      is_short(settings, demand, plan.present_prefill,
                               n - plan.present_prefill, missing);
    const bool lacks_stage =
        plan.present_prefill == 0 || plan.present_prefill == n;
    if (!pays && !lacks_stage && !is_first)
        return plan;
    std::vector<placed_stage> stages;
    std::ranges::transform(engines, std::back_inserter(stages),
                           &staged_engine::stage);
    const auto from =
        missing > 0 ? placed_stage::decode : placed_stage::prefill;
    const auto to = missing > 0 ? placed_stage::prefill : placed_stage::decode;
    for (int i = 0; i < std::abs(missing); ++i)
    {
        const std::size_t engine = next_to_change(engines, stages, from);
        stages[engine] = to;
        plan.changes.push_back({engine, to});
    }
    return plan;
}

void demand_meter::add(const stage_demand& work, mono_time now)
{
    sum_ = value(now);
    sum_ += {work.reading / average_seconds, work.running / average_seconds};
    last_ = now;
}

stage_demand demand_meter::value(mono_time now) const
{
    if (last_ == mono_time{})
        return {};
    const double kept = kept_share(last_, now);
    return {sum_.reading * kept, sum_.running * kept};
}

void run_average::add(double runs, mono_time now)
{
    const double kept = last_ == mono_time{} ? 1 : kept_share(last_, now);
    last_ = now;
    value_ += (1 - kept) * (runs - value_);
}

} // namespace poplar::policy
