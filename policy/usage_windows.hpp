/// Counts requests of client accounts by window of time, over all gateways.
///
/// Load: every request of every gateway, with thousands of accounts. A window's
/// counts are kept until its report is settled.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace poplar::policy
{

/// Number of a usage window; window k begins k window lengths after the Unix
/// epoch.
using window_number = number_id<struct usage_window_tag>;
/// Time since the Unix epoch.
using unix_time = std::chrono::microseconds;
/// Requests by account.
using account_counts = std::map<std::string, std::uint32_t>;

window_number window_at(unix_time t, duration length);
unix_time window_begin(window_number window, duration length);

/// A process of a gateway.
struct usage_source
{
    std::string gateway;
    std::uint64_t process = 0; ///< Differs between processes of one gateway.

    auto operator<=>(const usage_source&) const = default;
};

/// Not thread-safe.
class usage_windows
{
public:
    /// Counts a request of this process.
    void count(window_number window, const std::string& account);

    /// Counts of this process, by window.
    const std::map<window_number, account_counts>& own() const
    {
        return own_;
    }

    /// Takes over the counts of a peer. They are cumulative for each window, so
    /// that a lost or late message does no harm.
    void apply(const usage_source& source, window_number window,
               const account_counts& counts);

    /// Sum over this process and all peers.
    account_counts total(window_number window) const;

    /// Drops the windows before this one.
    void discard_before(window_number window);

private:
    std::map<window_number, account_counts> own_;
    std::map<window_number, std::map<usage_source, account_counts>> peers_;
    /// Windows before this one are settled; late counts for them are dropped.
    window_number first_;
};

} // namespace poplar::policy
