/// Deficit round robin among tenants of one rank.
#pragma once

#include "policy/work.hpp"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <list>
#include <optional>
#include <set>
#include <utility>

namespace poplar::policy
{

struct queued_request
{
    request_id id;
    tenant_id tenant;
    double tenant_weight = 1;
    work expected;
    double cost = 0; ///< Engine seconds.
    mono_time arrived;
    mono_time first_token_deadline;
    mono_time dispatch_deadline; ///< Dispatched later, it misses its target.
};

/// Each turn adds quantum * weight engine seconds to a tenant's deficit; a
/// tenant's requests leave in order of arrival while the deficit pays.
class fair_queue
{
public:
    explicit fair_queue(double quantum_seconds = 0.05);

    void push(queued_request request);
    /// Request whose turn it is; null when empty. Stays until pop_front.
    const queued_request* front();
    queued_request pop_front();
    /// Removes a request anywhere in the queue.
    std::optional<queued_request> remove(const request_id& id);
    /// Request with the earliest start_by; null when empty.
    const queued_request* most_urgent() const;
    /// Newest request of the tenant with the most work for its weight; null
    /// when empty.
    const queued_request* newest_of_largest_backlog() const;
    /// Cost that leaves before a new request of this tenant would: all of its
    /// own, and of each other tenant at most what its weight grants meanwhile.
    double cost_ahead(const tenant_id& tenant, double weight,
                      double cost) const;

    double cost() const
    {
        return cost_;
    }
    std::size_t size() const
    {
        return queue_by_request_.size();
    }
    bool empty() const
    {
        return queue_by_request_.empty();
    }
    std::size_t tenants() const
    {
        return round_robin_.size();
    }

private:
    struct tenant_queue
    {
        tenant_id tenant;
        double weight = 1;
        double deficit = 0;
        bool quantum_added = false; ///< The quantum of this turn was added.
        double cost = 0;
        std::deque<queued_request> requests;
    };
    using queue_iterator = std::list<tenant_queue>::iterator;

    queued_request extract(queue_iterator queue, std::size_t index);
    std::size_t index_of(const tenant_queue& queue, const request_id& id) const;

    double quantum_;
    std::list<tenant_queue> round_robin_; ///< The front has the turn.
    absl::flat_hash_map<tenant_id, queue_iterator> queues_;
    absl::flat_hash_map<request_id, queue_iterator> queue_by_request_;
    std::set<std::pair<mono_time, request_id>> by_dispatch_deadline_;
    std::set<std::pair<double, tenant_id>> by_backlog_; ///< Cost by weight.
    double cost_ = 0;
    double total_weight_ = 0; ///< Of tenants with waiting requests.
};

} // namespace poplar::policy
