/// Time as the decision modules see it: passed in, never read by them.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace poplar
{

using duration = std::chrono::microseconds;

/// Point on a clock that goes on while the process or the machine is stopped
/// (CLOCK_BOOTTIME); comparable within one machine only.
using mono_time = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Source of the present time; tests pass their own.
using clock_source = std::function<mono_time()>;

/// Reads CLOCK_BOOTTIME, so that time spent suspended counts towards timeouts.
mono_time now();

/// Seconds since 1970 in UTC, for records read by people.
std::int64_t unix_seconds();

/// Returns the time as YYYY-MM-DDTHH:MM:SSZ.
std::string utc_text(std::int64_t seconds);

inline std::int64_t to_milliseconds(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace poplar
