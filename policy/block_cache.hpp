/// Which prompt parts an engine keeps in its KV cache, as far as is known.
#pragma once

#include "base/time.hpp"
#include "base/units.hpp"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <list>
#include <span>

namespace poplar::policy
{

/// One part of a prompt, by its digest.
struct prefix_block
{
    std::uint64_t digest = 0;
    token_count tokens;
};

struct block_match
{
    token_count tokens;   ///< Of the leading parts that are kept.
    mono_time ready_at{}; ///< When the last of them has been read.
};

/// Bounded by tokens; the least recently used parts are forgotten first, as
/// engines do.
class block_cache
{
public:
    explicit block_cache(token_count capacity = token_count(0));

    void set_capacity(token_count capacity);
    /// Records that the engine will have read these parts, from the front, at
    /// `ready_at`. A part that was recorded before is ready at the earlier
    /// time.
    void add(std::span<const prefix_block> blocks, mono_time ready_at);
    block_match match(std::span<const prefix_block> blocks) const;
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
    };
    using lru_list = std::list<entry>; ///< Most recently used first.

    void touch(const prefix_block& block, mono_time ready_at);
    void trim();

    token_count capacity_;
    token_count used_;
    lru_list lru_;
    absl::flat_hash_map<std::uint64_t, lru_list::iterator> index_;
};

} // namespace poplar::policy
