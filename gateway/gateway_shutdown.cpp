#include "gateway/gateway.hpp"
#include "observe/log.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

namespace poplar::gateway
{

namespace
{

using observe::event;

constexpr duration drain_poll = std::chrono::milliseconds(50);
/// Time for the last answers before all connections are closed. An attempt to
/// connect to an upstream, which is not interrupted, takes up to 400 ms.
constexpr duration last_answers_timeout = std::chrono::milliseconds(450);
/// Time for closed sessions to end. They end as soon as the loop has run their
/// handlers.
constexpr duration close_timeout = std::chrono::milliseconds(100);
constexpr duration close_poll = std::chrono::milliseconds(5);
/// A longer interval between two checks is a suspension of the process, in
/// which the loop did not run either; it counts as this time.
constexpr duration max_poll_time = std::chrono::milliseconds(50);
/// Time for the first request of a new connection to arrive.
constexpr duration first_request_time = std::chrono::milliseconds(100);

} // namespace

unsigned gateway::count_busy_sessions()
{
    return asio::post(loop_, asio::use_future(
                                 [this]
                                 {
                                     return unsigned(std::ranges::count_if(
                                         sessions_, [](const auto& it)
                                         { return !it->is_idle(); }));
                                 }))
        .get();
}

void gateway::stop_store_work()
{
    control_.reset();
    store_.stop_watches();
    // Moved out on the loop, which uses the watchers, and destroyed here: their
    // threads may wait for the loop.
    asio::post(loop_, asio::use_future(
                          [this]
                          {
                              state_.upstreams.set_crash_hooks({});
                              return std::pair(
                                  std::move(record_writer_),
                                  std::array{std::move(configuration_watcher_),
                                             std::move(upstream_watcher_),
                                             std::move(gateway_watcher_),
                                             std::move(fatal_request_watcher_),
                                             std::move(version_watcher_)});
                          }))
        .get();
}

/// Returns the number of open sessions, including those just closed.
std::size_t gateway::close_idle_sessions(bool closes_new)
{
    return asio::post(loop_, asio::use_future(
                                 [this, closes_new]
                                 {
                                     for (const auto& it : sessions_)
                                         if (it->is_idle() &&
                                             (closes_new || !it->is_new()))
                                             it->close();
                                     return sessions_.size();
                                 }))
        .get();
}

void gateway::wait_for_sessions(duration limit)
{
    duration waited{};
    mono_time last = now();
    while (close_idle_sessions(waited >= first_request_time) > 0 &&
           waited < limit)
    {
        std::this_thread::sleep_for(close_poll);
        const mono_time t = now();
        waited += std::min(t - std::exchange(last, t), max_poll_time);
    }
}

/// Open requests are answered, streams that have begun go on, and requests that
/// have just been read are refused, for `last_answers_timeout`.
void gateway::close_sessions()
{
    asio::post(loop_, asio::use_future([this] { end_requests(); })).get();
    wait_for_sessions(last_answers_timeout);
    asio::post(loop_, asio::use_future(
                          [this]
                          {
                              for (const auto& it : sessions_)
                                  it->close();
                          }))
        .get();
    wait_for_sessions(close_timeout);
}

/// Closing the listening socket resets the connections that wait there, with
/// the requests that they have received.
void gateway::accept_waiting_callers()
{
    error_code ec;
    ec = callers_.non_blocking(true, ec);
    for (std::size_t n = sessions_.size();
         !ec && n < state_.settings.limits.max_callers; ++n)
    {
        asio::ip::tcp::socket socket = callers_.accept(ec);
        if (!ec)
            begin_session(std::move(socket));
    }
    if (ec && ec != asio::error::would_block)
        observe::log(event::gateway_accept_failed, {{"reason", ec.message()}});
}

void gateway::end_requests()
{
    accept_waiting_callers();
    callers_.close();
    state_.is_draining = true;
    state_.rejects_new_requests = true;
    for (const auto& it : sessions_)
        it->end_request();
}

void gateway::drain()
{
    const mono_time began = now();
    asio::post(loop_, [this] { state_.is_draining = true; });
    const gateway_timeouts& t = state_.settings.timeouts;
    if (control_)
        control_->stop_orders();
    std::this_thread::sleep_for(t.close_delay);
    asio::post(loop_, [this] { state_.rejects_new_requests = true; });
    // Done while open requests end, so that a store that does not answer does
    // not delay the exit of the process.
    stop_store_work();
    while (now() - began < t.drain_limit && count_busy_sessions() > 0)
        std::this_thread::sleep_for(drain_poll);
}

} // namespace poplar::gateway
