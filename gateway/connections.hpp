/// Pool of persistent HTTP connections to one upstream.
#pragma once

#include "base/address.hpp"
#include "base/time.hpp"
#include "gateway/types.hpp"
#include "net/socket.hpp"

// Boost.Asio 1.74 uses std::exchange without including its header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <vector>

namespace poplar::gateway
{

namespace asio = boost::asio;
namespace beast = boost::beast;

using error_code = boost::system::error_code;

/// Sets the options that every socket has: TCP_NODELAY, and closing of the
/// connection when its peer has stopped responding.
void set_socket_options(asio::ip::tcp::socket& socket);

/// True when bytes have been received, or the connection has ended.
bool has_pending_input(asio::ip::tcp::socket& socket);

/// An open connection; it serves one request at a time.
struct upstream_connection
{
    /// Maximum number of bytes received and not yet parsed. Chunk extensions
    /// and trailers are parsed as a whole and have no other limit.
    static constexpr std::size_t max_unparsed_bytes = 256 << 10;

    explicit upstream_connection(asio::io_context& context)
        : stream(context), buffer(max_unparsed_bytes), acknowledgement(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    mono_time idle_since{};
    /// How long the upstream keeps the connection open without requests; zero
    /// when it has not said.
    duration idle_timeout{};
    unsigned requests = 0; ///< Completed before the current one.
    duration unacknowledged_limit = net::unacknowledged_limit;
    /// Ends when a short request has been acknowledged by any live upstream.
    asio::steady_timer acknowledgement;
    /// Requests that the upstream refused on this connection; it may write
    /// their refusals once more.
    std::vector<attempt_id> refused;
};

using connection_ptr = std::shared_ptr<upstream_connection>;

/// Limits for the connections to one upstream.
struct connection_limits
{
    unsigned max_open_connections = 64;
    unsigned max_idle_connections = 8;
};

/// Opens connections to one upstream and reuses idle ones. Used on the
/// gateway's loop only.
class connection_pool
{
public:
    connection_pool(asio::io_context& context, ip_address address,
                    connection_limits limits);

    /// Returns a pooled connection that has been idle for at most
    /// `max_idle_time`, is still open, has no unexpected input and carried no
    /// refusal of a request with the same id; null when there is none.
    connection_ptr acquire(const attempt_id& id, duration max_idle_time,
                           mono_time now);

    /// Opens a connection; returns null and sets `ec` when that fails or takes
    /// longer than `timeout`, or when too many connections are open.
    asio::awaitable<connection_ptr> connect(duration timeout, error_code& ec);

    /// Returns a connection to the pool after its answer was read completely.
    void release(connection_ptr connection, mono_time now);

    /// Closes idle connections that the upstream is about to close.
    void close_expired(mono_time now);
    void close_idle();
    void set_limits(connection_limits limits);
    /// True if all connections that may be open are in use.
    bool is_full() const
    {
        return idle_.empty() &&
               *open_count_ >= int(limits_.max_open_connections);
    }
    const connection_limits& limits() const
    {
        return limits_;
    }

    const ip_address& address() const
    {
        return address_;
    }
    asio::io_context& context() const
    {
        return context_;
    }

private:
    asio::io_context& context_;
    ip_address address_;
    connection_limits limits_;
    /// Number of open connections, pooled or in use. Each connection shares
    /// ownership, so that it can outlive the pool.
    std::shared_ptr<int> open_count_ = std::make_shared<int>(0);
    std::vector<connection_ptr> idle_; ///< Most recently used last.
};

} // namespace poplar::gateway
