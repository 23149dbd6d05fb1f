/// Prefix cache of the stand-in engine and the events that it publishes.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <deque>
#include <list>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace poplar::standin
{

struct cache_event
{
    std::uint64_t sequence = 0;
    std::string kind; ///< add, remove or clear.
    std::uint64_t block = 0;
    mono_time at;
};

/// Not guarded; the engine holds its lock.
class prefix_cache
{
public:
    /// `gap_rate`: share of events that are never published.
    prefix_cache(std::size_t max_blocks, double gap_rate, std::uint64_t seed);

    /// Leading blocks of a prompt that are cached; they become the most
    /// recently used.
    std::size_t use(const std::vector<std::uint64_t>& blocks);
    /// Adds the blocks of a prompt and evicts the least recently used.
    void add(const std::vector<std::uint64_t>& blocks, mono_time at);
    void clear(mono_time at);

    /// Events after a sequence number that happened before `until`.
    std::vector<cache_event> events(std::uint64_t after, mono_time until) const;
    /// Highest sequence number that happened before `until`.
    std::uint64_t last_sequence(mono_time until) const;

private:
    using age_list = std::list<std::uint64_t>; ///< Most recently used first.

    void record(const std::string& kind, std::uint64_t block, mono_time at);
    void evict(mono_time at);

    const std::size_t max_blocks_;
    std::bernoulli_distribution is_lost_;
    std::mt19937_64 random_;
    age_list ages_;
    std::unordered_map<std::uint64_t, age_list::iterator> blocks_;
    std::uint64_t last_sequence_ = 0;
    std::uint64_t dropped_sequence_ = 0; ///< Highest no longer kept.
    std::deque<cache_event> events_;
};

} // namespace poplar::standin
