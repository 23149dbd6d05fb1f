/// Bounded record of decisions about requests and instances, for
/// GET /explain and for review after an incident.
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
    control ///< Ownership of a group, planning of roles.
};

std::string to_string(decision_kind kind);

struct decision
{
    std::int64_t at = 0; ///< Milliseconds since 1970, UTC.
    decision_kind kind = decision_kind::admitted;
    std::optional<request_id> request;
    instance_id instance; ///< Empty when none is concerned.
    std::string detail;   ///< Figures and reason.
};

/// Members may be called from any thread; the lock is a leaf.
class decision_log
{
public:
    explicit decision_log(std::size_t capacity);

    void add(decision_kind kind, std::optional<request_id> request,
             instance_id instance, std::string detail);

    /// Oldest first.
    std::vector<decision> about(const request_id& request) const;
    std::vector<decision> about(const instance_id& instance) const;

private:
    std::vector<decision>
    select(const std::function<bool(const decision&)>& wanted) const;

    const std::size_t capacity_;
    mutable absl::Mutex mutex_;
    std::vector<decision> ring_ ABSL_GUARDED_BY(mutex_);
    std::size_t next_ ABSL_GUARDED_BY(mutex_) = 0; ///< Slot written next.
};

/// {"decisions":[{"time","kind","request","instance","detail"}]}
std::string to_json(const std::vector<decision>& decisions);

} // namespace poplar::entry
