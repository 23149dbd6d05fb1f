#include "policy/fatal_requests.hpp"

#include <algorithm>
#include <ranges>
#include <tuple>

namespace poplar::policy
{

fatal_request_detector::fatal_request_detector(
    const fatal_request_settings& settings)
    : settings_(settings)
{
}

bool fatal_request_detector::record_crash(const request_crash& crash)
{
    record& r = records_[crash.request];
    if ((r.last_completion != mono_time{} && crash.at <= r.last_completion) ||
        r.crashes.size() >= settings_.max_crashes ||
        !r.crashes.emplace(crash.process, crash.at).second)
        return false;
    r.last_crash = std::max(r.last_crash, crash.at);
    drop_least();
    return true;
}

bool fatal_request_detector::record_completion(
    const request_completion& completion)
{
    const auto it = records_.find(completion.request);
    if (it == records_.end() || it->second.crashes.empty() ||
        completion.at <= it->second.last_completion)
        return false;
    record& r = it->second;
    r.last_completion = completion.at;
    return std::erase_if(r.crashes, [&](const auto& crash)
                         { return crash.second <= completion.at; }) > 0;
}

void fatal_request_detector::forget(std::uint64_t request)
{
    records_.erase(request);
}

void fatal_request_detector::drop_least()
{
    if (records_.size() <= settings_.max_requests)
        return;
    records_.erase(std::ranges::min_element(
        records_, {},
        [](const auto& it)
        {
            const record& r = it.second;
            return std::tuple(r.crashes.size(),
                              std::max(r.last_crash, r.last_completion));
        }));
}

duration fatal_request_detector::hold_after_crashes(const record& r) const
{
    const mono_time first = std::ranges::min(r.crashes | std::views::values);
    return r.last_crash - first <= settings_.joint_crash_span
               ? settings_.joint_crash_hold
               : settings_.hold;
}

std::optional<duration> fatal_request_detector::hold(std::uint64_t request,
                                                     mono_time now) const
{
    const auto it = records_.find(request);
    if (it == records_.end() ||
        it->second.crashes.size() < settings_.min_crashes)
        return std::nullopt;
    const duration left =
        it->second.last_crash + hold_after_crashes(it->second) - now;
    return left > duration::zero() ? std::optional(left) : std::nullopt;
}

std::size_t fatal_request_detector::crash_count(std::uint64_t request) const
{
    const auto it = records_.find(request);
    return it == records_.end() ? 0 : it->second.crashes.size();
}

std::vector<request_crash>
fatal_request_detector::crashes_of(std::uint64_t request) const
{
    std::vector<request_crash> found;
    if (const auto it = records_.find(request); it != records_.end())
        for (const auto& [process, at] : it->second.crashes)
            found.push_back({request, process, at});
    return found;
}

std::size_t fatal_request_detector::held_count(mono_time now) const
{
    return std::size_t(
        std::ranges::count_if(records_ | std::views::keys, [&](std::uint64_t it)
                              { return hold(it, now).has_value(); }));
}

std::vector<request_crash>
fatal_request_detector::crashes(mono_time since, std::size_t max_count) const
{
    std::vector<std::pair<std::size_t, request_crash>> found;
    for (const auto& [request, r] : records_)
        for (const auto& [process, at] : r.crashes)
            if (at >= since)
                found.push_back({r.crashes.size(), {request, process, at}});
    std::ranges::stable_sort(found, std::ranges::greater(),
                             [](const auto& it) { return it.first; });
    std::vector<request_crash> news;
    std::ranges::copy(found | std::views::values | std::views::take(max_count),
                      std::back_inserter(news));
    return news;
}

std::vector<request_completion>
fatal_request_detector::completions(mono_time since,
                                    std::size_t max_count) const
{
    std::vector<request_completion> found;
    for (const auto& [request, r] : records_)
        if (r.last_completion >= since && r.last_completion != mono_time{} &&
            found.size() < max_count)
            found.push_back({request, r.last_completion});
    return found;
}

} // namespace poplar::policy
