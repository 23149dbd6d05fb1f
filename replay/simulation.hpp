/// Runs one trace under one policy in virtual time.
#pragma once

#include "policy/role_planner.hpp"
#include "replay/cluster.hpp"
#include "replay/entry_model.hpp"
#include "replay/results.hpp"

#include <ostream>
#include <string>
#include <vector>

namespace poplar::replay
{

enum class role_kind
{
    planner,  ///< role_planner of `policy`.
    fixed,    ///< The roles of the start.
    threshold ///< Scales by thresholds of use, one engine at a time.
};

struct policy_choice
{
    std::string name;
    entry_kind entry = entry_kind::poplar;
    role_kind roles = role_kind::planner;
    unsigned prefill_engines = 6; ///< At the start.
    bool is_baseline = true;
};

/// The policies of `policy` first, then the baselines.
const std::vector<policy_choice>& all_policies();

/// Same arguments, same result. Writes a line for each 5 s of the trace to
/// `timeline`, if given: time, engines by role and away, stream slots in use,
/// prompt backlog in seconds, queue length, refusals by cause, role plan.
figures run(const trace& t, const policy_choice& choice,
            std::ostream* timeline = nullptr);

} // namespace poplar::replay
