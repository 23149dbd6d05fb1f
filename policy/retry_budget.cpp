#include "policy/retry_budget.hpp"

#include <algorithm>

namespace poplar::policy
{

retry_budget::retry_budget(const retry_budget_settings& settings)
    : settings_(settings), available_(settings.initial)
{
}

void retry_budget::configure(const retry_budget_settings& settings)
{
    settings_ = settings;
    available_ = std::min(available_, settings_.capacity);
}

void retry_budget::record_first_attempt()
{
    available_ =
        std::min(settings_.capacity, available_ + settings_.per_first_attempt);
}

bool retry_budget::try_retry()
{
    if (available_ < 1)
        return false;
    available_ -= 1;
    return true;
}

bool should_hedge(const hedge_rule_settings& settings, bool idempotent,
                  duration elapsed, duration typical_tail_latency,
                  retry_budget& budget)
{
    if (!idempotent)
        return false;
    const duration typical =
        from_seconds(seconds(typical_tail_latency) * settings.latency_factor);
    if (elapsed < std::max(settings.min_wait, typical))
        return false;
    return budget.try_retry();
}

} // namespace poplar::policy
