#include "standin/engine/prefix_cache.hpp"

#include <ranges>

namespace poplar::standin
{

namespace
{

/// Events kept for readers; older ones are seen as a gap.
constexpr std::size_t kept_events = 20000;

} // namespace

prefix_cache::prefix_cache(std::size_t max_blocks, double gap_rate,
                           std::uint64_t seed)
    : max_blocks_(max_blocks), is_lost_(gap_rate), random_(seed)
{
}

std::size_t prefix_cache::use(const std::vector<std::uint64_t>& blocks)
{
    std::size_t n = 0;
    while (n < blocks.size() && blocks_.contains(blocks[n]))
        ++n;
    // From the last to the first: a later block is of no use without those
    // before it, so it has to be evicted earlier.
    for (std::size_t i = n; i > 0; --i)
        ages_.splice(ages_.begin(), ages_, blocks_[blocks[i - 1]]);
    return n;
}

void prefix_cache::add(const std::vector<std::uint64_t>& blocks, mono_time at)
{
    for (const std::uint64_t block : std::views::reverse(blocks))
    {
        if (blocks_.contains(block))
            continue;
        ages_.push_front(block);
        blocks_[block] = ages_.begin();
        record("add", block, at);
        evict(at);
    }
}

void prefix_cache::evict(mono_time at)
{
    if (blocks_.size() <= max_blocks_)
        return;
    const std::uint64_t oldest = ages_.back();
    ages_.pop_back();
    blocks_.erase(oldest);
    record("remove", oldest, at);
}

void prefix_cache::clear(mono_time at)
{
    ages_.clear();
    blocks_.clear();
    record("clear", 0, at);
}

void prefix_cache::record(const std::string& kind, std::uint64_t block,
                          mono_time at)
{
    ++last_sequence_;
    if (is_lost_(random_))
        return;
    events_.push_back({last_sequence_, kind, block, at});
    if (events_.size() <= kept_events)
        return;
    dropped_sequence_ = events_.front().sequence;
    events_.pop_front();
}

std::vector<cache_event> prefix_cache::events(std::uint64_t after,
                                              mono_time until) const
{
    std::vector<cache_event> found;
    for (const cache_event& it : events_)
    {
        if (it.at > until)
            break;
        if (it.sequence > after)
            found.push_back(it);
    }
    return found;
}

std::uint64_t prefix_cache::last_sequence(mono_time until) const
{
    std::uint64_t last = dropped_sequence_;
    for (const cache_event& it : events_)
    {
        if (it.at > until)
            break;
        last = it.sequence;
    }
    return last;
}

} // namespace poplar::standin
