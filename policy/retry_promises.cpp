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
    const auto [line, added] = lines_.try_emplace(tenant);
    if (added)
        check_order_.push_back(tenant);
    line->second.push_back({due, cost});
    return due;
}

void retry_promises::unbook(const promise& p)
{
    const auto it = booked_.find(second_of(p.due));
    if (it == booked_.end())
        return;
    it->second -= p.cost;
    if (it->second < 1e-9)
        booked_.erase(it);
}

bool retry_promises::take(const tenant_id& tenant, mono_time now)
{
    const auto line = lines_.find(tenant);
    if (line == lines_.end())
        return false;
    const auto it = std::ranges::find_if(
        line->second, [now](const promise& p)
        { return p.due <= now + early && p.due + late >= now; });
    if (it == line->second.end())
        return false;
    unbook(*it);
    line->second.erase(it);
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
    const auto line = lines_.find(tenant);
    std::erase_if(line->second,
                  [now](const promise& p) { return p.due + late < now; });
    if (line->second.empty())
        lines_.erase(line);
    else
        check_order_.push_back(std::move(tenant));
}

} // namespace poplar::policy
