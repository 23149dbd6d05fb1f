/// Health of an upstream as its answers show it.
#pragma once

#include "base/time.hpp"

namespace poplar::policy
{

struct upstream_health_settings
{
    /// Weight of one answer in the share of failures.
    double sample_weight = 0.2;
    /// Seconds added to an estimate at a share of failures of one.
    double penalty_seconds = 2;
    /// Pause after a connection failed; doubles with each further failure.
    duration min_backoff{std::chrono::milliseconds(200)};
    duration max_backoff{std::chrono::seconds(2)};
};

/// Whether an upstream may be sent new requests, and how good it is.
///
/// An upstream that fails requests is used less, never given up: each answer
/// counts, and after a pause one that was unreachable is tried again. Pauses
/// that the upstream asks for, and its leaving, hold whatever else it answers.
class upstream_health
{
public:
    explicit upstream_health(const upstream_health_settings& settings = {});

    void record_success();
    /// A request failed that the upstream had taken.
    void record_failure();
    /// No connection could be made.
    void record_unreachable(mono_time now);

    /// The upstream asked for no requests until then.
    void pause_until(mono_time until);
    /// The upstream said that it will end; it never takes that back.
    void mark_leaving();
    /// Others know until then that the upstream drains or has ended.
    void mark_reported_leaving(mono_time until);

    /// False during a pause and for an upstream that leaves.
    bool is_usable(mono_time now) const;
    /// False for what the upstream itself has asked for, and while others
    /// report that it leaves.
    bool accepts_requests(mono_time now) const;
    /// End of its pauses; of no meaning for one that leaves.
    mono_time usable_at() const;
    bool is_leaving() const
    {
        return is_leaving_;
    }
    bool is_reported_leaving(mono_time now) const
    {
        return now < reported_leaving_until_;
    }
    /// To add to estimates of the time it takes.
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
