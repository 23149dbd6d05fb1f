/// Limit on the request rate that an upstream announces for all gateways
/// together. Used by gateways; takes no lock.
#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace poplar::policy
{

/// The limit as far as this gateway knows it, and the calls it has made.
class request_limit
{
public:
    /// Records that the upstream announced the limit, in requests per second,
    /// in an answer received at `at`. True if that changes the limit.
    bool announce(double per_second, mono_time at);
    /// Records that the answer to a request sent at `sent` announced no limit.
    /// True if that ends the limit; false if the limit was announced later than
    /// `sent`, since answers may overtake each other.
    bool end(mono_time sent);

    bool is_active() const
    {
        return is_active_;
    }
    /// Requests per second; meaningless while the limit is not active.
    double per_second() const
    {
        return per_second_;
    }

    /// Records a call to the upstream.
    void record_call();
    /// Returns the number of calls recorded since the last one.
    unsigned take_call_count();

private:
    bool is_active_ = false;
    double per_second_ = 0;
    mono_time announced_at_{};
    unsigned calls_ = 0;
};

} // namespace poplar::policy
