/// HTTP/1.1 server over libmicrohttpd. Handlers get the whole request and may
/// answer later and in pieces, from any thread.
#pragma once

#include "base/address.hpp"
#include "base/error.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace poplar::net
{

struct header
{
    std::string name;
    std::string value;
};

/// Compares names of headers, ignoring case.
bool is_same_name(std::string_view a, std::string_view b);

/// Value of the first header with this name, ignoring case; null when absent.
const std::string* find_header(const std::vector<header>& headers,
                               std::string_view name);

struct http_request
{
    std::string method;
    std::string path;  ///< Without query, as sent (percent-encoded).
    std::string query; ///< Without '?'; empty when absent.
    std::vector<header> headers;
    std::string body;
};

/// Value of a query parameter, percent-decoded; `otherwise` when absent.
std::string query_value(const http_request& request, std::string_view name,
                        const std::string& otherwise);

struct http_response
{
    unsigned status = 200;
    std::vector<header> headers;
    std::string body;
};

/// Makes a response with Content-Type application/json.
http_response json_response(unsigned status, std::string body);

/// One answer being given. All members may be called from any thread.
class responder
{
public:
    virtual ~responder() = default;

    /// Sends a whole response. Call it or `begin`, once.
    virtual void respond(http_response response) = 0;
    /// Starts a response of unknown length (chunked).
    virtual void begin(unsigned status, std::vector<header> headers) = 0;
    /// Queues bytes of the body; returns the bytes waiting for the caller to
    /// read, so that the producer can stop above a limit of its own.
    virtual std::size_t write(std::string_view bytes) = 0;
    /// Ends the body.
    virtual void finish() = 0;
    /// Breaks the connection, so that the caller sees the answer is not whole.
    virtual void abort() = 0;
    /// Called once when the caller took all bytes waiting below `below`.
    virtual void when_drained(std::size_t below,
                              std::function<void()> hook) = 0;
    /// Called once when the caller has gone before the end of the answer.
    virtual void when_gone(std::function<void()> hook) = 0;
};

using responder_ptr = std::shared_ptr<responder>;
/// Called on a server thread; must not block for long.
using http_handler = std::function<void(http_request, responder_ptr)>;

struct http_server_options
{
    ip_address listen;
    unsigned threads = 2;
    std::size_t max_body_bytes = std::size_t(4) << 20; ///< Above: 413.
    unsigned max_connections = 4096;
};

/// Throws system_failure when the address cannot be bound.
class http_server
{
public:
    http_server(http_server_options options, http_handler handler);
    ~http_server(); ///< Stops listening, aborts open answers.
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    ip_address address() const; ///< With the port that the kernel chose.
    /// Closes the listening socket; open answers go on.
    void stop_accepting();
    std::size_t open_requests() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace poplar::net
