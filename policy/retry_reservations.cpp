#include "policy/retry_reservations.hpp"

#include <algorithm>

namespace poplar::policy
{

namespace
{

/// A retry may arrive this much before or after its time and still claim the
/// reservation, because of clock differences and network delays.
constexpr duration max_early = std::chrono::milliseconds(50);
constexpr duration max_late = std::chrono::seconds(2);
/// Maximum number of seconds searched for free capacity: a reservation further
/// ahead would be unreliable.
constexpr std::int64_t max_search_seconds = 600;

std::int64_t second_of(mono_time t)
{
    return std::chrono::floor<std::chrono::seconds>(t.time_since_epoch())
        .count();
}

} // namespace

mono_time retry_reservations::reserve(const tenant_id& tenant,
                                      mono_time earliest, double cost,
                                      double rate)
{
    const second first = second_of(earliest);
    second at = first;
    for (auto it = cost_by_second_.lower_bound(at);
         it != cost_by_second_.end() && it->first == at &&
         at < first + max_search_seconds &&
         it->second + cost > std::max(rate, cost);
         ++it)
        ++at;
    cost_by_second_[at] += cost;
    const mono_time due =
        std::max(earliest, mono_time(std::chrono::seconds(at)));
    const auto [it, added] = reservations_.try_emplace(tenant);
    if (added)
        expiry_check_order_.push_back(tenant);
    it->second.emplace(due, cost);
    return due;
}

void retry_reservations::release(mono_time due, double cost)
{
    const auto it = cost_by_second_.find(second_of(due));
    if (it == cost_by_second_.end())
        return;
    it->second -= cost;
    if (it->second < 1e-9)
        cost_by_second_.erase(it);
}

bool retry_reservations::claim(const tenant_id& tenant, mono_time now)
{
    const auto found = reservations_.find(tenant);
    if (found == reservations_.end())
        return false;
    cost_by_time& reservations = found->second;
    const auto oldest = reservations.lower_bound(now - max_late);
    if (oldest == reservations.end() || oldest->first > now + max_early)
        return false;
    release(oldest->first, oldest->second);
    reservations.erase(oldest);
    return true;
}

double retry_reservations::reserved_cost(mono_time time) const
{
    double sum = 0;
    const auto end = cost_by_second_.upper_bound(second_of(time));
    for (auto it = cost_by_second_.begin(); it != end; ++it)
        sum += it->second;
    return sum;
}

void retry_reservations::drop_expired(mono_time now)
{
    while (!cost_by_second_.empty() &&
           cost_by_second_.begin()->first < second_of(now - max_late))
        cost_by_second_.erase(cost_by_second_.begin());
    if (expiry_check_order_.empty())
        return;
    tenant_id tenant = std::move(expiry_check_order_.front());
    expiry_check_order_.pop_front();
    const auto it = reservations_.find(tenant);
    cost_by_time& reservations = it->second;
    reservations.erase(reservations.begin(),
                       reservations.lower_bound(now - max_late));
    if (reservations.empty())
        reservations_.erase(it);
    else
        expiry_check_order_.push_back(std::move(tenant));
}

} // namespace poplar::policy
