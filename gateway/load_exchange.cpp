#include "gateway/load_exchange.hpp"

#include "base/digest.hpp"
#include "gateway/loop_guard.hpp"
#include "observe/log.hpp"
#include "wire/generated/load_report_generated.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <ranges>

namespace poplar::gateway
{

namespace
{

namespace fb = wire::fb;

/// Largest payload of a UDP datagram over IPv4.
constexpr std::size_t max_datagram = 65507; // bytes
/// Prefix blocks in one report; more are dropped. Another gateway may then have
/// a dropped block prefilled a second time.
constexpr std::size_t max_blocks = 500;
static_assert(max_blocks * sizeof(fb::placed_part) < max_datagram / 2,
              "the other half is reserved for the loads of upstreams");
/// Time between reports, per peer: while the interval is within the bounds
/// below, the total rate of datagrams grows with the number of gateways, not
/// with its square.
constexpr duration interval_per_peer = std::chrono::milliseconds(15);
constexpr duration min_interval = std::chrono::milliseconds(40);
constexpr duration max_interval = std::chrono::milliseconds(400);
/// Time between reports while the gateway is idle.
constexpr duration idle_interval = std::chrono::milliseconds(500);
/// Least time without reports after which a peer's load expires. It is longer
/// if each peer is sent only one of several reports.
constexpr duration min_peer_timeout = std::chrono::milliseconds(1500);
constexpr int cycles_to_time_out = 3;
/// Number of peers that one report is sent to; the next report goes to the next
/// peers in turn. This bounds what a gateway sends and receives per second,
/// whatever the number of gateways.
constexpr std::size_t max_receivers = 70;
/// Limit of leaving upstreams in one report, 16 bytes each. Fewer than this are
/// expected to leave within the time for which they are reported; further ones
/// are left out.
constexpr std::size_t max_leaving = 200;
/// Limit of announced request limits in one report, 32 bytes each; further ones
/// are left out.
constexpr std::size_t max_limits = 200;
/// Limits of block crashes and completions in one report, 32 and 16 bytes
/// each; further ones are left out.
constexpr std::size_t max_crashes = 40;
/// The same for requests. One crash implicates all requests of an upstream.
constexpr std::size_t max_request_crashes = 200;
/// Crashes and completions are in every report for the first time, so that all
/// peers learn of them soon, and then in one of several, for peers that start.
constexpr duration crash_news_time = std::chrono::seconds(2);
constexpr duration crash_memory = std::chrono::minutes(30);
constexpr std::uint64_t reports_per_crash_repeat = 16;
/// Time without reports after which a gateway no longer has a share of the
/// request limits of upstreams.
constexpr duration gateway_timeout = std::chrono::seconds(10);

bool is_zero(const policy::placed_load& load)
{
    return load.prefill_tokens_ahead(policy::load_rank_count) ==
               token_count(0) &&
           load.kv_tokens == token_count(0) && load.in_flight == 0;
}

} // namespace

void peer_loads::subtract(const peer& p, std::vector<std::uint64_t>& changed)
{
    for (const auto& [upstream, load] : p.loads)
    {
        changed.push_back(upstream);
        // A sum of zero is not kept, so that there is none for a load of zero.
        const auto it = sums_.find(upstream);
        if (it == sums_.end())
            continue;
        it->second -= load;
        if (is_zero(it->second))
            sums_.erase(it);
    }
}

bool peer_loads::apply(const load_report& report, mono_time now,
                       std::vector<std::uint64_t>& changed)
{
    peer& p = peers_[report.sender];
    if (p.process == report.process && p.number >= report.number)
        return false;
    p.process = report.process;
    p.number = report.number;
    p.last_received = now;
    subtract(p, changed);
    p.demand = report.demand;
    p.loads.clear();
    p.loads.insert(report.loads.begin(), report.loads.end());
    for (const auto& [upstream, load] : p.loads)
    {
        sums_[upstream] += load;
        changed.push_back(upstream);
    }
    return true;
}

void peer_loads::expire(mono_time before, std::vector<std::uint64_t>& changed)
{
    std::erase_if(peers_,
                  [&](const auto& it)
                  {
                      const bool is_silent = it.second.last_received < before;
                      if (is_silent)
                          subtract(it.second, changed);
                      return is_silent;
                  });
}

policy::placed_load peer_loads::sum(std::uint64_t upstream) const
{
    const auto it = sums_.find(upstream);
    return it == sums_.end() ? policy::placed_load() : it->second;
}

policy::stage_demand peer_loads::demand(std::uint64_t service) const
{
    policy::stage_demand sum;
    for (const auto& [sender, p] : peers_)
        for (const auto& [of, it] : p.demand)
            if (of == service)
                sum += it;
    return sum;
}

std::vector<std::pair<std::string, policy::stage_demand>>
peer_loads::demand_by_sender(std::uint64_t service) const
{
    std::vector<std::pair<std::string, policy::stage_demand>> demands;
    for (const auto& [sender, p] : peers_)
        for (const auto& [of, it] : p.demand)
            if (of == service)
                demands.emplace_back(sender, it);
    return demands;
}

load_exchange::load_exchange(asio::io_context& loop, fleet& upstreams,
                             std::string sender, const ip_address& listen)
    : upstreams_(upstreams), sender_(std::move(sender)),
      process_(make_request_id().low), loop_(loop), socket_(loop)
{
    const asio::ip::udp::endpoint at(asio::ip::make_address(listen.host),
                                     listen.port);
    error_code ec;
    ec = socket_.open(at.protocol(), ec);
    if (!ec)
        ec = socket_.bind(at, ec);
    if (ec)
        throw system_failure("bind " + to_string(listen), ec.value());
    socket_.non_blocking(true);
}

ip_address load_exchange::address() const
{
    const auto at = socket_.local_endpoint();
    return {at.address().to_string(), at.port()};
}

void load_exchange::start(load_exchange_hooks hooks)
{
    hooks_ = std::move(hooks);
    asio::co_spawn(loop_, send_regularly(), log_failure("send_reports"));
    asio::co_spawn(loop_, receive(), log_failure("receive_reports"));
}

policy::stage_demand load_exchange::demand(const service_id& service) const
{
    const auto it = upstreams_.services().find(service);
    policy::stage_demand sum = loads_.demand(digest(service.value));
    if (it != upstreams_.services().end())
        sum += it->second.demand.value(now());
    return sum;
}

std::vector<std::pair<std::string, policy::stage_demand>>
load_exchange::demand_by_gateway(const service_id& service) const
{
    auto demands = loads_.demand_by_sender(digest(service.value));
    const auto it = upstreams_.services().find(service);
    if (it != upstreams_.services().end())
        demands.emplace_back(sender_, it->second.demand.value(now()));
    return demands;
}

void load_exchange::set_peers(const std::vector<ip_address>& peers)
{
    peers_.clear();
    const ip_address self = address();
    for (const ip_address& it : peers)
        if (it != self)
            peers_.emplace_back(asio::ip::make_address(it.host), it.port);
    observe::log(observe::event::gateway_peers_changed,
                 {{"peers", peers_.size()}});
}

void load_exchange::add_blocks(const upstream& u,
                               std::span<const policy::prefix_block> blocks,
                               duration ready_in)
{
    const std::size_t limit =
        max_blocks / std::max<std::size_t>(reports_per_cycle(), 1);
    if (pending_blocks_.size() + blocks.size() > limit)
        return;
    for (const policy::prefix_block& it : blocks)
        pending_blocks_.push_back({u.key, it, ready_in});
}

std::vector<asio::ip::udp::endpoint> load_exchange::live_peers() const
{
    if (heard_.empty())
        return peers_;
    std::vector<asio::ip::udp::endpoint> live;
    std::ranges::copy(heard_ | std::views::keys, std::back_inserter(live));
    return live;
}

duration load_exchange::interval() const
{
    return std::clamp(interval_per_peer * std::int64_t(peers_.size()),
                      min_interval, max_interval);
}

std::size_t load_exchange::reports_per_cycle() const
{
    return (peers_.size() + max_receivers - 1) / max_receivers;
}

duration load_exchange::peer_timeout() const
{
    return std::max(min_peer_timeout,
                    interval() *
                        std::int64_t(cycles_to_time_out * reports_per_cycle()));
}

asio::awaitable<void> load_exchange::send_regularly()
{
    asio::steady_timer timer(loop_);
    while (true)
    {
        timer.expires_after(interval());
        co_await timer.async_wait(asio::use_awaitable);
        run_step("send_reports", [this] { expire_and_send(); });
    }
}

void load_exchange::expire_and_send()
{
    const mono_time cutoff = now() - peer_timeout();
    std::vector<std::uint64_t> changed;
    loads_.expire(cutoff, changed);
    std::erase_if(heard_, [&](const auto& it) { return it.second < cutoff; });
    update_fleet(changed);
    hooks_.on_peers_expired(cutoff);
    update_gateways();
    if (!peers_.empty())
        send();
}

void load_exchange::send()
{
    load_report report;
    report.sender = sender_;
    report.process = process_;
    for (const auto& [id, u] : upstreams_.all())
        if (!is_zero(u->placed.own_load))
            report.loads.emplace_back(u->key, u->placed.own_load);
    report.leaving = upstreams_.leaving(max_leaving, now());
    report.limits = upstreams_.announced_limits(max_limits, now());
    for (const auto& [name, it] : upstreams_.services())
        if (has_engines(it))
            report.demand.emplace_back(digest(name.value),
                                       it.demand.value(now()));
    const bool repeats = number_ % reports_per_crash_repeat == 0;
    const mono_time since = now() - crash_news_time;
    report.crashes = upstreams_.fatal_blocks().crashes(
        repeats ? now() - crash_memory : since, max_crashes);
    report.completions =
        upstreams_.fatal_blocks().completions(since, max_crashes);
    const auto& requests = upstreams_.fatal_requests();
    report.request_crashes = requests.crashes(since, max_request_crashes);
    report.request_completions =
        requests.completions(since, max_request_crashes);
    sent_blocks_.push_back(std::exchange(pending_blocks_, {}));
    while (sent_blocks_.size() > std::max<std::size_t>(reports_per_cycle(), 1))
        sent_blocks_.pop_front();
    for (const auto& it : sent_blocks_)
        report.blocks.insert(report.blocks.end(), it.begin(), it.end());
    const bool is_idle = report.loads.empty() && report.blocks.empty() &&
                         report.leaving.empty() && report.crashes.empty() &&
                         report.request_crashes.empty() &&
                         !hooks_.has_dependent_peers();
    if (is_idle && was_idle_ && now() - last_sent_ < idle_interval)
        return;
    was_idle_ = is_idle;
    last_sent_ = now();
    report.number = ++number_;
    hooks_.before_send(report);
    const std::string bytes = encode_load_report(report);
    for (std::size_t n = std::min(peers_.size(), max_receivers); n > 0; --n)
    {
        next_peer_ = (next_peer_ + 1) % peers_.size();
        send_datagram(bytes, peers_[next_peer_]);
    }
}

void load_exchange::send_datagram(const std::string& bytes,
                                  const asio::ip::udp::endpoint& to)
{
    // Errors are ignored: the next message replaces one that was not sent.
    error_code ignored;
    socket_.send_to(asio::buffer(bytes), to, 0, ignored);
}

asio::awaitable<void> load_exchange::receive()
{
    std::vector<char> buf(max_datagram);
    while (true)
    {
        error_code ec;
        asio::ip::udp::endpoint from;
        const std::size_t n = co_await socket_.async_receive_from(
            asio::buffer(buf), from,
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec)
            continue;
        apply_datagram({buf.data(), n}, from);
    }
}

/// No datagram may end the coroutine that receives them.
void load_exchange::apply_datagram(std::span<const char> bytes,
                                   const asio::ip::udp::endpoint& from)
{
    try
    {
        if (!hooks_.on_other_message(bytes, from))
            apply_report(decode_load_report(bytes), from);
    }
    catch (const std::exception& failure)
    {
        if (const auto refused = refused_reports_.count(now()))
            observe::log(observe::event::gateway_load_report_refused,
                         {{"from", from.address().to_string()},
                          {"reason", failure.what()},
                          {"reports", *refused}});
    }
}

void load_exchange::apply_report(const load_report& report,
                                 const asio::ip::udp::endpoint& from)
{
    std::vector<std::uint64_t> changed;
    if (!loads_.apply(report, now(), changed))
        return;
    if (std::ranges::find(peers_, from) == peers_.end())
        peers_.push_back(from);
    heard_[from] = now();
    hooks_.on_report(report, from);
    upstreams_.apply_reported_leaving(report.leaving, now());
    if (report.sender != sender_ &&
        gateways_.insert_or_assign(report.sender, now()).second)
        update_gateways();
    upstreams_.apply_reported_limits(report.limits, now());
    upstreams_.apply_reported_crashes(report.crashes, report.completions);
    upstreams_.apply_reported_crashes(report.request_crashes,
                                      report.request_completions);
    for (const reported_block& it : report.blocks)
        if (const upstream_ptr u = upstreams_.find_by_key(it.upstream))
            u->placed.cache.add({&it.block, 1}, now() + it.ready_in);
    update_fleet(changed);
}

void load_exchange::update_gateways()
{
    const mono_time cutoff = now() - gateway_timeout;
    std::erase_if(gateways_,
                  [&](const auto& it) { return it.second < cutoff; });
    std::vector<std::string> peers;
    std::ranges::copy(gateways_ | std::views::keys, std::back_inserter(peers));
    upstreams_.set_gateways(sender_, std::move(peers), now());
}

void load_exchange::update_fleet(const std::vector<std::uint64_t>& changed)
{
    for (const std::uint64_t key : changed)
        if (const upstream_ptr u = upstreams_.find_by_key(key))
            u->placed.peer_load = loads_.sum(key);
}

} // namespace poplar::gateway
