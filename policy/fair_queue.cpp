#include "policy/fair_queue.hpp"

#include <algorithm>

namespace poplar::policy
{

namespace
{

/// Below this a tenant's turn would need thousands of rounds.
constexpr double smallest_weight = 0.01;

} // namespace

fair_queue::fair_queue(double quantum_seconds) : quantum_(quantum_seconds) {}

void fair_queue::push(queued_request request)
{
    const auto [it, added] = lines_.try_emplace(request.tenant);
    if (added)
    {
        tenant_line fresh;
        fresh.tenant = request.tenant;
        fresh.weight = std::max(smallest_weight, request.tenant_weight);
        it->second = active_.insert(active_.end(), std::move(fresh));
        weights_ += it->second->weight;
    }
    const line_iterator line = it->second;
    by_length_.erase({line->cost / line->weight, line->tenant});
    line->cost += request.cost;
    cost_ += request.cost;
    by_length_.insert({line->cost / line->weight, line->tenant});
    by_start_.insert({request.start_by, request.id});
    where_[request.id] = line;
    line->waiting.push_back(std::move(request));
}

const queued_request* fair_queue::front()
{
    if (active_.empty())
        return nullptr;
    while (true)
    {
        tenant_line& line = active_.front();
        if (!line.has_turn)
        {
            line.has_turn = true;
            line.deficit += quantum_ * line.weight;
        }
        if (line.waiting.front().cost <= line.deficit || active_.size() == 1)
            return &line.waiting.front();
        line.has_turn = false;
        active_.splice(active_.end(), active_, active_.begin());
    }
}

queued_request fair_queue::pop_front()
{
    front();
    tenant_line& line = active_.front();
    line.deficit = std::max(0.0, line.deficit - line.waiting.front().cost);
    return take(active_.begin(), 0);
}

std::size_t fair_queue::place(const tenant_line& line,
                              const request_id& id) const
{
    const auto it = std::ranges::find(line.waiting, id, &queued_request::id);
    return static_cast<std::size_t>(it - line.waiting.begin());
}

std::optional<queued_request> fair_queue::remove(const request_id& id)
{
    const auto it = where_.find(id);
    if (it == where_.end())
        return std::nullopt;
    return take(it->second, place(*it->second, id));
}

const queued_request* fair_queue::most_pressing() const
{
    if (by_start_.empty())
        return nullptr;
    const request_id& id = by_start_.begin()->second;
    const tenant_line& line = *where_.at(id);
    return &line.waiting[place(line, id)];
}

const queued_request* fair_queue::last_of_longest() const
{
    if (by_length_.empty())
        return nullptr;
    return &lines_.at(by_length_.rbegin()->second)->waiting.back();
}

double fair_queue::cost_ahead(const tenant_id& tenant, double weight,
                              double cost) const
{
    const double own_weight = std::max(smallest_weight, weight);
    const auto it = lines_.find(tenant);
    const double own = it == lines_.end() ? 0 : it->second->cost;
    const double own_active = it == lines_.end() ? 0 : it->second->weight;
    const double others =
        (own + cost + quantum_) * (weights_ - own_active) / own_weight;
    return own + std::min(cost_ - own, others);
}

queued_request fair_queue::take(line_iterator line, std::size_t index)
{
    queued_request taken = std::move(line->waiting[index]);
    line->waiting.erase(line->waiting.begin() +
                        static_cast<std::ptrdiff_t>(index));
    where_.erase(taken.id);
    by_start_.erase({taken.start_by, taken.id});
    by_length_.erase({line->cost / line->weight, line->tenant});
    line->cost -= taken.cost;
    cost_ -= taken.cost;
    if (line->waiting.empty())
    {
        cost_ -= line->cost;
        weights_ -= line->weight;
        lines_.erase(line->tenant);
        active_.erase(line);
    }
    else
    {
        by_length_.insert({line->cost / line->weight, line->tenant});
    }
    if (active_.empty())
    {
        cost_ = 0;
        weights_ = 0;
    }
    return taken;
}

} // namespace poplar::policy
