#include "policy/fair_queue.hpp"

#include <algorithm>

namespace poplar::policy
{

namespace
{

/// Lower bound of tenant weights: with a smaller weight, a tenant's deficit
/// would need thousands of rounds to cover one request.
constexpr double min_weight = 0.01;

} // namespace

fair_queue::fair_queue(double quantum_seconds) : quantum_(quantum_seconds) {}

void fair_queue::push(queued_request request)
{
    const auto [it, added] = queues_.try_emplace(request.tenant);
    if (added)
    {
        tenant_queue created;
        created.tenant = request.tenant;
        created.weight = std::max(min_weight, request.tenant_weight);
        it->second =
            round_robin_.insert(round_robin_.end(), std::move(created));
        total_weight_ += it->second->weight;
    }
    const queue_iterator queue = it->second;
    by_backlog_.erase({queue->cost / queue->weight, queue->tenant});
    queue->cost += request.cost;
    cost_ += request.cost;
    by_backlog_.insert({queue->cost / queue->weight, queue->tenant});
    by_dispatch_deadline_.insert({request.dispatch_deadline, request.id});
    queue_by_request_[request.id] = queue;
    queue->requests.push_back(std::move(request));
}

const queued_request* fair_queue::front()
{
    if (round_robin_.empty())
        return nullptr;
    while (true)
    {
        tenant_queue& queue = round_robin_.front();
        if (!queue.quantum_added)
        {
            queue.quantum_added = true;
            queue.deficit += quantum_ * queue.weight;
        }
        if (queue.requests.front().cost <= queue.deficit ||
            round_robin_.size() == 1)
            return &queue.requests.front();
        queue.quantum_added = false;
        round_robin_.splice(round_robin_.end(), round_robin_,
                            round_robin_.begin());
    }
}

queued_request fair_queue::pop_front()
{
    front();
    tenant_queue& queue = round_robin_.front();
    queue.deficit = std::max(0.0, queue.deficit - queue.requests.front().cost);
    return extract(round_robin_.begin(), 0);
}

std::size_t fair_queue::index_of(const tenant_queue& queue,
                                 const request_id& id) const
{
    const auto it = std::ranges::find(queue.requests, id, &queued_request::id);
    return static_cast<std::size_t>(it - queue.requests.begin());
}

std::optional<queued_request> fair_queue::remove(const request_id& id)
{
    const auto it = queue_by_request_.find(id);
    if (it == queue_by_request_.end())
        return std::nullopt;
    return extract(it->second, index_of(*it->second, id));
}

const queued_request* fair_queue::most_urgent() const
{
    if (by_dispatch_deadline_.empty())
        return nullptr;
    const request_id& id = by_dispatch_deadline_.begin()->second;
    const tenant_queue& queue = *queue_by_request_.at(id);
    return &queue.requests[index_of(queue, id)];
}

const queued_request* fair_queue::newest_of_largest_backlog() const
{
    if (by_backlog_.empty())
        return nullptr;
    return &queues_.at(by_backlog_.rbegin()->second)->requests.back();
}

double fair_queue::cost_ahead(const tenant_id& tenant, double weight,
                              double cost) const
{
    const double own_weight = std::max(min_weight, weight);
    const auto it = queues_.find(tenant);
    const double tenant_cost = it == queues_.end() ? 0 : it->second->cost;
    const double own_active_weight =
        it == queues_.end() ? 0 : it->second->weight;
    const double others = (tenant_cost + cost + quantum_) *
                          (total_weight_ - own_active_weight) / own_weight;
    return tenant_cost + std::min(cost_ - tenant_cost, others);
}

queued_request fair_queue::extract(queue_iterator queue, std::size_t index)
{
    queued_request taken = std::move(queue->requests[index]);
    queue->requests.erase(queue->requests.begin() +
                          static_cast<std::ptrdiff_t>(index));
    queue_by_request_.erase(taken.id);
    by_dispatch_deadline_.erase({taken.dispatch_deadline, taken.id});
    by_backlog_.erase({queue->cost / queue->weight, queue->tenant});
    queue->cost -= taken.cost;
    cost_ -= taken.cost;
    if (queue->requests.empty())
    {
        cost_ -= queue->cost;
        total_weight_ -= queue->weight;
        queues_.erase(queue->tenant);
        round_robin_.erase(queue);
    }
    else
    {
        by_backlog_.insert({queue->cost / queue->weight, queue->tenant});
    }
    if (round_robin_.empty())
    {
        cost_ = 0;
        total_weight_ = 0;
    }
    return taken;
}

} // namespace poplar::policy
