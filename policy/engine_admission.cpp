#include "policy/engine_admission.hpp"

#include <algorithm>

namespace poplar::policy
{

namespace
{

/// Longest retry delay, as a fraction of the remaining time of the caller. A
/// caller that is given a longer delay does not retry.
constexpr double max_retry_after_fraction = 0.3;
constexpr duration min_retry_after = std::chrono::milliseconds(100);

duration scaled(duration d, double factor)
{
    return duration(std::int64_t(double(d.count()) * factor));
}

} // namespace

engine_admission_decision admit(const engine_admission_limits& limits,
                                const engine_admission_request& request)
{
    const duration patience =
        std::min(request.patience, request.elapsed + request.remaining_time);
    const duration limit =
        std::min(scaled(request.target, limits.target_factor),
                 scaled(patience, limits.patience_factor));
    const duration total = request.elapsed + request.expected;
    const duration always_admitted_wait =
        scaled(request.target, limits.always_admitted_wait_factor);
    if (total <= limit || request.wait <= always_admitted_wait)
        return {};
    const duration retry_after =
        std::clamp(total - limit, min_retry_after,
                   std::max(min_retry_after, scaled(request.remaining_time,
                                                    max_retry_after_fraction)));
    return {false, retry_after};
}

} // namespace poplar::policy
