/// What follows from the end of one try at an upstream.
#pragma once

#include <string>

namespace poplar::gateway
{

enum class try_result
{
    answered,       ///< The upstream's answer is whole.
    answered_error, ///< Whole too; a 5xx of an upstream that ran the request.
    not_sent,       ///< Certainly not at the upstream.
    not_run,        ///< The upstream states that it did not run it.
    lost,           ///< May have run; there is no whole answer.
    stalled,        ///< May have run; given up while it was not worked on.
    timed_out       ///< May have run; the time is used up.
};

std::string to_string(try_result result);

enum class next_step
{
    deliver, ///< Pass the upstream's answer on.
    retry,   ///< Send it to another upstream.
    refuse,  ///< Answer that it has not run.
    fail     ///< Answer that it may have run.
};

struct try_history
{
    bool is_repeatable = false; ///< May run more than once.
    unsigned runs = 0;          ///< Tries that may have run, this one included.
    unsigned tries = 0;         ///< All, this one included.
    unsigned most_runs = 1;
    /// Calls that only read the prompt and were taken. The first does not count
    /// against the most runs, further ones do.
    unsigned readings = 0;
    bool has_time = true; ///< Another try could end before the deadline.
};

/// Whether another call may read the prompt before the request runs.
constexpr bool may_read_again(const try_history& h)
{
    return h.readings + h.runs + 1 <= h.most_runs;
}

/// Tries beyond which a request ends, whatever became of them.
inline constexpr unsigned most_tries = 4;

/// `budget` is asked only when a retry would use it. A request that may have
/// run is refused by no path.
template <class Budget>
next_step after_try(try_result result, const try_history& history,
                    Budget&& budget)
{
    const bool has_run_before =
        history.runs > 0 && result != try_result::answered;
    const next_step give_up =
        has_run_before ? next_step::fail : next_step::refuse;
    const bool may_try_again = history.tries < most_tries && history.has_time;
    const unsigned repeated_readings =
        history.readings > 0 ? history.readings - 1 : 0;
    const unsigned runs = history.runs + repeated_readings;
    const bool may_run_again =
        history.is_repeatable && runs < history.most_runs && may_try_again;
    switch (result)
    {
    case try_result::answered:
        return next_step::deliver;
    case try_result::answered_error:
        return may_run_again && budget() ? next_step::retry
                                         : next_step::deliver;
    case try_result::not_sent:
        return may_try_again ? next_step::retry : give_up;
    case try_result::not_run:
        return may_try_again && budget() ? next_step::retry : give_up;
    case try_result::lost:
    case try_result::stalled:
        return may_run_again && budget() ? next_step::retry : next_step::fail;
    case try_result::timed_out:
        return next_step::fail;
    }
    return next_step::fail;
}

} // namespace poplar::gateway
