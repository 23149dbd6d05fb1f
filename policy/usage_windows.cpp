#include "policy/usage_windows.hpp"

#include <algorithm>

namespace poplar::policy
{

window_number window_at(unix_time t, duration length)
{
    const auto n = std::max<std::int64_t>(t.count(), 0) / length.count();
    return window_number(std::uint64_t(n));
}

unix_time window_begin(window_number window, duration length)
{
    return length * std::int64_t(window.value);
}

void usage_windows::count(window_number window, const std::string& account)
{
    if (window >= first_)
        ++own_[window][account];
}

void usage_windows::apply(const usage_source& source, window_number window,
                          const account_counts& counts)
{
    if (window < first_)
        return;
    account_counts& known = peers_[window][source];
    for (const auto& [account, n] : counts)
    {
        std::uint32_t& it = known[account];
        it = std::max(it, n); // Messages may overtake each other.
    }
}

account_counts usage_windows::total(window_number window) const
{
    account_counts sum;
    if (const auto it = own_.find(window); it != own_.end())
        sum = it->second;
    const auto peers = peers_.find(window);
    if (peers == peers_.end())
        return sum;
    for (const auto& [source, counts] : peers->second)
        for (const auto& [account, n] : counts)
            sum[account] += n;
    return sum;
}

void usage_windows::discard_before(window_number window)
{
    first_ = std::max(first_, window);
    own_.erase(own_.begin(), own_.lower_bound(first_));
    peers_.erase(peers_.begin(), peers_.lower_bound(first_));
}

} // namespace poplar::policy
