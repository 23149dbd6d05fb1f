/// Estimates the time of day from the clocks of all gateways.
///
/// The clock of one machine may be set wrongly by seconds. Each gateway takes
/// the median of the clocks that it knows, measured against its own clock that
/// is never set.
#pragma once

#include "base/time.hpp"
#include "policy/usage_windows.hpp"

#include <map>
#include <string>

namespace poplar::policy
{

/// Not thread-safe.
class clock_consensus
{
public:
    /// Records the time of day of this machine at `now`.
    void set_own(unix_time wall_clock, mono_time now);
    /// Records the time of day that a peer stated in a message received at
    /// `now`. The time of transit makes it a little too early.
    void add(const std::string& peer, unix_time wall_clock, mono_time now);
    /// Removes peers last heard before this time.
    void expire(mono_time before);

    /// The time of day at `t`; `set_own` must have been called.
    unix_time at(mono_time t) const;

private:
    struct sample
    {
        duration offset{}; ///< Time of day less the monotonic clock.
        mono_time received{};
    };

    duration own_offset_{};
    std::map<std::string, sample> peers_;
};

} // namespace poplar::policy
