/// Kept connections to one upstream.
#pragma once

#include "base/address.hpp"
#include "base/time.hpp"

// Boost.Asio 1.74 uses std::exchange without including its header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <vector>

namespace poplar::gateway
{

namespace asio = boost::asio;
namespace beast = boost::beast;

using error_code = boost::system::error_code;

/// Options of all sockets: no delay, and an end of connections that have gone
/// silent.
void set_socket_options(asio::ip::tcp::socket& socket);

/// A connection that serves one request at a time.
struct upstream_connection
{
    /// Bytes that are read and not parsed yet. Extensions of chunks and
    /// trailers are parsed as a whole and have no limit of their own.
    static constexpr std::size_t max_unparsed_bytes = 256 << 10;

    explicit upstream_connection(asio::io_context& context)
        : stream(context), buffer(max_unparsed_bytes)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    mono_time idle_since{};
    /// How long the upstream keeps it open without requests.
    duration idle_timeout{};
    unsigned requests = 0; ///< Sent before the present one.
};

using connection_ptr = std::shared_ptr<upstream_connection>;

struct connection_limits
{
    unsigned max_open_connections = 64;
    unsigned max_idle_connections = 8;
};

class connection_pool
{
public:
    connection_pool(asio::io_context& context, ip_address address,
                    connection_limits limits);

    /// A kept connection that has been idle for at most `max_idle` and shows
    /// no bytes and no end; null when there is none.
    connection_ptr acquire(duration max_idle_time, mono_time now);

    /// A new connection; null with `ec` set when none could be made in
    /// `timeout`, or when too many are open.
    asio::awaitable<connection_ptr> connect(duration timeout, error_code& ec);

    /// Takes back a connection whose answer was read to its end.
    void release(connection_ptr connection, mono_time now);

    /// Closes idle connections that are near their limit.
    void close_expired(mono_time now);
    void close_idle();
    void set_limits(connection_limits limits);

    const ip_address& address() const
    {
        return address_;
    }

private:
    asio::io_context& context_;
    ip_address address_;
    connection_limits limits_;
    /// Shared with each open connection; counts them.
    std::shared_ptr<int> open_count_ = std::make_shared<int>(0);
    std::vector<connection_ptr> idle_; ///< Most recently used last.
};

} // namespace poplar::gateway
