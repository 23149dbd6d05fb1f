/// Exchanges load reports with the other gateways, so that each places requests
/// with the work of all in view.
///
/// Reports are datagrams: an old one is of no use, and a lost one is replaced
/// by the next. Gateways that hear nothing of each other place by their own
/// work alone.
#pragma once

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

struct load_report_part
{
    std::uint64_t upstream = 0; ///< Digest of its id.
    policy::prefix_block part;
    duration ready_in{}; ///< Until the engine has read it.
};

/// What a gateway knows of objects in the store.
struct followed_state
{
    std::uint64_t digest = 0;
    duration age{}; ///< Since its confirmation.
};

/// By digest of the service's name.
using demand_by_service =
    std::vector<std::pair<std::uint64_t, policy::stage_demand>>;

struct load_report
{
    std::string sender;
    std::uint64_t process = 0;
    std::uint64_t number = 0;
    std::vector<std::pair<std::uint64_t, policy::placed_load>> loads;
    std::vector<load_report_part> parts;
    std::optional<followed_state> configuration;
    std::vector<leaving_upstream> leaving;
    demand_by_service demand;
};

/// Connects the reports to what else gateways tell each other.
struct load_exchange_hooks
{
    /// True when others wait for the reports of this gateway.
    std::function<bool()> is_awaited;
    std::function<void(load_report&)> before_send;
    std::function<void(const load_report&)> heard;
    /// Gateways last heard before are no longer counted.
    std::function<void(mono_time before)> forgotten;
};

std::string encode_load_report(const load_report& report);
/// Throws parse_error.
load_report decode_load_report(std::span<const char> bytes);

/// The latest report of each other gateway.
class peer_loads
{
public:
    /// False when it is older than one that came before. Adds the upstreams
    /// whose sums may have changed.
    bool apply(const load_report& report, mono_time now,
               std::vector<std::uint64_t>& changed);
    /// Forgets gateways that were last heard before.
    void forget(mono_time before, std::vector<std::uint64_t>& changed);
    policy::placed_load sum(std::uint64_t upstream) const;
    /// Of all gateways that are heard.
    policy::stage_demand demand(std::uint64_t service) const;
    std::size_t size() const
    {
        return peers_.size();
    }

private:
    struct peer
    {
        std::uint64_t process = 0;
        std::uint64_t number = 0;
        mono_time heard{};
        absl::flat_hash_map<std::uint64_t, policy::placed_load> loads;
        demand_by_service demand;
    };

    void take_out(const peer& p, std::vector<std::uint64_t>& changed);

    std::map<std::string, peer> peers_;
    /// Of all peers. A report changes few of them.
    absl::flat_hash_map<std::uint64_t, policy::placed_load> sums_;
};

/// Used on the gateway's loop only.
class load_exchange
{
public:
    /// Listens; throws system_failure.
    load_exchange(asio::io_context& loop, fleet& upstreams, std::string sender,
                  const ip_address& listen);

    void start(load_exchange_hooks hooks);
    /// Replaces the gateways that reports are sent to.
    void set_peers(const std::vector<ip_address>& peers);
    /// Reports that the engine will have read these parts in `ready_in`.
    void add_parts(const upstream& u,
                   std::span<const policy::prefix_block> parts,
                   duration ready_in);
    ip_address address() const;
    std::size_t heard_peers() const
    {
        return loads_.size();
    }
    /// What callers of all gateways ask of a service.
    policy::stage_demand demand(const service_id& service) const;

private:
    asio::awaitable<void> send_regularly();
    asio::awaitable<void> receive();
    void send();
    /// A gateway whose registration is not known yet counts from its first
    /// report on.
    void take(const load_report& report, const asio::ip::udp::endpoint& from);
    void update_fleet(const std::vector<std::uint64_t>& changed);
    duration interval() const;
    /// Reports after which each peer has been sent one.
    std::size_t rounds() const;
    /// A gateway that was silent for longer is no longer counted.
    duration peer_timeout() const;

    fleet& upstreams_;
    const std::string sender_;
    const std::uint64_t process_;
    asio::io_context& loop_;
    asio::ip::udp::socket socket_;
    std::vector<asio::ip::udp::endpoint> peers_;
    load_exchange_hooks hooks_;
    std::size_t next_peer_ = 0;
    /// Those of the last reports, so that each peer hears of all.
    std::deque<std::vector<load_report_part>> sent_parts_;
    std::vector<load_report_part> parts_; ///< Since the last report.
    peer_loads loads_;
    std::uint64_t number_ = 0;
    bool was_idle_ = false;
    mono_time sent_{};
};

} // namespace poplar::gateway
