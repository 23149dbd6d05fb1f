#include "entry/admission_answers.hpp"

namespace poplar::entry
{

namespace
{

/// Priority boost for requests within their rank's guaranteed share. It places
/// them above all others at the engine, whatever priorities the sheet gives.
constexpr int guaranteed_boost = 1000;

std::string to_text(policy::refusal_cause cause)
{
    switch (cause)
    {
    case policy::refusal_cause::none:
        return "none";
    case policy::refusal_cause::no_capacity:
        return "no engine of the group takes work";
    case policy::refusal_cause::too_long:
        return "the prompt alone takes longer than the target";
    case policy::refusal_cause::prompt_backlog:
        return "the prompt would be computed too late";
    case policy::refusal_cause::stream_backlog:
        return "no stream slot becomes free in time";
    case policy::refusal_cause::target_passed:
        return "its target passed while it was queued";
    }
    return "none";
}

dispatch_verdict to_verdict(policy::admission_verdict v)
{
    switch (v)
    {
    case policy::admission_verdict::dispatch:
        return dispatch_verdict::dispatch;
    case policy::admission_verdict::queued:
        return dispatch_verdict::queued;
    case policy::admission_verdict::refused:
        return dispatch_verdict::refused;
    }
    return dispatch_verdict::refused;
}

std::string explain_decision(const policy::admission_request& r,
                             const policy::admission_decision& d)
{
    return "prompt " + std::to_string(r.expected.prompt.value) +
           " expected output " + std::to_string(r.expected.output.value) +
           " tokens; wait " + std::to_string(to_milliseconds(d.expected_wait)) +
           " ms; " + to_text(d.cause);
}

} // namespace

admission_answer to_answer(const policy::admission_request& r,
                           const policy::admission_decision& d)
{
    admission_answer a;
    a.id = r.id;
    a.verdict = to_verdict(d.verdict);
    a.retry_after = d.retry_after;
    a.explanation = explain_decision(r, d);
    a.priority_boost = d.guaranteed ? guaranteed_boost : 0;
    a.split = d.split;
    a.expected_output = r.expected.output;
    return a;
}

} // namespace poplar::entry
