/// Bounds the volume of a log event whose causes others control.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <utility>

namespace poplar::gateway
{

/// Lets an event be logged once in `interval`.
class event_limit
{
public:
    explicit event_limit(duration interval = std::chrono::seconds(1))
        : interval_(interval)
    {
    }

    /// Counts one occurrence; returns the number of occurrences since the last
    /// log line if one is due.
    std::optional<std::uint64_t> count(mono_time now)
    {
        ++occurrences_;
        if (logged_ && now - *logged_ < interval_)
            return std::nullopt;
        logged_ = now;
        return std::exchange(occurrences_, 0);
    }

private:
    const duration interval_;
    std::uint64_t occurrences_ = 0;
    std::optional<mono_time> logged_;
};

} // namespace poplar::gateway
