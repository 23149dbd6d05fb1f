/// HTTP/1.1 client over libcurl's multi interface on one thread.
#pragma once

#include "base/address.hpp"
#include "base/error.hpp"
#include "base/time.hpp"
#include "net/http_server.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace poplar::net
{

enum class client_failure
{
    none,
    /// No connection was made, so the request was certainly not sent.
    not_connected,
    /// The connection broke after the request may have been sent.
    broken,
    timed_out, ///< As broken: the request may have been carried out.
    canceled
};

std::string to_string(client_failure failure);

struct client_request
{
    std::string method = "GET";
    ip_address to;
    std::string path = "/"; ///< With query.
    std::vector<header> headers;
    std::string body;
    duration timeout = std::chrono::seconds(10); ///< For the whole exchange.
    /// Fails with timed_out when no byte arrives for this long; 0: no limit.
    duration idle_timeout = duration::zero();
    /// Open a new connection rather than reuse a kept one, so that a failure
    /// to connect is told from a failure after sending.
    bool fresh_connection = false;
    /// End the connection when the other side has gone silent, long before the
    /// timeout; for calls that wait.
    bool ends_when_silent = false;
    /// A longer head or collected body ends the exchange as broken. Pieces that
    /// are passed to `body_piece` are not limited.
    std::size_t max_response_bytes = std::size_t(16) << 20;
};

struct client_result
{
    client_failure failure = client_failure::none;
    std::string detail;
    http_response response; ///< Body empty when `body_piece` was given.
};

/// Hooks of one exchange, called on the client's thread; must not block.
struct client_hooks
{
    /// Pieces of the body as they arrive; when null the body is collected.
    /// Return false to pause; `resume` has the same piece given again.
    std::function<bool(std::string_view piece)> body_piece;
    /// Called exactly once, at the end.
    std::function<void(client_result)> done;
};

using exchange_number = std::uint64_t;

/// All members may be called from any thread.
class http_client
{
public:
    explicit http_client(unsigned max_connections_per_host = 256);
    ~http_client(); ///< Cancels what is open.
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    exchange_number start(client_request request, client_hooks hooks);
    void cancel(exchange_number exchange);
    void resume(exchange_number exchange);

    /// Runs one exchange and waits; not to be called from a hook.
    client_result fetch(client_request request);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace poplar::net
