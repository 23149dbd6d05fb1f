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
    static constexpr std::ptrdiff_t leaders = 2;

    /// `topic` tells the objects that are followed. A state counts as known
    /// for `confirmed_for` after its confirmation.
    watch_sharing(std::string self, std::uint64_t topic,
                  duration confirmed_for);

    /// A gateway said that its state was confirmed this long ago.
    void heard(const std::string& sender, duration age, mono_time now);
    /// Forgets gateways that were last heard before.
    void forget(mono_time before);
    bool leads() const;

private:
    std::uint64_t weight(const std::string& sender) const;

    const std::string self_;
    const std::uint64_t topic_;
    const duration confirmed_for_;
    std::map<std::string, mono_time> followers_; ///< When they were heard.
};

} // namespace poplar::gateway
