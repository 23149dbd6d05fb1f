/// HTTP server for the readiness checks of the load balancer and the admin
/// requests of operators. Runs on the gateway's loop.
#pragma once

#include "gateway/connections.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace poplar::gateway
{

struct status_answer
{
    unsigned status = 200;
    std::string body;
};

/// Produces the answer for a path, which is passed without its query.
using status_handler = std::function<status_answer(const std::string& path)>;

/// Opens a listening socket; throws system_failure when that fails, for example
/// because the address is in use.
asio::ip::tcp::acceptor listen_at(asio::io_context& loop,
                                  const ip_address& address);
/// Local address of a listening socket.
ip_address address_of(const asio::ip::tcp::acceptor& acceptor);

/// Logs that a connection could not be accepted and waits for a short delay,
/// since the next accept would probably fail for the same reason.
asio::awaitable<void> pause_accepting(asio::any_io_executor executor,
                                      const std::string& reason);

struct status_server_hooks
{
    status_handler answer;
    /// Limit on open connections; beyond it the oldest one is closed.
    std::function<std::size_t()> max_connections;
    std::function<void()> on_connection_closed; ///< Because of the limit.
};

/// Accepts and serves connections until `acceptor` is closed or the loop stops.
/// `acceptor` and `hooks` must outlive the coroutine.
asio::awaitable<void> serve_status(asio::ip::tcp::acceptor& acceptor,
                                   const status_server_hooks& hooks);

} // namespace poplar::gateway
