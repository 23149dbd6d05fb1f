/// Parts of simulated loads on engines that change their stage.
#pragma once

#include "policy/stage_plan.hpp"

#include <algorithm>
#include <functional>

namespace poplar::policy
{

inline constexpr unsigned slots = 12;
inline constexpr duration tick = std::chrono::milliseconds(500);
/// An engine is unavailable for 3 s.
inline constexpr unsigned change_ticks = 6;
/// Longest wait in ticks before callers give up.
inline constexpr double patience_ticks = 4;

/// Demand that arrives in a tick, in number of engines that it keeps busy.
using load = std::function<stage_demand(int)>;

/// Serves the backlog of one stage for a tick and drops what has waited too
/// long. Returns the work done.
inline double serve(double& backlog, double arriving, double engines)
{
    backlog += arriving;
    const double served = std::min(backlog, engines);
    backlog = std::min(backlog - served, patience_ticks * engines);
    return served;
}

} // namespace poplar::policy
