/// Exchanges load reports with peer gateways, so that each gateway places
/// requests by the load that all of them put on the upstreams.
///
/// Reports are UDP datagrams: an outdated report is useless, and a lost one is
/// replaced by the next. A gateway that receives no reports places requests by
/// its own load alone.
#pragma once

#include "gateway/event_limit.hpp"
#include "gateway/fleet.hpp"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace poplar::gateway
{

/// A prefix block that an engine has been asked to prefill.
struct reported_block
{
    std::uint64_t upstream = 0; ///< Digest of the upstream's id.
    policy::prefix_block block;
    duration ready_in{}; ///< Until the prefill is done; zero if cached.
};

/// State of a set of store objects, as last known to a gateway.
struct followed_state
{
    std::uint64_t digest = 0; ///< Digest of the objects' keys and versions.
    duration age{};           ///< Time since the store confirmed the state.
};

/// Demand of services, each with the digest of its name.
using demand_by_service =
    std::vector<std::pair<std::uint64_t, policy::stage_demand>>;

/// Load that one gateway puts on upstreams, with the other state that it shares
/// with its peers.
struct load_report
{
    std::string sender;
    std::uint64_t process = 0; ///< Differs between processes of one sender.
    std::uint64_t number = 0;  ///< Rises with each report of a process.
    /// Load by digest of the upstream's id.
    std::vector<std::pair<std::uint64_t, policy::placed_load>> loads;
    std::vector<reported_block> blocks;
    /// Empty if the sender does not know the state of the configuration.
    std::optional<followed_state> configuration;
    std::vector<upstream_process> leaving;
    demand_by_service demand;
    std::vector<announced_limit> limits;
    std::vector<policy::block_crash> crashes;
    std::vector<policy::block_completion> completions;
    std::vector<policy::request_crash> request_crashes;
    std::vector<policy::request_completion> request_completions;
    /// Time of day at the sender since the Unix epoch; 0 if not stated.
    duration wall_clock{};
};

/// Hooks for state that other components share through the load reports.
struct load_exchange_hooks
{
    /// True if peers depend on the reports of this gateway; an idle gateway
    /// then still sends them at the full rate.
    std::function<bool()> has_dependent_peers;
    /// May add to a report before it is sent.
    std::function<void(load_report&)> before_send;
    /// Called for each report received that is newer than the sender's last.
    std::function<void(const load_report&, const asio::ip::udp::endpoint& from)>
        on_report;
    /// Called for each datagram; returns true for the messages of another
    /// component, which are not read as load reports. May throw parse_error.
    std::function<bool(std::span<const char>,
                       const asio::ip::udp::endpoint& from)>
        on_other_message =
            [](std::span<const char>, const asio::ip::udp::endpoint&)
    {
        return false;
    };
    /// Called regularly; peers last received from before `before` expired.
    std::function<void(mono_time before)> on_peers_expired;
};

std::string encode_load_report(const load_report& report);
/// Throws parse_error.
load_report decode_load_report(std::span<const char> bytes);

/// The latest report of each peer gateway, and their sums.
class peer_loads
{
public:
    /// Replaces the sender's previous report. False if the report is not newer
    /// than the previous one of the same process. Appends to `changed` the keys
    /// of upstreams whose sums may have changed.
    bool apply(const load_report& report, mono_time now,
               std::vector<std::uint64_t>& changed);
    /// Removes peers whose last report was received before this time.
    void expire(mono_time before, std::vector<std::uint64_t>& changed);
    /// Load that all peers together put on an upstream.
    policy::placed_load sum(std::uint64_t upstream) const;
    /// Demand of all peers for a service, by digest of its name.
    policy::stage_demand demand(std::uint64_t service) const;
    /// The same by sender.
    std::vector<std::pair<std::string, policy::stage_demand>>
    demand_by_sender(std::uint64_t service) const;
    std::size_t size() const
    {
        return peers_.size();
    }

private:
    struct peer
    {
        std::uint64_t process = 0;
        std::uint64_t number = 0;
        mono_time last_received{};
        absl::flat_hash_map<std::uint64_t, policy::placed_load> loads;
        demand_by_service demand;
    };

    void subtract(const peer& p, std::vector<std::uint64_t>& changed);

    std::map<std::string, peer> peers_;
    /// Load of all peers by upstream, updated incrementally because a report
    /// changes few entries.
    absl::flat_hash_map<std::uint64_t, policy::placed_load> sums_;
};

/// Sends and receives load reports. Used on the gateway's event loop only.
class load_exchange
{
public:
    /// Binds a UDP socket to `listen`; throws system_failure.
    load_exchange(asio::io_context& loop, fleet& upstreams, std::string sender,
                  const ip_address& listen);

    void start(load_exchange_hooks hooks);
    /// Replaces the set of peers that reports are sent to.
    void set_peers(const std::vector<ip_address>& peers);
    /// Adds prefix blocks to the next report: the engine's prefill of them is
    /// done in `ready_in`.
    void add_blocks(const upstream& u,
                    std::span<const policy::prefix_block> blocks,
                    duration ready_in);
    /// Sends a message of another component from the same socket. Errors are
    /// ignored, as for load reports.
    void send_datagram(const std::string& bytes,
                       const asio::ip::udp::endpoint& to);
    ip_address address() const;
    /// Peers that are registered or have sent a report.
    const std::vector<asio::ip::udp::endpoint>& peers() const
    {
        return peers_;
    }
    /// Those heard of recently; all if there is none.
    std::vector<asio::ip::udp::endpoint> live_peers() const;
    std::size_t peer_count() const
    {
        return loads_.size();
    }
    /// Demand of the callers of all gateways for a service.
    policy::stage_demand demand(const service_id& service) const;
    /// The same by instance name of the gateway.
    std::vector<std::pair<std::string, policy::stage_demand>>
    demand_by_gateway(const service_id& service) const;

private:
    asio::awaitable<void> send_regularly();
    void expire_and_send();
    asio::awaitable<void> receive();
    void apply_datagram(std::span<const char> bytes,
                        const asio::ip::udp::endpoint& from);
    void send();
    /// Applies a report received from a peer. A sender that is not registered
    /// yet becomes a peer with its first report.
    void apply_report(const load_report& report,
                      const asio::ip::udp::endpoint& from);
    /// Passes the gateways heard of recently to the fleet.
    void update_gateways();
    /// Copies the summed load of peers to the upstreams with these keys.
    void update_fleet(const std::vector<std::uint64_t>& changed);
    /// Time between reports.
    duration interval() const;
    /// Number of consecutive reports after which each peer has been sent one.
    std::size_t reports_per_cycle() const;
    /// Time after the last report of a peer at which its load expires.
    duration peer_timeout() const;

    fleet& upstreams_;
    const std::string sender_;
    const std::uint64_t process_;
    asio::io_context& loop_;
    asio::ip::udp::socket socket_;
    event_limit refused_reports_; ///< Anybody may send some.
    std::vector<asio::ip::udp::endpoint> peers_;
    /// Time of the last report from a peer.
    std::map<asio::ip::udp::endpoint, mono_time> heard_;
    load_exchange_hooks hooks_;
    std::size_t next_peer_ = 0;
    /// Blocks of the last `reports_per_cycle` reports. They are sent again, so
    /// that each peer receives all of them.
    std::deque<std::vector<reported_block>> sent_blocks_;
    /// Blocks added since the last report.
    std::vector<reported_block> pending_blocks_;
    peer_loads loads_;
    /// Peers by instance id, with the time of their last report. They are kept
    /// longer than their loads: gateways that disagree about the set would
    /// together use more than the limit of an upstream.
    std::map<std::string, mono_time> gateways_;
    std::uint64_t number_ = 0;
    bool was_idle_ = false;
    mono_time last_sent_{};
};

} // namespace poplar::gateway
