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
class retry_promises
{
public:
    /// Returns the first time from `earliest` at which `cost` engine seconds
    /// fit beside the work booked so far at `rate` engine seconds per second.
    mono_time book(const tenant_id& tenant, mono_time earliest, double cost,
                   double rate);
    /// Takes the tenant's oldest promise that is due; false when there is none.
    bool take(const tenant_id& tenant, mono_time now);
    /// Engine seconds booked for callers who are due by `time`.
    double cost_due(mono_time time) const;
    /// Forgets what has lapsed, a bounded amount in each call.
    void drop_lapsed(mono_time now);

private:
    using second = std::int64_t;

    /// Engine seconds by time due.
    using line = std::multimap<mono_time, double>;

    void unbook(mono_time due, double cost);

    std::map<second, double> booked_; ///< Engine seconds by second.
    absl::flat_hash_map<tenant_id, line> lines_;
    std::deque<tenant_id> check_order_; ///< Each tenant of lines_ once.
};

} // namespace poplar::policy
