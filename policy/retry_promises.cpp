#include "policy/retry_promises.hpp"

#include <algorithm>

namespace poplar::policy
{

namespace
{

/// Callers' clocks and networks: a retry may come this much early or late.
constexpr duration early = std::chrono::milliseconds(50);
constexpr duration late = std::chrono::seconds(2);
/// Seconds looked at for room; a later promise would mean little.
constexpr std::int64_t most_seconds = 600;

std::int64_t second_of(mono_time t)
{
    return std::chrono::floor<std::chrono::seconds>(t.time_since_epoch())
        .count();
}

} // namespace

mono_time retry_promises::book(const tenant_id& tenant, mono_time earliest,
                               double cost, double rate)
{
    const second first = second_of(earliest);
    second at = first;
    for (auto it = booked_.lower_bound(at);
         it != booked_.end() && it->first == at && at < first + most_seconds &&
         it->second + cost > std::max(rate, cost);
         ++it)
        ++at;
    booked_[at] += cost;
    const mono_time due =
        std::max(earliest, mono_time(std::chrono::seconds(at)));
    const auto [it, added] = lines_.try_emplace(tenant);
    if (added)
        check_order_.push_back(tenant);
    it->second.emplace(due, cost);
    return due;
}

void retry_promises::unbook(mono_time due, double cost)
{
    const auto it = booked_.find(second_of(due));
    if (it == booked_.end())
        return;
    it->second -= cost;
    if (it->second < 1e-9)
        booked_.erase(it);
}

bool retry_promises::take(const tenant_id& tenant, mono_time now)
{
    const auto found = lines_.find(tenant);
    if (found == lines_.end())
        return false;
    line& promises = found->second;
    const auto oldest = promises.lower_bound(now - late);
    if (oldest == promises.end() || oldest->first > now + early)
        return false;
    unbook(oldest->first, oldest->second);
    promises.erase(oldest);
    return true;
}

double retry_promises::cost_due(mono_time time) const
{
    double sum = 0;
    const auto end = booked_.upper_bound(second_of(time));
    for (auto it = booked_.begin(); it != end; ++it)
        sum += it->second;
    return sum;
}

void retry_promises::drop_lapsed(mono_time now)
{
    while (!booked_.empty() && booked_.begin()->first < second_of(now - late))
        booked_.erase(booked_.begin());
    if (check_order_.empty())
        return;
    tenant_id tenant = std::move(check_order_.front());
    check_order_.pop_front();
    const auto it = lines_.find(tenant);
    line& promises = it->second;
    promises.erase(promises.begin(), promises.lower_bound(now - late));
    if (promises.empty())
        lines_.erase(it);
    else
        check_order_.push_back(std::move(tenant));
}

} // namespace poplar::policy
