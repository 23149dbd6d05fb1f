/// Answers GET requests of the load balancer and of operators on the gateway's
/// loop.
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

/// `path` has no query.
using status_handler = std::function<status_answer(const std::string& path)>;

/// A listening socket; throws system_failure when the address is taken.
asio::ip::tcp::acceptor listen_at(asio::io_context& loop,
                                  const ip_address& address);
ip_address address_of(const asio::ip::tcp::acceptor& acceptor);

/// Logs that a connection could not be accepted, and waits a little: the next
/// accept may fail at once for the same reason.
asio::awaitable<void> pause_accepting(asio::any_io_executor executor,
                                      const std::string& reason);

/// Serves until the loop ends. `acceptor` and `handler` must outlive it.
asio::awaitable<void> serve_status(asio::ip::tcp::acceptor& acceptor,
                                   const status_handler& handler);

} // namespace poplar::gateway
