/// Rate limit that allows a burst of one second.
#pragma once

#include "base/time.hpp"

#include <algorithm>

namespace poplar::standin_platform
{

class token_bucket
{
public:
    explicit token_bucket(double per_second)
        : rate_(per_second), tokens_(per_second)
    {
    }

    void set_rate(double per_second)
    {
        rate_ = per_second;
        tokens_ = std::min(tokens_, rate_);
    }

    bool take(mono_time at)
    {
        const std::chrono::duration<double> passed = at - last_;
        tokens_ = std::min(rate_, tokens_ + rate_ * passed.count());
        last_ = at;
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

    double rate() const
    {
        return rate_;
    }

private:
    double rate_;
    double tokens_;
    mono_time last_;
};

} // namespace poplar::standin_platform
