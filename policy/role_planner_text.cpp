// Text form of role plans for the decision record.
#include "policy/role_planner.hpp"

#include <iomanip>
#include <sstream>

namespace poplar::policy
{

namespace
{

const char* role_text(sheet::engine_role role)
{
    switch (role)
    {
    case sheet::engine_role::prefill:
        return "prefill";
    case sheet::engine_role::decode:
        return "decode";
    case sheet::engine_role::mixed:
        return "mixed";
    default:
        return "unassigned";
    }
}

} // namespace

std::string to_string(role_reason reason)
{
    switch (reason)
    {
    case role_reason::first_assignment:
        return "first_assignment";
    case role_reason::fixed_by_sheet:
        return "fixed_by_sheet";
    case role_reason::prompt_shortage:
        return "prompt_shortage";
    case role_reason::stream_shortage:
        return "stream_shortage";
    }
    return "";
}

std::string to_string(hold_reason reason)
{
    switch (reason)
    {
    case hold_reason::none:
        return "none";
    case hold_reason::balanced:
        return "balanced";
    case hold_reason::gain_too_small:
        return "gain_too_small";
    case hold_reason::not_confirmed:
        return "not_confirmed";
    case hold_reason::change_limit:
        return "change_limit";
    case hold_reason::resting:
        return "resting";
    case hold_reason::last_of_role:
        return "last_of_role";
    case hold_reason::no_engine:
        return "no_engine";
    }
    return "";
}

std::string to_string(const role_plan& plan)
{
    const plan_figures& f = plan.figures;
    std::ostringstream out;
    out << std::fixed << std::setprecision(2);
    for (const role_change& c : plan.changes)
        out << c.instance << " " << role_text(c.from) << "->" << role_text(c.to)
            << " (" << to_string(c.reason) << "); ";
    if (plan.hold != hold_reason::none)
        out << "hold " << to_string(plan.hold) << "; ";
    out << "prefill " << f.prefill_engines << " wanted " << f.wanted_prefill
        << " streams " << f.stream_engines << " changing " << f.changing
        << " away " << f.unavailable << "; prompt "
        << f.prompt_tokens_per_second << "/s output "
        << f.output_tokens_per_second << "/s; served " << f.served_now << " -> "
        << f.served_after << "; gain " << f.gain_engine_seconds << " cost "
        << f.cost_engine_seconds << " engine seconds; mix life "
        << seconds(f.mix_lifetime) << " s";
    return out.str();
}

} // namespace poplar::policy
