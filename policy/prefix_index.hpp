/// Which engines hold which prompt blocks, as far as this entry knows.
#pragma once

#include "policy/prefix.hpp"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <span>
#include <vector>

namespace poplar::policy
{

/// Index of an engine in the router's table.
using engine_index = std::uint32_t;

/// Bounded per engine. Blocks not used for the longest time are forgotten
/// first (approximated by second chance), as engines do.
class prefix_index
{
public:
    /// Holders kept for one block; further engines are not recorded. Enough
    /// for every engine of today's groups to hold a shared style guide.
    static constexpr std::size_t max_holders = 32;

    explicit prefix_index(std::size_t blocks_per_engine = 4096);

    /// Records a block, or that a known one was used again.
    void add(engine_index engine, std::uint64_t block);
    void remove(engine_index engine, std::uint64_t block);
    /// Forgets all blocks of an engine.
    void clear(engine_index engine);

    /// True when the engine is known to hold the block.
    bool holds(engine_index engine, std::uint64_t block) const;
    /// Leading blocks that the engine holds, found by bisection.
    std::size_t match(engine_index engine,
                      std::span<const std::uint64_t> blocks) const;
    /// Length of the longest known prefix, and the engines that hold it.
    std::size_t longest_prefix(std::span<const std::uint64_t> blocks,
                               std::vector<engine_index>& engines) const;

    std::size_t blocks() const
    {
        return holders_.size();
    }
    std::size_t blocks_of(engine_index engine) const;
    std::size_t memory_bytes() const;

private:
    struct holder
    {
        engine_index engine = 0;
        std::uint32_t slot = 0; ///< In the engine's ring.
    };
    struct slot
    {
        std::uint64_t block = 0;
        bool referenced = false; ///< Since the replacement hand passed.
        bool occupied = false;
    };
    struct engine_blocks
    {
        std::vector<slot> ring;
        std::vector<std::uint32_t> free_slots;
        std::uint32_t clock_hand = 0;
    };

    std::uint32_t allocate_slot(engine_index engine);
    void remove_holder(engine_index engine, std::uint64_t block);

    std::size_t blocks_per_engine_;
    absl::flat_hash_map<std::uint64_t, std::vector<holder>> holders_;
    std::vector<engine_blocks> engines_;
};

} // namespace poplar::policy
