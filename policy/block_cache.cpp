#include "policy/block_cache.hpp"

#include <algorithm>
#include <ranges>

namespace poplar::policy
{

block_cache::block_cache(token_count capacity) : capacity_(capacity) {}

void block_cache::set_capacity(token_count capacity)
{
    capacity_ = capacity;
    trim();
}

/// Adds the blocks in reverse order, so that the first block, which most
/// prompts share, becomes the most recently used.
void block_cache::add(std::span<const prefix_block> blocks, mono_time ready_at)
{
    for (const prefix_block& it : blocks | std::views::reverse)
        touch(it, ready_at);
    trim();
}

block_match block_cache::match(std::span<const prefix_block> blocks) const
{
    block_match m;
    for (const prefix_block& it : blocks)
    {
        const auto found = index_.find(it.digest);
        if (found == index_.end())
            break;
        m.tokens += it.tokens;
        m.ready_at = std::max(m.ready_at, found->second->ready_at);
        if (has_evicted_)
            m.eviction_depth =
                std::max(m.eviction_depth,
                         double((added_ - found->second->added_before).value) /
                             double(capacity_.value));
    }
    return m;
}

token_count block_cache::evicted_by(token_count added) const
{
    const token_count excess = cached_tokens_ + added - capacity_;
    return std::clamp(excess, token_count(0), cached_tokens_);
}

void block_cache::clear()
{
    has_evicted_ = false;
    index_.clear();
    lru_.clear();
    cached_tokens_ = token_count(0);
}

void block_cache::touch(const prefix_block& block, mono_time ready_at)
{
    if (const auto it = index_.find(block.digest); it != index_.end())
    {
        it->second->ready_at = std::min(it->second->ready_at, ready_at);
        it->second->added_before = added_;
        lru_.splice(lru_.begin(), lru_, it->second);
        return;
    }
    added_ += block.tokens;
    lru_.push_front({block, ready_at, added_});
    index_[block.digest] = lru_.begin();
    cached_tokens_ += block.tokens;
}

void block_cache::trim()
{
    while (cached_tokens_ > capacity_ && !lru_.empty())
    {
        cached_tokens_ -= lru_.back().block.tokens;
        index_.erase(lru_.back().block.digest);
        lru_.pop_back();
        has_evicted_ = true;
    }
}

} // namespace poplar::policy
