#include "gateway/usage_exchange.hpp"

#include "gateway/loop_guard.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <ranges>

namespace poplar::gateway
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration min_interval = milliseconds(500);
/// Bounds what a receiver handles to 200 messages a second.
constexpr duration interval_per_peer = milliseconds(5);
constexpr duration min_settle_time = milliseconds(1500);
constexpr duration max_settle_time = seconds(3);
/// Counts of a window are sent for this long after its end, so that two lost
/// datagrams in a row do no harm.
constexpr duration resend_time = seconds(2);
/// Gateways that receive the counts of all: the holder and the two that take
/// over when it fails.
constexpr std::size_t receiver_count = 3;
/// Load reports arrive at least every half second.
constexpr duration live_time = seconds(3);
/// Windows are kept this long while no gateway reports them.
constexpr duration max_window_age = seconds(75);

policy::unix_time wall_clock()
{
    return std::chrono::duration_cast<policy::unix_time>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

usage_exchange::usage_exchange(asio::io_context& loop, usage_meter& meter,
                               load_exchange& loads, std::string sender)
    : loop_(loop), meter_(meter), loads_(loads), sender_(std::move(sender)),
      process_(make_request_id().low), started_(now())
{
}

void usage_exchange::start(duration window)
{
    window_ = window;
    meter_.clock().set_own(wall_clock(), now());
    meter_.enable(window);
    asio::co_spawn(loop_, run(), log_failure("usage_exchange"));
}

asio::awaitable<void> usage_exchange::run()
{
    asio::steady_timer timer(loop_);
    while (true)
    {
        timer.expires_after(interval());
        co_await timer.async_wait(asio::use_awaitable);
        run_step("usage_exchange", [this] { send_regularly(); });
    }
}

void usage_exchange::send_regularly()
{
    meter_.clock().set_own(wall_clock(), now());
    meter_.clock().expire(now() - live_time);
    std::erase_if(peers_, [&](const auto& it) { return !is_live(it.second); });
    meter_.windows().discard_before(
        policy::window_at(meter_.clock().at(now()) - max_window_age, window_));
    send_counts();
    if (is_holder_)
        announce();
}

duration usage_exchange::interval() const
{
    return std::max<duration>(min_interval,
                              interval_per_peer * std::int64_t(peers_.size()));
}

duration usage_exchange::settle_time() const
{
    return std::clamp<duration>(2 * interval(), min_settle_time,
                                max_settle_time);
}

bool usage_exchange::is_live(const peer& p) const
{
    return now() - p.heard < live_time;
}

std::size_t usage_exchange::index() const
{
    return std::size_t(std::ranges::count_if(
        peers_, [&](const auto& it)
        { return is_live(it.second) && it.first < sender_; }));
}

std::vector<asio::ip::udp::endpoint> usage_exchange::receivers() const
{
    std::vector<asio::ip::udp::endpoint> endpoints;
    std::size_t position = 0; // Among all live gateways, this one included.
    bool is_self_counted = false;
    for (const auto& [name, it] : peers_)
    {
        if (!is_live(it))
            continue;
        if (!is_self_counted && sender_ < name)
        {
            is_self_counted = true;
            ++position;
        }
        if (position++ < receiver_count || name == holder_)
            endpoints.push_back(it.at);
    }
    return endpoints;
}

void usage_exchange::send_counts()
{
    usage_message message{{sender_, process_}, {}, is_holder_, fixed_through_};
    const policy::window_number oldest = policy::window_at(
        meter_.clock().at(now()) - resend_time - interval(), window_);
    const auto& own = meter_.windows().own();
    std::copy(own.lower_bound(oldest), own.end(),
              std::back_inserter(message.windows));
    if (message.windows.empty())
        return;
    for (const std::string& bytes : encode_usage(message))
        for (const auto& it : receivers())
            loads_.send_datagram(bytes, it);
}

void usage_exchange::announce()
{
    const usage_message message{
        {sender_, process_}, {}, is_holder_, fixed_through_};
    for (const std::string& bytes : encode_usage(message))
        for (const auto& [name, it] : peers_)
            loads_.send_datagram(bytes, it.at);
}

void usage_exchange::stamp(load_report& report) const
{
    if (is_started())
        report.wall_clock = wall_clock();
}

bool usage_exchange::is_held_elsewhere() const
{
    return !is_holder_ && holder_heard_ != mono_time{} &&
           now() - holder_heard_ < live_time;
}

void usage_exchange::on_load_report(const load_report& report,
                                    const asio::ip::udp::endpoint& from)
{
    if (!is_started() || report.sender == sender_)
        return;
    peers_[report.sender] = {from, now()};
    if (report.wall_clock > policy::unix_time::zero())
        meter_.clock().add(report.sender, report.wall_clock, now());
}

void usage_exchange::on_datagram(std::span<const char> bytes)
{
    if (!is_started())
        return;
    const usage_message message = decode_usage(bytes);
    if (message.sender.gateway == sender_ && message.sender.process == process_)
        return;
    for (const auto& [window, counts] : message.windows)
        meter_.windows().apply(message.sender, window, counts);
    if (!message.is_holder)
        return;
    holder_ = message.sender.gateway;
    holder_heard_ = now();
    if (message.fixed_through)
        settle(*message.fixed_through);
}

void usage_exchange::settle(policy::window_number fixed_through)
{
    fixed_through_ = std::max(fixed_through_, std::optional(fixed_through));
    meter_.windows().discard_before(
        policy::window_number(fixed_through_->value + 1));
}

void usage_exchange::set_holder(
    bool is_holder, std::optional<policy::window_number> fixed_through)
{
    is_holder_ = is_holder;
    if (fixed_through)
        settle(*fixed_through);
    if (is_holder_)
        announce();
}

usage_view usage_exchange::view() const
{
    usage_view v;
    const mono_time t = now();
    policy::clock_consensus& clock = meter_.clock();
    v.now = clock.at(t);
    v.started = clock.at(started_);
    v.clock_offset = v.now - t.time_since_epoch();
    v.holder_silence =
        t - (holder_heard_ == mono_time{} ? started_ : holder_heard_);
    v.index = index();
    v.gateways = 1 + std::size_t(std::ranges::count_if(
                         peers_ | std::views::values,
                         [&](const peer& it) { return is_live(it); }));
    return v;
}

std::map<policy::window_number, policy::account_counts>
usage_exchange::totals(policy::window_number first,
                       policy::window_number last) const
{
    std::map<policy::window_number, policy::account_counts> sums;
    for (policy::window_number w = first; w <= last;
         w = policy::window_number(w.value + 1))
        sums[w] = meter_.windows().total(w);
    return sums;
}

} // namespace poplar::gateway
