/// Deficit round-robin queue that shares a rank among its tenants. Used by
/// admission; cost is measured in engine seconds. Takes no lock.
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

/// A request that waits for dispatch.
struct queued_request
{
    request_id id;
    tenant_id tenant;
    double tenant_weight = 1;
    work expected;
    double cost = 0; ///< Expected work in engine seconds.
    mono_time arrived;
    mono_time first_token_deadline;
    mono_time dispatch_deadline; ///< A later dispatch misses the target.
};

/// Each turn of a tenant adds quantum * weight engine seconds to its deficit
/// counter. Its requests are dequeued in order of arrival while the counter
/// covers their cost; a tenant that is alone in the queue doesn't need that.
class fair_queue
{
public:
    explicit fair_queue(double quantum_seconds = 0.05);

    void push(queued_request request);
    /// Returns the next request without removing it, or null if the queue is
    /// empty. May advance the round-robin position.
    const queued_request* front();
    /// Removes and returns the next request. The queue must not be empty.
    queued_request pop_front();
    /// Removes a request at any position; returns none if it isn't queued.
    std::optional<queued_request> remove(const request_id& id);
    /// Returns the request with the earliest dispatch_deadline, or null if the
    /// queue is empty.
    const queued_request* most_urgent() const;
    /// Returns the newest request of the tenant with the highest queued cost
    /// divided by weight, or null if the queue is empty.
    const queued_request* newest_of_largest_backlog() const;
    /// Returns the cost in engine seconds that is dequeued before a new request
    /// of this tenant would be: all of the tenant's own queued cost, and from
    /// the other tenants at most what their weights grant in the meantime.
    double cost_ahead(const tenant_id& tenant, double weight,
                      double cost) const;

    /// Returns the cost of all queued requests, in engine seconds.
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
    /// Returns the number of tenants with queued requests.
    std::size_t tenants() const
    {
        return round_robin_.size();
    }

private:
    /// Queued requests of one tenant, in order of arrival.
    struct tenant_queue
    {
        tenant_id tenant;
        double weight = 1;
        double deficit = 0; ///< Engine seconds granted and not used yet.
        bool quantum_added = false; ///< Whether this turn's quantum was added.
        double cost = 0; ///< Sum of the queued requests, in engine seconds.
        std::deque<queued_request> requests;
    };
    using queue_iterator = std::list<tenant_queue>::iterator;

    queued_request extract(queue_iterator queue, std::size_t index);
    std::size_t index_of(const tenant_queue& queue, const request_id& id) const;

    double quantum_;
    std::list<tenant_queue> round_robin_; ///< Front: tenant whose turn it is.
    absl::flat_hash_map<tenant_id, queue_iterator> queues_;
    absl::flat_hash_map<request_id, queue_iterator> queue_by_request_;
    std::set<std::pair<mono_time, request_id>> by_dispatch_deadline_;
    std::set<std::pair<double, tenant_id>> by_backlog_; ///< Cost / weight.
    double cost_ = 0;         ///< Of all queued requests, in engine seconds.
    double total_weight_ = 0; ///< Sum over tenants with queued requests.
};

} // namespace poplar::policy
