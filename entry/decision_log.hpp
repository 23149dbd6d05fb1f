/// Bounded log of decisions about requests and instances, for GET /explain and
/// for the analysis of incidents.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <absl/synchronization/mutex.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace poplar::entry
{

enum class decision_kind
{
    admitted,
    queued,
    refused,
    dispatched,
    attached,
    resumed,
    retried,
    upstream_lost,
    handed_back,
    prefill_failed,
    caller_gone,
    ended,
    failed,
    instance_connected,
    instance_lost,
    instance_unreachable,
    instance_usable,
    instance_unusable,
    sheet_in_force,
    assignments_seen,
    control ///< Ownership of a group or planning of its roles.
};

std::string to_string(decision_kind kind);

/// One entry of the log.
struct decision
{
    std::int64_t at = 0; ///< Milliseconds since 1970, UTC.
    decision_kind kind = decision_kind::admitted;
    std::optional<request_id> request;
    instance_id instance; ///< Empty if no instance is involved.
    std::string detail;   ///< Measured values and the reason.
};

/// Ring buffer of the latest decisions. Thread-safe; no other lock is acquired
/// while its lock is held.
class decision_log
{
public:
    explicit decision_log(std::size_t capacity);

    /// Adds a decision; overwrites the oldest one when the log is full.
    void add(decision_kind kind, std::optional<request_id> request,
             instance_id instance, std::string detail);

    /// Return the decisions about a request or an instance, oldest first.
    std::vector<decision> about(const request_id& request) const;
    std::vector<decision> about(const instance_id& instance) const;

private:
    std::vector<decision>
    select(const std::function<bool(const decision&)>& wanted) const;

    const std::size_t capacity_;
    mutable absl::Mutex mutex_;
    std::vector<decision> ring_ ABSL_GUARDED_BY(mutex_);
    std::size_t next_ ABSL_GUARDED_BY(mutex_) = 0; ///< Next index to write.
};

/// Returns {"decisions":[{"time_ms","kind","request","instance","detail"}]};
/// `request` and `instance` are omitted when empty.
std::string to_json(const std::vector<decision>& decisions);

} // namespace poplar::entry
