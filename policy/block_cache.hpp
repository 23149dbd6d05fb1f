/// Tracks which prefix blocks an engine has in its KV cache, as far as the
/// gateway knows. Entries use prefix_index.hpp instead.
#pragma once

#include "base/time.hpp"
#include "base/units.hpp"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <list>
#include <span>

namespace poplar::policy
{

/// Piece of a prompt that engines cache as a unit, identified by its digest.
struct prefix_block
{
    std::uint64_t digest = 0;
    token_count tokens;
};

/// Leading blocks of a prompt that an engine has cached.
struct block_match
{
    token_count tokens;   ///< Tokens of the cached leading blocks.
    mono_time ready_at{}; ///< When prefill of all of them ends.
    /// Largest fraction of the capacity that was added after the last use of
    /// one of the blocks; 0 while nothing was evicted. Near 1 the next
    /// additions evict the block, and an engine that caches blocks unknown to
    /// the gateway may have evicted it already.
    double eviction_depth = 0;
};

/// Model of the KV cache of one engine, bounded by tokens. Like the engines, it
/// evicts the least recently used blocks first.
class block_cache
{
public:
    explicit block_cache(token_count capacity = token_count(0));

    void set_capacity(token_count capacity);
    /// Records that prefill of these leading blocks of a prompt ends at
    /// `ready_at`. A block that is already recorded keeps the earlier of its
    /// times.
    void add(std::span<const prefix_block> blocks, mono_time ready_at);
    /// Matches the longest prefix of `blocks` that is cached.
    block_match match(std::span<const prefix_block> blocks) const;
    /// Tokens that adding this many would evict.
    token_count evicted_by(token_count added) const;
    void clear();

    std::size_t size() const
    {
        return index_.size();
    }

private:
    struct entry
    {
        prefix_block block;
        mono_time ready_at{};
        token_count added_before; ///< Value of `added_` at the last use.
    };
    using lru_list = std::list<entry>; ///< Most recently used first.

    void touch(const prefix_block& block, mono_time ready_at);
    void trim();

    token_count capacity_;
    token_count cached_tokens_;
    token_count added_; ///< Tokens of all blocks added so far.
    bool has_evicted_ = false;
    lru_list lru_;
    absl::flat_hash_map<std::uint64_t, lru_list::iterator> index_;
};

} // namespace poplar::policy
