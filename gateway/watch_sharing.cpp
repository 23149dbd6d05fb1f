#include "gateway/watch_sharing.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <utility>

namespace poplar::gateway
{

watch_sharing::watch_sharing(std::string self, std::uint64_t topic,
                             duration confirmed_for)
    : self_(std::move(self)), topic_(topic), confirmed_for_(confirmed_for)
{
}

void watch_sharing::heard(const std::string& sender, duration age,
                          mono_time now)
{
    if (age < confirmed_for_)
        followers_[sender] = now;
    else
        followers_.erase(sender);
}

void watch_sharing::forget(mono_time before)
{
    std::erase_if(followers_,
                  [&](const auto& it) { return it.second < before; });
}

bool watch_sharing::leads() const
{
    const std::uint64_t own = weight(self_);
    const auto before = std::ranges::count_if(
        followers_, [&](const auto& it) { return weight(it.first) > own; });
    return before < leaders;
}

std::uint64_t watch_sharing::weight(const std::string& sender) const
{
    return rendezvous_weight(sender, topic_);
}

} // namespace poplar::gateway
