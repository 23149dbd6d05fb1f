/// Index of the engines that have a prefix block cached, as far as this entry
/// knows from its own dispatches and the engines' cache events.
#pragma once

#include "policy/prefix.hpp"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <span>
#include <vector>

namespace poplar::policy
{

/// Position of an engine in the router's table.
using engine_index = std::uint32_t;

/// Maps prefix blocks to engines, with a bounded number of blocks per engine.
/// The least recently used blocks are evicted first, as engines do; the order
/// is approximated by the second-chance (clock) algorithm.
class prefix_index
{
public:
    /// Largest number of engines recorded for one block; further engines are
    /// ignored. It covers all engines of the groups in present deployments when
    /// they cache the same prompt prefix, such as instructions common to all
    /// prompts.
    static constexpr std::size_t max_holders = 32;

    explicit prefix_index(std::size_t blocks_per_engine = 4096);

    /// Records that the engine holds the block, or marks a recorded block as
    /// recently used.
    void add(engine_index engine, std::uint64_t block);
    /// Removes a block that the engine evicted.
    void remove(engine_index engine, std::uint64_t block);
    /// Removes all blocks of an engine.
    void clear(engine_index engine);

    /// Returns true if the engine is recorded as holding the block.
    bool holds(engine_index engine, std::uint64_t block) const;
    /// Number of leading blocks that the engine holds, found by bisection. This
    /// assumes that an engine that holds a block holds all blocks before it;
    /// where an earlier block was evicted, the result is approximate.
    std::size_t match(engine_index engine,
                      std::span<const std::uint64_t> blocks) const;
    /// Returns the length, in blocks, of the longest prefix that any engine
    /// holds, and stores the engines that hold it in `engines`. Makes the same
    /// assumption as `match`.
    std::size_t longest_prefix(std::span<const std::uint64_t> blocks,
                               std::vector<engine_index>& engines) const;

    /// Number of distinct blocks over all engines.
    std::size_t blocks() const
    {
        return holders_.size();
    }
    /// Number of blocks recorded for one engine.
    std::size_t blocks_of(engine_index engine) const;
    std::size_t memory_bytes() const;

private:
    /// Engine that holds a block.
    struct holder
    {
        engine_index engine = 0;
        std::uint32_t slot = 0; ///< Index in the engine's ring.
    };
    struct slot
    {
        std::uint64_t block = 0;
        bool referenced = false; ///< Used since the clock hand passed.
        bool occupied = false;
    };
    /// Recorded blocks of an engine, as the ring of the clock algorithm.
    struct engine_blocks
    {
        std::vector<slot> ring;
        std::vector<std::uint32_t> free_slots;
        std::uint32_t clock_hand = 0;
    };

    /// Returns a free slot of the engine's ring; evicts a block if it is full.
    std::uint32_t allocate_slot(engine_index engine);
    /// Removes the engine from the holders of a recorded block.
    void remove_holder(engine_index engine, std::uint64_t block);

    std::size_t blocks_per_engine_;
    absl::flat_hash_map<std::uint64_t, std::vector<holder>> holders_;
    std::vector<engine_blocks> engines_;
};

} // namespace poplar::policy
