/// What follows from the end of one try at an upstream.
#pragma once

#include <string>

namespace poplar::gateway
{

enum class attempt_result
{
    answered,       ///< The upstream's answer is whole.
    answered_error, ///< Whole too; a 5xx of an upstream that ran the request.
    not_sent,       ///< Certainly not at the upstream.
    not_run,        ///< The upstream states that it did not run it.
    lost,           ///< May have run; there is no whole answer.
    stalled,        ///< May have run; given up while it was not worked on.
    timed_out       ///< May have run; the time is used up.
};

std::string to_string(attempt_result result);

enum class next_step
{
    deliver, ///< Pass the upstream's answer on.
    retry,   ///< Send it to another upstream.
    refuse,  ///< Answer that it has not run.
    fail     ///< Answer that it may have run.
};

struct attempt_history
{
    bool is_repeatable = false; ///< May run more than once.
    unsigned executions = 0;    ///< Tries that may have run, this one included.
    unsigned attempts = 0;      ///< All, this one included.
    unsigned max_executions = 1;
    /// Calls that only read the prompt and were taken. The first does not count
    /// against the most runs, further ones do.
    unsigned prefill_calls = 0;
    bool has_time = true; ///< Another try could end before the deadline.
};

/// Whether another call may read the prompt before the request runs.
constexpr bool may_prefill_again(const attempt_history& h)
{
    return h.prefill_calls + h.executions + 1 <= h.max_executions;
}

/// Tries beyond which a request ends, whatever became of them.
inline constexpr unsigned max_total_attempts = 4;

/// `budget` is asked only when a retry would use it. A request that may have
/// run is refused by no path.
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
