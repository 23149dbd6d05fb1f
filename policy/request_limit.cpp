#include "policy/request_limit.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace poplar::policy
{

namespace
{

/// Compensates rounding when a call is admitted at the time that `admits_at`
/// returned.
constexpr double tolerance = 1e-6;

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

double limit_share(const request_limit_settings& settings, double per_second,
                   std::uint64_t key, const std::string& self,
                   std::span<const std::string> peers)
{
    const double limit = std::max(per_second, settings.min_limit);
    const double most_holders = double(peers.size()) + 1;
    const double holders =
        std::clamp(std::floor(limit / settings.min_share), 1.0, most_holders);
    const std::uint64_t own_weight = rendezvous_weight(self, key);
    const auto before_self = std::ranges::count_if(
        peers, [&](const std::string& it)
        { return rendezvous_weight(it, key) > own_weight; });
    return double(before_self) < holders ? limit / holders : 0;
}

request_limit::request_limit(const request_limit_settings& settings)
    : settings_(settings)
{
}

bool request_limit::announce(double per_second, mono_time at)
{
    learned_at_ = at;
    return set(per_second, at);
}

bool request_limit::end(mono_time sent, mono_time at)
{
    if (!is_active_ || sent < known_at_)
        return false;
    learned_at_ = at;
    return set(std::nullopt, at);
}

bool request_limit::apply_reported(std::optional<double> per_second,
                                   mono_time at)
{
    return at > known_at_ && set(per_second, at);
}

bool request_limit::set(std::optional<double> per_second, mono_time at)
{
    known_at_ = at;
    if (per_second.has_value() == is_active_ &&
        per_second.value_or(per_second_) == per_second_)
        return false;
    if (!is_active_)
    {
        share_ = 0;
        available_ = 0;
        available_at_ = at;
    }
    is_active_ = per_second.has_value();
    per_second_ = per_second.value_or(0);
    return true;
}

void request_limit::update_share(std::uint64_t upstream,
                                 const std::string& self,
                                 std::span<const std::string> peers,
                                 mono_time now)
{
    if (!is_active_)
        return;
    const std::int64_t period = (now - known_at_) / settings_.share_period;
    const double share = limit_share(
        settings_, per_second_, upstream + std::uint64_t(period), self, peers);
    available_ = share_ > 0 ? available(now) : std::min(available_, 0.0);
    available_at_ = now;
    share_ = share;
}

double request_limit::available(mono_time now) const
{
    const double most = std::max(1.0, share_ * seconds(settings_.burst));
    return std::min(most, available_ + share_ * seconds(now - available_at_));
}

bool request_limit::admits(mono_time now) const
{
    return !is_active_ || (share_ > 0 && available(now) >= 1 - tolerance);
}

std::optional<mono_time> request_limit::admits_at(mono_time now) const
{
    if (admits(now))
        return now;
    if (share_ <= 0)
        return std::nullopt;
    const double missing = 1 - available(now);
    // Rounded up, so that a call at that time is admitted.
    return now + duration(std::int64_t(std::ceil(missing / share_ * 1e6)));
}

void request_limit::record_call(mono_time now)
{
    ++calls_;
    if (!is_active_)
        return;
    available_ = available(now) - 1;
    available_at_ = now;
}

unsigned request_limit::take_call_count()
{
    return std::exchange(calls_, 0);
}

} // namespace poplar::policy
