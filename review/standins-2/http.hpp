/// Blocking sockets and HTTP/1.1 messages for the stand-ins of the review.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review
{

/// Head and body of a message; field names are in lower case.
struct message
{
    std::string first_line;
    std::map<std::string, std::string> fields;
    std::string body;

    /// Value of a field; empty if it is absent.
    std::string field(const std::string& name) const;
    /// Second word of the first line: the target or the status.
    std::string second_word() const;
    std::string method() const;
};

/// A TCP connection; closed by the destructor.
class connection
{
public:
    explicit connection(int socket) : socket_(socket) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// False once the peer has closed the connection.
    bool send(const std::string& bytes) const;
    /// Reads a message with a Content-Length or without a body.
    std::optional<message> read_message();
    /// Reads everything until the peer closes or `limit_ms` has passed.
    std::string read_all(int limit_ms) const;
    /// Waits for `ms`; false when the peer has closed the connection.
    bool wait_while_open(int ms) const;
    /// Waits for the peer to close, at most for `ms`; drops what arrives.
    bool is_closed(int ms) const;

private:
    int socket_;
    std::string received_;
};

/// Connects to a port of the loopback address; negative on failure.
int connect_to(std::uint16_t port);

/// Accepts connections on a free port of the loopback address and serves each
/// on a thread of its own until the process ends.
class listener
{
public:
    explicit listener(std::function<void(connection&)> serve);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    std::uint16_t port() const
    {
        return port_;
    }
    std::string address() const;

private:
    void accept_all();

    const std::function<void(connection&)> serve_;
    int socket_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

std::string answer(unsigned status, const std::string& fields,
                   const std::string& body);
/// Milliseconds since the start of the process.
std::int64_t elapsed_ms();
void sleep_ms(std::int64_t ms);

} // namespace review
