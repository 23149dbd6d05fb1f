/// Elects the gateways that watch the store on behalf of all.
///
/// In a large fleet, a watch by each gateway would cost more calls to the store
/// than the requests that the gateways serve.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace poplar::gateway
{

/// Decides whether this gateway is a leader, whose watches confirm the state of
/// the store for all. With several, changes still arrive at once if one loses
/// the store. A gateway that receives reports of too few peers with a confirmed
/// state leads itself, so that each side of a partitioned fleet has leaders.
class watch_sharing
{
public:
    static constexpr std::ptrdiff_t leader_count = 2;

    /// `self` is this gateway's name; `topic` identifies the watched objects. A
    /// state counts as confirmed for `confirmation_timeout` after the store
    /// confirmed it.
    watch_sharing(std::string self, std::uint64_t topic,
                  duration confirmation_timeout);

    /// Records a report of a peer whose state was confirmed `age` ago.
    void update_peer(const std::string& sender, duration age, mono_time now);
    /// Removes peers whose last report was received before this time.
    void expire(mono_time before);
    /// True if fewer than `leader_count` confirmed peers precede this gateway.
    bool is_leader() const;

private:
    std::uint64_t weight(const std::string& sender) const;

    const std::string self_;
    const std::uint64_t topic_;
    const duration confirmation_timeout_;
    /// Peers with a confirmed state, with the time of their last report.
    std::map<std::string, mono_time> confirmed_peers_;
};

} // namespace poplar::gateway
