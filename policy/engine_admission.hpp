/// Refuses requests to engines that could not be answered in useful time.
///
/// Answers to load beyond what the engines read: without it each request of a
/// rank waits as long as the others and all come late; with it those that are
/// admitted come in time, and the others know at once.
#pragma once

#include "base/time.hpp"

namespace poplar::policy
{

struct engine_admission_limits
{
    /// The expected time to the first event may be this much of the target.
    double target_factor = 2.5;
    /// And this much of the time after which the caller gives up.
    double patience_factor = 0.75;
    /// A request that waits for less than this part of its target is admitted:
    /// a long prompt takes its time whenever it is read.
    double always_admitted_wait_factor = 0.3;
};

struct engine_admission_request
{
    duration expected;       ///< Until the first event, from now.
    duration wait;           ///< Part of it before the engine begins.
    duration elapsed;        ///< Since the caller sent the request.
    duration target;         ///< Of the first event.
    duration patience;       ///< After which the caller is gone.
    duration remaining_time; ///< Until the caller's deadline, from now.
};

struct engine_admission_decision
{
    bool is_admitted = true;
    /// When the engines are expected to have room.
    duration retry_after{};
};

engine_admission_decision admit(const engine_admission_limits& limits,
                                const engine_admission_request& request);

} // namespace poplar::policy
