#include "policy/upstream_health.hpp"

#include <algorithm>

namespace poplar::policy
{

namespace
{

/// Upper limit of the shift that doubles the backoff, to prevent overflow.
constexpr unsigned max_doublings = 16;

} // namespace

upstream_health::upstream_health(const upstream_health_settings& settings)
    : settings_(settings)
{
}

void upstream_health::record_success()
{
    failure_share_ -= settings_.sample_weight * failure_share_;
    consecutive_unreachable_ = 0;
    unreachable_until_ = {};
}

void upstream_health::record_failure()
{
    failure_share_ += settings_.sample_weight * (1 - failure_share_);
}

void upstream_health::record_unreachable(mono_time now)
{
    const unsigned doublings =
        std::min(consecutive_unreachable_, max_doublings);
    ++consecutive_unreachable_;
    unreachable_until_ =
        now + std::min(settings_.min_backoff * (std::int64_t(1) << doublings),
                       settings_.max_backoff);
}

void upstream_health::pause_until(mono_time until)
{
    paused_until_ = std::max(paused_until_, until);
}

void upstream_health::mark_leaving()
{
    is_leaving_ = true;
}

void upstream_health::mark_reported_leaving(mono_time until)
{
    reported_leaving_until_ = std::max(reported_leaving_until_, until);
}

bool upstream_health::is_usable(mono_time now) const
{
    return accepts_requests(now) && now >= unreachable_until_;
}

bool upstream_health::accepts_requests(mono_time now) const
{
    return !is_leaving_ && now >= paused_until_ && !is_reported_leaving(now);
}

mono_time upstream_health::usable_at() const
{
    return std::max(unreachable_until_, paused_until_);
}

double upstream_health::penalty_seconds() const
{
    return failure_share_ * settings_.penalty_seconds;
}

} // namespace poplar::policy
