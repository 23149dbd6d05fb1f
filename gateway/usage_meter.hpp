/// Counts the requests of client accounts that began to run.
#pragma once

#include "gateway/types.hpp"
#include "policy/clock_consensus.hpp"
#include "policy/usage_windows.hpp"

#include <optional>

namespace poplar::gateway
{

/// Counts nothing until it is enabled. Used on the gateway's event loop only.
class usage_meter
{
public:
    /// Counts by windows of this length from now on.
    void enable(duration window);

    /// Counts a request of the account that began to run at `began`. To be
    /// called once for each request.
    void count(const account_name& account, mono_time began);

    policy::usage_windows& windows()
    {
        return windows_;
    }
    policy::clock_consensus& clock()
    {
        return clock_;
    }

private:
    std::optional<duration> window_;
    policy::usage_windows windows_;
    policy::clock_consensus clock_;
};

} // namespace poplar::gateway
