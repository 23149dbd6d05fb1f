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

/// Bounded per engine: the blocks added first are forgotten first.
class prefix_index
{
public:
    /// Holders kept for one block; further engines are not recorded.
    static constexpr std::size_t max_holders = 16;

    explicit prefix_index(std::size_t blocks_per_engine = 4096);

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
    std::size_t longest(std::span<const std::uint64_t> blocks,
                        std::vector<engine_index>& holders) const;

    std::size_t blocks() const
    {
        return holders_.size();
    }
    std::size_t memory_bytes() const;

private:
    struct engine_blocks
    {
        std::vector<std::uint64_t> ring; ///< In order of addition.
        std::size_t oldest = 0;
    };

    void forget(engine_index engine, std::uint64_t block);

    std::size_t blocks_per_engine_;
    absl::flat_hash_map<std::uint64_t, std::vector<engine_index>> holders_;
    std::vector<engine_blocks> engines_;
};

} // namespace poplar::policy
