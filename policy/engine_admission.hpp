/// Refuses requests whose first event would come too late to be useful.
///
/// It protects against overload of the prefill capacity. Without it, all
/// requests of a rank wait equally long and all are late. With it, admitted
/// requests are in time and the others are refused at once.
#pragma once

#include "base/time.hpp"

namespace poplar::policy
{

struct engine_admission_limits
{
    /// Longest total time to the first event, as a multiple of its target.
    double target_factor = 2.5;
    /// Longest total time to the first event, as a fraction of the time after
    /// which the caller gives up.
    double patience_factor = 0.75;
    /// A request whose wait is at most this fraction of its target is always
    /// admitted: the prefill of a long prompt takes as long at any other time.
    double always_admitted_wait_factor = 0.3;
};

/// Times of one request that admission depends on.
struct engine_admission_request
{
    duration expected;       ///< Time from now to the first event.
    duration wait;           ///< The part of `expected` before prefill starts.
    duration elapsed;        ///< Time since the gateway received the request.
    duration target;         ///< Target of the time to the first event.
    duration patience;       ///< Time after which the caller gives up.
    duration remaining_time; ///< Time from now to the caller's deadline.
};

/// Result of admission.
struct engine_admission_decision
{
    bool is_admitted = true;
    /// Time after which the engines are expected to have capacity.
    duration retry_after{};
};

/// Admits a request that is expected in time or that waits only briefly.
engine_admission_decision admit(const engine_admission_limits& limits,
                                const engine_admission_request& request);

} // namespace poplar::policy
