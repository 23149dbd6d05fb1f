#include "policy/fatal_blocks.hpp"

#include <algorithm>
#include <ranges>

namespace poplar::policy
{

fatal_block_detector::fatal_block_detector(const fatal_block_settings& settings)
    : settings_(settings)
{
}

void fatal_block_detector::record_crash(const block_crash& crash)
{
    record& r = records_[crash.block];
    if (crash.at <= r.last_completion ||
        !r.crashes.emplace(crash.process, crash.at).second)
        return;
    std::erase_if(r.crashes, [&](const auto& it)
                  { return crash.at - it.second > settings_.max_hold; });
    if (r.crashes.size() > settings_.max_crashes)
        r.crashes.erase(std::ranges::min_element(
            r.crashes, {}, [](const auto& it) { return it.second; }));
    r.last_crash = std::max(r.last_crash, crash.at);
    if (r.crashes.size() >= settings_.min_crashes)
        start_hold(r, crash.at);
    drop_oldest();
}

void fatal_block_detector::start_hold(record& r, mono_time at) const
{
    if (r.suspected_at == mono_time{})
    {
        r.suspected_at = at;
        r.hold = settings_.first_hold;
    }
    else if (at > r.held_until)
        r.hold = std::min(2 * r.hold, settings_.max_hold);
    r.held_until = std::max(r.held_until, at + r.hold);
}

void fatal_block_detector::drop_oldest()
{
    if (records_.size() <= settings_.max_blocks)
        return;
    records_.erase(std::ranges::min_element(
        records_, {},
        [](const auto& it)
        { return std::max(it.second.last_crash, it.second.last_completion); }));
}

void fatal_block_detector::record_completion(const block_completion& completion)
{
    const auto it = records_.find(completion.block);
    if (it == records_.end() || it->second.crashes.empty() ||
        completion.at <= it->second.last_completion)
        return;
    record& r = it->second;
    r.last_completion = completion.at;
    std::erase_if(r.crashes, [&](const auto& crash)
                  { return crash.second <= completion.at; });
    if (r.crashes.size() < settings_.min_crashes)
        r.suspected_at = r.held_until = {};
}

bool fatal_block_detector::is_suspect(const record& r, mono_time now) const
{
    return r.suspected_at != mono_time{} && now < r.held_until &&
           now - r.suspected_at >= settings_.clearing_time;
}

bool fatal_block_detector::covers(const record& other, const record& r)
{
    return std::ranges::all_of(r.crashes | std::views::keys,
                               [&](const engine_process& it)
                               { return other.crashes.contains(it); });
}

/// Refuses only prompts that hold all blocks among which the cause cannot be
/// told, so that sound prompts with one of them are sent and clear it.
std::optional<duration>
fatal_block_detector::refusal(std::span<const std::uint64_t> blocks,
                              mono_time now) const
{
    std::optional<duration> longest;
    for (const std::uint64_t block : blocks)
    {
        const auto it = records_.find(block);
        if (it == records_.end() || !is_suspect(it->second, now))
            continue;
        const record& r = it->second;
        const bool has_all = std::ranges::all_of(
            records_,
            [&](const auto& other)
            {
                return std::ranges::find(blocks, other.first) != blocks.end() ||
                       !is_suspect(other.second, now) ||
                       !covers(other.second, r);
            });
        if (has_all)
            longest = std::max(longest.value_or(duration::zero()),
                               r.held_until - now);
    }
    return longest;
}

std::size_t fatal_block_detector::crash_count(std::uint64_t block) const
{
    const auto it = records_.find(block);
    return it == records_.end() ? 0 : it->second.crashes.size();
}

std::vector<block_crash>
fatal_block_detector::crashes(mono_time since, std::size_t max_count) const
{
    std::vector<block_crash> found;
    for (const auto& [block, r] : records_)
        for (const auto& [process, at] : r.crashes)
            if (at >= since && found.size() < max_count)
                found.push_back({block, process, at});
    return found;
}

std::vector<block_completion>
fatal_block_detector::completions(mono_time since, std::size_t max_count) const
{
    std::vector<block_completion> found;
    for (const auto& [block, r] : records_)
        if (r.last_completion >= since && r.last_completion != mono_time{} &&
            found.size() < max_count)
            found.push_back({block, r.last_completion});
    return found;
}

} // namespace poplar::policy
