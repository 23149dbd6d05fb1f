#include "gateway/watch_sharing.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <utility>

namespace poplar::gateway
{

watch_sharing::watch_sharing(std::string self, std::uint64_t topic,
                             duration confirmation_timeout)
    : self_(std::move(self)), topic_(topic),
      confirmation_timeout_(confirmation_timeout)
{
}

void watch_sharing::update_peer(const std::string& sender, duration age,
                                mono_time now)
{
    if (age < confirmation_timeout_)
        confirmed_peers_[sender] = now;
    else
        confirmed_peers_.erase(sender);
}

void watch_sharing::expire(mono_time before)
{
    std::erase_if(confirmed_peers_,
                  [&](const auto& it) { return it.second < before; });
}

bool watch_sharing::is_leader() const
{
    const std::uint64_t own = weight(self_);
    const auto higher =
        std::ranges::count_if(confirmed_peers_, [&](const auto& it)
                              { return weight(it.first) > own; });
    return higher < leader_count;
}

std::uint64_t watch_sharing::weight(const std::string& sender) const
{
    return rendezvous_weight(sender, topic_);
}

} // namespace poplar::gateway
