/// Capacity reserved for the retries of refused requests of one rank. Used by
/// admission; takes no lock.
#pragma once

#include "policy/work.hpp"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <deque>
#include <map>

namespace poplar::policy
{

/// Reserves capacity for each refused request in the first second that has
/// enough left, so that callers who retry at the given time do not compete with
/// each other. The tenant's next request that arrives when a reservation is due
/// claims it. Unclaimed reservations expire.
class retry_reservations
{
public:
    /// Reserves `cost` engine seconds and returns the time for the retry: the
    /// first time from `earliest` at which the cost fits beside the existing
    /// reservations, given `rate` engine seconds per second. A cost above
    /// `rate` takes a second without reservations. The search ends after 600
    /// seconds; that second may be overbooked.
    mono_time reserve(const tenant_id& tenant, mono_time earliest, double cost,
                      double rate);
    /// Claims the tenant's oldest reservation that is due. Returns false if
    /// there is none.
    bool claim(const tenant_id& tenant, mono_time now);
    /// Returns the engine seconds reserved for retries due by `time`.
    double reserved_cost(mono_time time) const;
    /// Removes expired reservations; a call checks only one tenant, so that its
    /// cost is bounded.
    void drop_expired(mono_time now);

private:
    using second = std::int64_t;

    /// Engine seconds by the time at which the retry is due.
    using cost_by_time = std::multimap<mono_time, double>;

    void release(mono_time due, double cost);

    std::map<second, double> cost_by_second_; ///< Engine seconds by due second.
    absl::flat_hash_map<tenant_id, cost_by_time> reservations_;
    /// Each tenant of `reservations_` once, in the order of expiry checks.
    std::deque<tenant_id> expiry_check_order_;
};

} // namespace poplar::policy
