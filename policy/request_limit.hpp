/// Limit on the request rate that an upstream announces for all gateways
/// together, and the share of it that one gateway may use. Used by gateways;
/// takes no lock.
///
/// A few gateways, chosen by rendezvous hashing, divide the limit among them;
/// the others send nothing. With a small share for each gateway instead, the
/// first request of each would together exceed a low limit.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace poplar::policy
{

struct request_limit_settings
{
    /// Requests per second that a share has at least, if the limit allows.
    double min_share = 2;
    /// Lowest limit that is applied, in requests per second. An upstream that
    /// gets no request could not announce the end of its limit.
    double min_limit = 0.25;
    /// Requests that may be sent at once, as time at the rate of the share; at
    /// least one request.
    duration burst{std::chrono::milliseconds(100)};
    /// Without news of the limit for this time, the shares pass to other
    /// gateways, since those that hold them may have no requests to send. It
    /// must be longer than news takes from gateway to gateway.
    duration share_period{std::chrono::seconds(2)};
};

/// Returns the share of a limit that `self` may use, in requests per second;
/// zero for most members of a large set. The shares of all members add up to
/// `per_second` where their sets are equal. `key` identifies the upstream and
/// the period.
double limit_share(const request_limit_settings& settings, double per_second,
                   std::uint64_t key, const std::string& self,
                   std::span<const std::string> peers);

/// The limit of one upstream, as far as this gateway knows it, with the calls
/// that this gateway has made.
class request_limit
{
public:
    explicit request_limit(const request_limit_settings& settings = {});

    /// Records that the upstream announced the limit, in requests per second,
    /// in an answer received at `at`. True if that changes the limit.
    bool announce(double per_second, mono_time at);
    /// Records that the answer to a request sent at `sent` announced no limit.
    /// True if that ends the limit; false if the limit was announced later than
    /// `sent`, since answers may overtake each other.
    bool end(mono_time sent, mono_time at);
    /// Records what a peer gateway learned from an answer at `at`; ignored if
    /// this gateway knows something newer. True if that changes the limit.
    bool apply_reported(std::optional<double> per_second, mono_time at);

    bool is_active() const
    {
        return is_active_;
    }
    /// Requests per second; meaningless while the limit is not active.
    double per_second() const
    {
        return per_second_;
    }
    /// True if the latest news came from an answer to this gateway.
    bool is_own_news() const
    {
        return learned_at_ == known_at_ && learned_at_ != mono_time{};
    }
    /// When this gateway itself last received an answer that announced or ended
    /// the limit; zero if never.
    mono_time learned_at() const
    {
        return learned_at_;
    }

    /// Determines the share of this gateway anew.
    void update_share(std::uint64_t upstream, const std::string& self,
                      std::span<const std::string> peers, mono_time now);
    double share() const
    {
        return share_;
    }

    /// False if another call would exceed the share.
    bool admits(mono_time now) const;
    /// When a call is admitted, if none is made before; empty if this gateway
    /// has no share.
    std::optional<mono_time> admits_at(mono_time now) const;
    /// Records a call to the upstream, admitted or not.
    void record_call(mono_time now);
    /// Returns the number of calls recorded since the last one.
    unsigned take_call_count();

private:
    bool set(std::optional<double> per_second, mono_time at);
    double available(mono_time now) const;

    request_limit_settings settings_;
    bool is_active_ = false;
    double per_second_ = 0;
    mono_time known_at_{};   ///< Of the latest news, also from peers.
    mono_time learned_at_{}; ///< Of the latest news from an own answer.
    double share_ = 0;       ///< Requests per second.
    double available_ = 0;   ///< Calls admitted at `available_at_`; may be < 0.
    mono_time available_at_{};
    unsigned calls_ = 0;
};

} // namespace poplar::policy
