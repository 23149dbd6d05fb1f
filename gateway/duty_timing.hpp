/// Times by which gateways take over duties from each other.
#pragma once

#include "base/time.hpp"

namespace poplar::gateway
{

/// Announcements of the holder come every half second; three may be lost.
inline constexpr duration holder_silence_limit =
    std::chrono::milliseconds(1800);
/// Each further gateway waits this much longer before it takes over, so that
/// one of them acquires the lease first.
inline constexpr duration duty_takeover_delay = std::chrono::milliseconds(1200);
/// Interval of attempts to acquire the lease while another process may hold it.
inline constexpr duration lease_acquire_interval = std::chrono::seconds(1);
/// A holder that cannot reach the platform's API in this many calls lets
/// another gateway try.
inline constexpr unsigned max_unreachable_calls = 2;

} // namespace poplar::gateway
