// Plays loads on engines that change their stage by the plan, without a
// network. Guards against plans that follow the delay of requests in place of
// demand, which took engines away while prompts pressed, and against plans that
// do not follow a mix that shifts.
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
constexpr unsigned ticks_away = 6; ///< A change takes an engine for 3 s.
/// Callers give up work that has waited for longer.
constexpr double patience_ticks = 4;

/// Work that arrives in a tick, in engines that it keeps busy.
using load = std::function<stage_demand(int)>;

struct outcome
{
    double served = 0; ///< Part of the work that was done in time.
    unsigned changes = 0;
};

/// What has waited too long at one stage goes; returns what is done.
double work_off(double& waiting, double arriving, double engines)
{
    waiting += arriving;
    const double done = std::min(waiting, engines);
    waiting = std::min(waiting - done, patience_ticks * engines);
    return done;
}

/// `plan` is called in each tick; it returns the wanted prefill engines.
outcome
play(const load& arriving, unsigned prefill,
     const std::function<unsigned(unsigned prefill, const stage_demand& seen,
                                  mono_time)>& plan)
{
    outcome out;
    stage_demand waiting;
    std::vector<std::pair<int, int>> away; // end tick, to prefill (+1) or not
    double asked = 0;
    double done = 0;
    unsigned ready_prefill = prefill;
    unsigned ready_decode = engine_count - prefill;
    mono_time t(std::chrono::seconds(1));
    for (int i = 0; i < ticks; ++i, t += tick)
    {
        std::erase_if(away,
                      [&](const auto& it)
                      {
                          if (it.first > i)
                              return false;
                          ++(it.second > 0 ? ready_prefill : ready_decode);
                          return true;
                      });
        const stage_demand a = arriving(i);
        // A prompt that was read and not run is of no use, nor the other way
        // round: the slower stage counts.
        asked += a.prefill + a.decode;
        done += work_off(waiting.prefill, a.prefill, ready_prefill) +
                work_off(waiting.decode, a.decode, ready_decode);
        const unsigned wanted = plan(prefill, a, t);
        const int missing = int(wanted) - int(prefill);
        for (int n = 0; n < std::abs(missing); ++n)
        {
            unsigned& from = missing > 0 ? ready_decode : ready_prefill;
            if (from <= 1)
                break;
            --from;
            prefill = unsigned(int(prefill) + (missing > 0 ? 1 : -1));
            away.emplace_back(i + int(ticks_away), missing);
            ++out.changes;
        }
    }
    out.served = done / asked;
    return out;
}

outcome play_fixed(const load& arriving, unsigned prefill)
{
    return play(arriving, prefill,
                [&](unsigned, const stage_demand&, mono_time)
                { return prefill; });
}

outcome play_planned(const load& arriving)
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
    return play(arriving, first,
                [&](unsigned prefill, const stage_demand& seen, mono_time t)
                {
                    meter.add({seen.prefill * 0.5, seen.decode * 0.5}, t);
                    for (unsigned i = 0; i < engine_count; ++i)
                        engines[i].stage = i < prefill ? placed_stage::prefill
                                                       : placed_stage::decode;
                    const stage_plan p =
                        plan_stages(settings, engines, meter.value(t), false);
                    return p.changes.empty() ? prefill : p.wanted_prefill;
                });
}

struct load_case
{
    const char* name;
    load arriving;
    unsigned most_changes;
    /// Of what the best fixed split serves that is known in hindsight.
    double least_of_best;
};

/// Swings between reading and running, `period_s` for both.
load swinging(double period_s)
{
    return [period_s](int i)
    {
        const double s = 0.5 * i;
        const bool reads = std::fmod(s, period_s) < period_s / 2;
        return reads ? stage_demand{26, 4} : stage_demand{6, 24};
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
        best = std::max(best, play_fixed(c.arriving, prefill).served);
    const outcome planned = play_planned(c.arriving);
    EXPECT_GE(planned.served, c.least_of_best * best);
    EXPECT_LE(planned.changes, c.most_changes);
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
                    load_case{"swings_within_20_s", swinging(20), 150, 0.95},
                    load_case{"swings_within_40_s", swinging(40), 150, 1.0}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::policy
