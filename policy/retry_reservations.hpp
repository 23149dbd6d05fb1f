/// Times promised to refused callers of one rank.
#pragma once

#include "policy/work.hpp"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <deque>
#include <map>

namespace poplar::policy
{

/// Books each refusal's work into the first second that has room for it, so
/// that callers who retry as told do not meet each other. The tenant's next
/// request after its time takes the promise. Promises that nobody takes lapse.
class retry_reservations
{
public:
    /// Returns the first time from `earliest` at which `cost` engine seconds
    /// fit beside the work booked so far at `rate` engine seconds per second.
    mono_time reserve(const tenant_id& tenant, mono_time earliest, double cost,
                      double rate);
    /// Takes the tenant's oldest promise that is due; false when there is none.
    bool claim(const tenant_id& tenant, mono_time now);
    /// Engine seconds booked for callers who are due by `time`.
    double reserved_cost(mono_time time) const;
    /// Forgets what has lapsed, a bounded amount in each call.
    void drop_expired(mono_time now);

private:
    using second = std::int64_t;

    /// Engine seconds by time due.
    using cost_by_time = std::multimap<mono_time, double>;

    void release(mono_time due, double cost);

    std::map<second, double> cost_by_second_; ///< Engine seconds by second.
    absl::flat_hash_map<tenant_id, cost_by_time> reservations_;
    std::deque<tenant_id> expiry_check_order_; ///< Each tenant of lines_ once.
};

} // namespace poplar::policy
