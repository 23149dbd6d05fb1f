/// Upper bound on goodput for a policy that knows the trace.
#pragma once

#include "replay/cluster.hpp"
#include "replay/trace.hpp"

namespace poplar::replay
{

/// Worth-weighted tokens that no policy can exceed (within 5% rounding
/// upwards). Relaxations: engines change role at once and for free and split
/// their time at will; every shared prefix is cached everywhere; streams always
/// run at the most efficient batch; a request may be served in parts, at any
/// time from its arrival until its targets for first token and all token
/// intervals have passed. What remains is engine time: requests compete, most
/// worth per engine second first, for the time of the engines that are up in
/// windows of 5 s; this greedy order with rerouting is optimal.
double oracle_worth_tokens(const trace& t, const engine_constants& c);

} // namespace poplar::replay
