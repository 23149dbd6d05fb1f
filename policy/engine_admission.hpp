/// Refuses requests whose first event would come too late to be useful. The
/// first event is the first one of the streamed answer.
///
/// Used by gateways, for services whose engines have stages. Entries use
/// admission.hpp instead.
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
    /// admitted. If it is late, then because of the prefill of its own prompt,
    /// which would take as long after a retry.
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
    /// Time after which the caller should retry: the time by which the request
    /// would exceed its limit, but at most a fraction of its remaining time.
    duration retry_after{};
};

/// Admits a request that is expected in time or that waits only briefly.
engine_admission_decision admit(const engine_admission_limits& limits,
                                const engine_admission_request& request);

} // namespace poplar::policy
