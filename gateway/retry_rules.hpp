/// Decides what happens after an attempt at an upstream has ended.
#pragma once

#include <string>

namespace poplar::gateway
{

/// How an attempt at an upstream ended.
enum class attempt_result
{
    answered,       ///< The upstream's answer is complete.
    answered_error, ///< Complete 5xx answer to an executed request.
    not_sent,       ///< Certainly did not reach the upstream.
    not_run,        ///< The upstream states that it did not execute it.
    lost,           ///< May have executed; no complete answer arrived.
    stalled,        ///< May have executed; given up for lack of progress.
    timed_out       ///< May have executed; the deadline has passed.
};

std::string to_string(attempt_result result);

/// What the gateway does after an attempt.
enum class next_step
{
    deliver, ///< Pass the upstream's answer on.
    retry,   ///< Send the request to another upstream.
    refuse,  ///< Tell the caller that the request was not executed.
    fail     ///< Tell the caller that the request may have executed.
};

/// Attempts of a request so far, and what its route allows.
struct attempt_history
{
    bool is_repeatable = false;  ///< May execute more than once.
    unsigned executions = 0;     ///< Attempts that may have executed.
    unsigned attempts = 0;       ///< All attempts.
    unsigned max_executions = 1; ///< Limit set by the route.
    /// Prefill-only calls that an engine accepted. The first does not count
    /// against `max_executions`, further ones do.
    unsigned prefill_calls = 0;
    bool has_time = true; ///< Another attempt could end before the deadline.
};

/// Whether another prefill call is allowed before the request executes.
constexpr bool may_prefill_again(const attempt_history& h)
{
    return h.prefill_calls + h.executions + 1 <= h.max_executions;
}

/// Limit on the attempts of a request, whatever their results.
inline constexpr unsigned max_total_attempts = 4;

/// Returns the next step after an attempt; `history` includes that attempt.
/// `budget` is called only when a retry would consume retry budget. A request
/// that may have executed is never answered with a refusal.
template <class Budget>
next_step decide_next_step(attempt_result result,
                           const attempt_history& history, Budget&& budget)
{
    const bool executed_before =
        history.executions > 0 && result != attempt_result::answered;
    const next_step give_up =
        executed_before ? next_step::fail : next_step::refuse;
    const bool may_retry =
        history.attempts < max_total_attempts && history.has_time;
    const unsigned repeated_prefills =
        history.prefill_calls > 0 ? history.prefill_calls - 1 : 0;
    const unsigned counted_executions = history.executions + repeated_prefills;
    const bool may_execute_again =
        history.is_repeatable && counted_executions < history.max_executions &&
        may_retry;
    switch (result)
    {
    case attempt_result::answered:
        return next_step::deliver;
    case attempt_result::answered_error:
        return may_execute_again && budget() ? next_step::retry
                                             : next_step::deliver;
    case attempt_result::not_sent:
        return may_retry ? next_step::retry : give_up;
    case attempt_result::not_run:
        return may_retry && budget() ? next_step::retry : give_up;
    case attempt_result::lost:
    case attempt_result::stalled:
        return may_execute_again && budget() ? next_step::retry
                                             : next_step::fail;
    case attempt_result::timed_out:
        return next_step::fail;
    }
    return next_step::fail;
}

} // namespace poplar::gateway
