#include "policy/clock_consensus.hpp"

#include <algorithm>
#include <ranges>
#include <vector>

namespace poplar::policy
{

void clock_consensus::set_own(unix_time wall_clock, mono_time now)
{
    own_offset_ = wall_clock - now.time_since_epoch();
}

void clock_consensus::add(const std::string& peer, unix_time wall_clock,
                          mono_time now)
{
    peers_[peer] = {wall_clock - now.time_since_epoch(), now};
}

void clock_consensus::expire(mono_time before)
{
    std::erase_if(peers_,
                  [&](const auto& it) { return it.second.received < before; });
}

unix_time clock_consensus::at(mono_time t) const
{
    std::vector<duration> offsets{own_offset_};
    std::ranges::transform(peers_ | std::views::values,
                           std::back_inserter(offsets), &sample::offset);
    const auto middle = offsets.begin() + std::ptrdiff_t(offsets.size() / 2);
    std::ranges::nth_element(offsets, middle);
    return *middle + t.time_since_epoch();
}

} // namespace poplar::policy
