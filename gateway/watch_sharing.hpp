/// Decides which gateways ask the store for changes on behalf of all.
///
/// Answers to fleets in which each gateway's own watches would cost more calls
/// to the store than the requests that they serve.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace poplar::gateway
{

/// Several lead, so that changes are heard of at once when one of them is cut
/// from the store. A gateway that hears of too few others that follow the
/// objects leads, so that each part of a split fleet has leaders.
class watch_sharing
{
public:
    static constexpr std::ptrdiff_t leader_count = 2;

    /// `topic` tells the objects that are followed. A state counts as known
    /// for `confirmed_for` after its confirmation.
    watch_sharing(std::string self, std::uint64_t topic,
                  duration confirmation_timeout);

    /// A gateway said that its state was confirmed this long ago.
    void update_peer(const std::string& sender, duration age, mono_time now);
    /// Forgets gateways that were last heard before.
    void expire(mono_time before);
    bool is_leader() const;

private:
    std::uint64_t weight(const std::string& sender) const;

    const std::string self_;
    const std::uint64_t topic_;
    const duration confirmation_timeout_;
    std::map<std::string, mono_time>
        confirmed_peers_; ///< When they were update_peer.
};

} // namespace poplar::gateway
