// Simulates loads on engines that change their stage as planned, without a
// network. Guards against plans that follow the delay of requests instead of
// demand, which removed prefill engines during prefill overload, and against
// plans that do not follow a shift between prefill and decode.
#include "policy/stage_plan.hpp"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <numbers>

namespace poplar::policy
{
namespace
{

using std::chrono::milliseconds;

constexpr unsigned engine_count = 39;
constexpr unsigned slots = 12;
constexpr duration tick = milliseconds(500);
constexpr int ticks = 180;
constexpr unsigned change_ticks = 6; ///< An engine is unavailable for 3 s.
/// Longest wait in ticks before callers give up.
constexpr double patience_ticks = 4;

/// Demand that arrives in a tick, in number of engines that it keeps busy.
using load = std::function<stage_demand(int)>;

struct outcome
{
    double served = 0; ///< Fraction of the work that was done in time.
    unsigned changes = 0;
};

/// Serves the backlog of one stage for a tick and drops what has waited too
/// long. Returns the work done.
double serve(double& backlog, double arriving, double engines)
{
    backlog += arriving;
    const double served = std::min(backlog, engines);
    backlog = std::min(backlog - served, patience_ticks * engines);
    return served;
}

/// Simulates a load. `plan` is called in each tick and returns the wanted
/// number of prefill engines.
outcome simulate(
    const load& arriving, unsigned prefill,
    const std::function<unsigned(unsigned prefill, const stage_demand& demand,
                                 mono_time)>& plan)
{
    outcome out;
    stage_demand backlog;
    /// End tick of each change in progress; positive when to prefill.
    std::vector<std::pair<int, int>> changing;
    double offered = 0;
    double served = 0;
    unsigned ready_prefill = prefill;
    unsigned ready_decode = engine_count - prefill;
    mono_time t(std::chrono::seconds(1));
    for (int i = 0; i < ticks; ++i, t += tick)
    {
        std::erase_if(changing,
                      [&](const auto& it)
                      {
                          if (it.first > i)
                              return false;
                          ++(it.second > 0 ? ready_prefill : ready_decode);
                          return true;
                      });
        const stage_demand a = arriving(i);
        // The work of both stages is summed, although a request needs both:
        // prefill without decode is of no use, nor the other way round.
        offered += a.prefill + a.decode;
        served += serve(backlog.prefill, a.prefill, ready_prefill) +
                  serve(backlog.decode, a.decode, ready_decode);
        const unsigned wanted = plan(prefill, a, t);
        const int missing = int(wanted) - int(prefill);
        for (int n = 0; n < std::abs(missing); ++n)
        {
            unsigned& from = missing > 0 ? ready_decode : ready_prefill;
            if (from <= 1)
                break;
            --from;
            prefill = unsigned(int(prefill) + (missing > 0 ? 1 : -1));
            changing.emplace_back(i + int(change_ticks), missing);
            ++out.changes;
        }
    }
    out.served = served / offered;
    return out;
}

outcome simulate_fixed(const load& arriving, unsigned prefill)
{
    return simulate(arriving, prefill,
                    [&](unsigned, const stage_demand&, mono_time)
                    { return prefill; });
}

outcome simulate_planned(const load& arriving)
{
    demand_meter meter;
    std::vector<staged_engine> engines;
    engines.reserve(engine_count);
    for (unsigned i = 0; i < engine_count; ++i)
        engines.push_back({std::to_string(i),
                           failure_domain_id(std::to_string(i % 3)),
                           placed_stage::decode, 0, slots});
    const stage_plan_settings settings;
    const auto first =
        unsigned(std::lround(settings.max_prefill_fraction * engine_count));
    return simulate(
        arriving, first,
        [&](unsigned prefill, const stage_demand& demand, mono_time t)
        {
            meter.add({demand.prefill * 0.5, demand.decode * 0.5}, t);
            for (unsigned i = 0; i < engine_count; ++i)
                engines[i].stage =
                    i < prefill ? placed_stage::prefill : placed_stage::decode;
            const stage_plan p =
                plan_stages(settings, engines, meter.value(t), false);
            return p.changes.empty() ? prefill : p.wanted_prefill;
        });
}

struct load_case
{
    const char* name;
    load arriving;
    unsigned max_changes;
    /// Lower limit of the served work, as a fraction of what the best fixed
    /// number of prefill engines serves.
    double min_fraction_of_best;
};

/// Alternates between mostly prefill and mostly decode, with a period of
/// `period_s` seconds.
load alternating(double period_s)
{
    return [period_s](int i)
    {
        const double s = 0.5 * i;
        const bool is_prefill_phase = std::fmod(s, period_s) < period_s / 2;
        return is_prefill_phase ? stage_demand{26, 4} : stage_demand{6, 24};
    };
}

class stage_loads : public testing::TestWithParam<load_case>
{
};

TEST_P(stage_loads, are_served_as_by_the_best_fixed_split)
{
    const load_case& c = GetParam();
    double best = 0;
    for (unsigned prefill = 1; prefill < engine_count; ++prefill)
        best = std::max(best, simulate_fixed(c.arriving, prefill).served);
    const outcome planned = simulate_planned(c.arriving);
    EXPECT_GE(planned.served, c.min_fraction_of_best * best);
    EXPECT_LE(planned.changes, c.max_changes);
}

INSTANTIATE_TEST_SUITE_P(
    loads, stage_loads,
    testing::Values(load_case{"prompts_only",
                              [](int) {
                                  return stage_demand{20, 1};
                              },
                              0, 0.98},
                    load_case{"even",
                              [](int) {
                                  return stage_demand{15, 15};
                              },
                              20, 0.95},
                    load_case{"noise_without_a_shift",
                              [](int i)
                              {
                                  const double x =
                                      std::sin(i * std::numbers::pi / 2.8);
                                  return stage_demand{16 + 8 * x, 5 + 2 * x};
                              },
                              0, 0.98},
                    load_case{"light_swing",
                              [](int i) {
                                  return i / 20 % 2 == 0 ? stage_demand{6, 1}
                                                         : stage_demand{1.5, 5};
                              },
                              0, 1.0},
                    load_case{"swings_within_20_s", alternating(20), 150, 0.95},
                    load_case{"swings_within_40_s", alternating(40), 150, 1.0}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::policy
