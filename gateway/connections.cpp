#include "gateway/connections.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sys/socket.h>

namespace poplar::gateway
{

namespace
{

/// An idle connection is no longer used from this time before the upstream
/// closes it, so that no request is sent while the upstream is closing. The
/// first quarter of the idle timeout is always usable.
constexpr duration close_margin = std::chrono::milliseconds(700);
/// Assumed when the upstream sends no Keep-Alive timeout.
constexpr duration default_idle_timeout = std::chrono::seconds(3);
/// A connection that carried more refusals is closed, which bounds the ids that
/// are kept.
constexpr std::size_t max_refused = 16;

duration compute_usable_idle_time(const upstream_connection& c)
{
    const duration limit = c.idle_timeout > duration::zero()
                               ? c.idle_timeout
                               : default_idle_timeout;
    return std::max(limit - close_margin, limit / 4);
}

} // namespace

bool has_pending_input(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto n =
        recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void set_socket_options(asio::ip::tcp::socket& socket)
{
    error_code ec; // Ignored: on failure, small writes are only delayed.
    ec = socket.set_option(asio::ip::tcp::no_delay(true), ec);
    net::end_when_silent(socket.native_handle());
}

connection_pool::connection_pool(asio::io_context& context, ip_address address,
                                 connection_limits limits)
    : context_(context), address_(std::move(address)), limits_(limits)
{
}

connection_ptr connection_pool::acquire(const attempt_id& id,
                                        duration max_idle_time, mono_time now)
{
    while (!idle_.empty())
    {
        connection_ptr c = std::move(idle_.back());
        idle_.pop_back();
        const duration idle = now - c->idle_since;
        if (idle > compute_usable_idle_time(*c) ||
            has_pending_input(c->stream.socket()))
            continue;
        const bool has_refused =
            std::ranges::find(c->refused, id) != c->refused.end();
        if (idle <= max_idle_time && !has_refused)
            return c;
        // Not for this request, but usable for others.
        idle_.push_back(std::move(c));
        return nullptr;
    }
    return nullptr;
}

asio::awaitable<connection_ptr> connection_pool::connect(duration timeout,
                                                         error_code& ec)
{
    if (*open_count_ >= int(limits_.max_open_connections) && !idle_.empty())
        idle_.erase(idle_.begin());
    if (*open_count_ >= int(limits_.max_open_connections))
    {
        ec = asio::error::no_buffer_space;
        co_return nullptr;
    }
    ++*open_count_;
    connection_ptr c(new upstream_connection(context_),
                     [open_count = open_count_](upstream_connection* connection)
                     {
                         --*open_count;
                         delete connection;
                     });
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(address_.host), address_.port);
    c->stream.expires_after(timeout);
    co_await c->stream.async_connect(
        endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
        co_return nullptr;
    set_socket_options(c->stream.socket());
    co_return c;
}

void connection_pool::release(connection_ptr connection, mono_time now)
{
    if (connection->refused.size() > max_refused)
        return;
    ++connection->requests;
    connection->idle_since = now;
    connection->stream.expires_never();
    idle_.push_back(std::move(connection));
    if (idle_.size() > limits_.max_idle_connections)
        idle_.erase(idle_.begin());
}

void connection_pool::close_expired(mono_time now)
{
    std::erase_if(idle_,
                  [&](const connection_ptr& c) {
                      return now - c->idle_since > compute_usable_idle_time(*c);
                  });
}

void connection_pool::close_idle()
{
    idle_.clear();
}

void connection_pool::set_limits(connection_limits limits)
{
    limits_ = limits;
}

} // namespace poplar::gateway
