#include "policy/upstream_health.hpp"

#include <algorithm>

namespace poplar::policy
{

namespace
{

/// Keeps the shift below the width of the type.
constexpr unsigned max_doublings = 16;

} // namespace

upstream_health::upstream_health(const upstream_health_settings& settings)
    : settings_(settings)
{
}

void upstream_health::succeeded()
{
    failure_share_ -= settings_.answer_weight * failure_share_;
    unreachable_ = 0;
    unreachable_until_ = {};
}

void upstream_health::failed()
{
    failure_share_ += settings_.answer_weight * (1 - failure_share_);
}

void upstream_health::unreachable(mono_time now)
{
    const unsigned doublings = std::min(unreachable_, max_doublings);
    ++unreachable_;
    unreachable_until_ = now + std::min(settings_.shortest_pause *
                                            (std::int64_t(1) << doublings),
                                        settings_.longest_pause);
}

void upstream_health::asked_to_pause(mono_time until)
{
    asked_until_ = std::max(asked_until_, until);
}

void upstream_health::leaves()
{
    is_leaving_ = true;
}

void upstream_health::reported_leaving(mono_time until)
{
    reported_leaving_until_ = std::max(reported_leaving_until_, until);
}

bool upstream_health::is_usable(mono_time now) const
{
    return accepts_requests(now) && now >= unreachable_until_;
}

bool upstream_health::accepts_requests(mono_time now) const
{
    return !is_leaving_ && now >= asked_until_ && !is_reported_leaving(now);
}

mono_time upstream_health::usable_at() const
{
    return std::max(unreachable_until_, asked_until_);
}

double upstream_health::penalty_seconds() const
{
    return failure_share_ * settings_.penalty_seconds;
}

} // namespace poplar::policy
