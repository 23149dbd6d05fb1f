#include "policy/prefix_index.hpp"

#include <algorithm>

namespace poplar::policy
{

prefix_index::prefix_index(std::size_t blocks_per_engine)
    : blocks_per_engine_(std::max<std::size_t>(1, blocks_per_engine))
{
}

void prefix_index::add(engine_index engine, std::uint64_t block)
{
    if (engines_.size() <= engine)
        engines_.resize(engine + 1);
    const auto found = holders_.find(block);
    if (found != holders_.end())
    {
        const auto it =
            std::ranges::find(found->second, engine, &holder::engine);
        if (it != found->second.end())
        {
            engines_[engine].ring[it->slot].referenced = true;
            return;
        }
        if (found->second.size() == max_holders)
            return;
    }
    const std::uint32_t new_slot = allocate_slot(engine);
    engines_[engine].ring[new_slot] = {block, false, true};
    holders_[block].push_back({engine, new_slot});
}

std::uint32_t prefix_index::allocate_slot(engine_index engine)
{
    engine_blocks& state = engines_[engine];
    if (!state.free_slots.empty())
    {
        const std::uint32_t free_slot = state.free_slots.back();
        state.free_slots.pop_back();
        return free_slot;
    }
    if (state.ring.size() < blocks_per_engine_)
    {
        state.ring.emplace_back();
        return static_cast<std::uint32_t>(state.ring.size() - 1);
    }
    while (state.ring[state.clock_hand].referenced)
    {
        state.ring[state.clock_hand].referenced = false;
        state.clock_hand = (state.clock_hand + 1) % state.ring.size();
    }
    const std::uint32_t freed = state.clock_hand;
    state.clock_hand = (state.clock_hand + 1) % state.ring.size();
    remove_holder(engine, state.ring[freed].block);
    return freed;
}

void prefix_index::remove(engine_index engine, std::uint64_t block)
{
    const auto found = holders_.find(block);
    if (found == holders_.end())
        return;
    const auto it = std::ranges::find(found->second, engine, &holder::engine);
    if (it == found->second.end())
        return;
    engines_[engine].ring[it->slot] = {};
    engines_[engine].free_slots.push_back(it->slot);
    remove_holder(engine, block);
}

void prefix_index::remove_holder(engine_index engine, std::uint64_t block)
{
    const auto found = holders_.find(block);
    std::erase_if(found->second,
                  [&](const holder& h) { return h.engine == engine; });
    if (found->second.empty())
        holders_.erase(found);
}

void prefix_index::clear(engine_index engine)
{
    if (engine >= engines_.size())
        return;
    for (const slot& s : engines_[engine].ring)
    {
        if (s.occupied)
            remove_holder(engine, s.block);
    }
    engines_[engine] = {};
}

bool prefix_index::holds(engine_index engine, std::uint64_t block) const
{
    const auto it = holders_.find(block);
    return it != holders_.end() &&
           std::ranges::find(it->second, engine, &holder::engine) !=
               it->second.end();
}

std::size_t prefix_index::match(engine_index engine,
                                std::span<const std::uint64_t> blocks) const
{
    const auto end = std::partition_point(blocks.begin(), blocks.end(),
                                          [&](std::uint64_t block)
                                          { return holds(engine, block); });
    return static_cast<std::size_t>(end - blocks.begin());
}

std::size_t
prefix_index::longest_prefix(std::span<const std::uint64_t> blocks,
                             std::vector<engine_index>& engines) const
{
    engines.clear();
    const auto end = std::partition_point(blocks.begin(), blocks.end(),
                                          [&](std::uint64_t block)
                                          { return holders_.contains(block); });
    if (end == blocks.begin())
        return 0;
    const auto it = holders_.find(*(end - 1));
    for (const holder& h : it->second)
        engines.push_back(h.engine);
    return static_cast<std::size_t>(end - blocks.begin());
}

std::size_t prefix_index::blocks_of(engine_index engine) const
{
    if (engine >= engines_.size())
        return 0;
    return engines_[engine].ring.size() - engines_[engine].free_slots.size();
}

std::size_t prefix_index::memory_bytes() const
{
    using entry = decltype(holders_)::value_type;
    std::size_t bytes = holders_.capacity() * (sizeof(entry) + 1);
    for (const auto& [block, list] : holders_)
        bytes += list.capacity() * sizeof(holder);
    for (const engine_blocks& state : engines_)
        bytes += sizeof(state) + state.ring.capacity() * sizeof(slot) +
                 state.free_slots.capacity() * sizeof(std::uint32_t);
    return bytes;
}

} // namespace poplar::policy
