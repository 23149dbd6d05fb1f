/// Sends the usage counts of this gateway to those that may report them, and
/// collects the counts of its peers.
///
/// Counts go to the first live gateways by name and to the holder of the duty
/// lease, so that the next holder knows them when the present one fails. They
/// are cumulative and sent several times; datagrams may be lost.
#pragma once

#include "gateway/load_exchange.hpp"
#include "gateway/usage_meter.hpp"
#include "gateway/usage_report.hpp"

#include <map>

namespace poplar::gateway
{

/// What the holder's duties need to know of the gateways.
struct usage_view
{
    policy::unix_time now{};
    policy::unix_time started{}; ///< When this process began to serve.
    /// Difference between the time of day and the monotonic clock.
    duration clock_offset{};
    /// Time since another gateway last announced that it holds the lease, or
    /// since the start of this process.
    duration holder_silence{};
    /// Position of this gateway among the live ones, by name.
    std::size_t index = 0;
    std::size_t gateways = 1; ///< Live ones, this one included.
};

/// Used on the gateway's event loop only.
class usage_exchange
{
public:
    usage_exchange(asio::io_context& loop, usage_meter& meter,
                   load_exchange& loads, std::string sender);

    /// Starts to send and to count by windows of this length.
    void start(duration window);
    bool is_started() const
    {
        return window_ > duration::zero();
    }

    /// Adds the time of day to a load report that is about to be sent.
    void stamp(load_report& report) const;
    /// To be called for each load report of a peer.
    void on_load_report(const load_report& report,
                        const asio::ip::udp::endpoint& from);
    /// To be called for each datagram with the identifier of usage reports.
    void on_datagram(std::span<const char> bytes);

    /// Announces to all peers whether this gateway holds the duty lease, and
    /// which windows are settled.
    void set_holder(bool is_holder,
                    std::optional<policy::window_number> fixed_through);

    /// True if another live gateway has announced that it holds the lease.
    bool is_held_elsewhere() const;
    usage_view view() const;
    /// Counts of the windows over all gateways.
    std::map<policy::window_number, policy::account_counts>
    totals(policy::window_number first, policy::window_number last) const;
    /// Time between two messages, by the number of gateways.
    duration interval() const;
    /// Time after the end of a window until all counts should have arrived.
    duration settle_time() const;

private:
    struct peer
    {
        asio::ip::udp::endpoint at;
        mono_time heard{};
    };

    asio::awaitable<void> run();
    void send_regularly();
    void send_counts();
    void announce();
    void settle(policy::window_number fixed_through);
    bool is_live(const peer& p) const;
    /// Peers that get the counts of this gateway.
    std::vector<asio::ip::udp::endpoint> receivers() const;
    std::size_t index() const;

    asio::io_context& loop_;
    usage_meter& meter_;
    load_exchange& loads_;
    const std::string sender_;
    const std::uint64_t process_;
    const mono_time started_;
    duration window_{};
    std::map<std::string, peer> peers_;
    std::string holder_; ///< Last peer that announced itself.
    mono_time holder_heard_{};
    bool is_holder_ = false;
    std::optional<policy::window_number> fixed_through_;
};

} // namespace poplar::gateway
