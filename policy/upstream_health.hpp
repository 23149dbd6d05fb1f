/// Health of an upstream as observed from its answers. Used by gateways; takes
/// no lock.
#pragma once

#include "base/time.hpp"

namespace poplar::policy
{

struct upstream_health_settings
{
    /// Weight of one answer in the moving average of failures.
    double sample_weight = 0.2;
    /// Seconds added to cost estimates when all requests fail; proportionally
    /// less when only a share of them fails.
    double penalty_seconds = 2;
    /// Backoff after a failed connection; doubles with each further failure, up
    /// to `max_backoff`.
    duration min_backoff{std::chrono::milliseconds(200)};
    duration max_backoff{std::chrono::seconds(2)};
};

/// Decides whether an upstream may receive new requests, and at which penalty.
///
/// An upstream that fails requests is used less but never excluded for good:
/// each answer updates the share of failures, and an unreachable upstream is
/// used again after a backoff. A pause or shutdown that the upstream announces
/// applies regardless of its other answers.
class upstream_health
{
public:
    explicit upstream_health(const upstream_health_settings& settings = {});

    /// Records a successful answer; ends the backoff.
    void record_success();
    /// Records the failure of a request that the upstream had accepted.
    void record_failure();
    /// Records that no connection could be established; starts a backoff.
    void record_unreachable(mono_time now);

    /// Records that the upstream requested a pause. The later end counts.
    void pause_until(mono_time until);
    /// Records that the upstream announced its shutdown, which is final.
    void mark_leaving();
    /// Records that a peer reported the upstream as draining or terminated. The
    /// report is valid until `until`.
    void mark_reported_leaving(mono_time until);

    /// False during a backoff or pause and for a leaving upstream.
    bool is_usable(mono_time now) const;
    /// False during a pause that the upstream requested, after it announced its
    /// shutdown, and while peers report that it leaves.
    bool accepts_requests(mono_time now) const;
    /// The later end of the backoff and the requested pause; meaningless for a
    /// leaving upstream.
    mono_time usable_at() const;
    bool is_leaving() const
    {
        return is_leaving_;
    }
    bool is_reported_leaving(mono_time now) const
    {
        return now < reported_leaving_until_;
    }
    /// Seconds to add to cost estimates for this upstream.
    double penalty_seconds() const;
    double failure_share() const
    {
        return failure_share_;
    }

private:
    upstream_health_settings settings_;
    double failure_share_ = 0;
    unsigned consecutive_unreachable_ = 0;
    mono_time unreachable_until_{};
    mono_time paused_until_{};
    mono_time reported_leaving_until_{};
    bool is_leaving_ = false;
};

} // namespace poplar::policy
