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
    const auto known = holders_.find(block);
    if (known != holders_.end())
    {
        const auto it =
            std::ranges::find(known->second, engine, &holder::engine);
        if (it != known->second.end())
        {
            engines_[engine].ring[it->slot].used = true;
            return;
        }
        if (known->second.size() == max_holders)
            return;
    }
    const std::uint32_t at = take_slot(engine);
    engines_[engine].ring[at] = {block, false, true};
    holders_[block].push_back({engine, at});
}

std::uint32_t prefix_index::take_slot(engine_index engine)
{
    engine_blocks& own = engines_[engine];
    if (!own.free.empty())
    {
        const std::uint32_t at = own.free.back();
        own.free.pop_back();
        return at;
    }
    if (own.ring.size() < blocks_per_engine_)
    {
        own.ring.emplace_back();
        return static_cast<std::uint32_t>(own.ring.size() - 1);
    }
    while (own.ring[own.hand].used)
    {
        own.ring[own.hand].used = false;
        own.hand = (own.hand + 1) % own.ring.size();
    }
    const std::uint32_t at = own.hand;
    own.hand = (own.hand + 1) % own.ring.size();
    unlink(engine, own.ring[at].block);
    return at;
}

void prefix_index::remove(engine_index engine, std::uint64_t block)
{
    const auto known = holders_.find(block);
    if (known == holders_.end())
        return;
    const auto it = std::ranges::find(known->second, engine, &holder::engine);
    if (it == known->second.end())
        return;
    engines_[engine].ring[it->slot] = {};
    engines_[engine].free.push_back(it->slot);
    unlink(engine, block);
}

void prefix_index::unlink(engine_index engine, std::uint64_t block)
{
    const auto known = holders_.find(block);
    std::erase_if(known->second,
                  [&](const holder& h) { return h.engine == engine; });
    if (known->second.empty())
        holders_.erase(known);
}

void prefix_index::clear(engine_index engine)
{
    if (engine >= engines_.size())
        return;
    for (const slot& s : engines_[engine].ring)
    {
        if (s.live)
            unlink(engine, s.block);
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

std::size_t prefix_index::longest(std::span<const std::uint64_t> blocks,
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
    return engines_[engine].ring.size() - engines_[engine].free.size();
}

std::size_t prefix_index::memory_bytes() const
{
    using entry = decltype(holders_)::value_type;
    std::size_t bytes = holders_.capacity() * (sizeof(entry) + 1);
    for (const auto& [block, list] : holders_)
        bytes += list.capacity() * sizeof(holder);
    for (const engine_blocks& own : engines_)
        bytes += sizeof(own) + own.ring.capacity() * sizeof(slot) +
                 own.free.capacity() * sizeof(std::uint32_t);
    return bytes;
}

} // namespace poplar::policy
