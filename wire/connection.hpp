/// Connections of the inner protocol on an epoll loop in threads of its own.
#pragma once

#include "base/address.hpp"
#include "base/time.hpp"
#include "wire/frame.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace poplar::wire
{

/// A frame is sent in each direction at least this often.
constexpr duration heartbeat_interval = std::chrono::milliseconds(500);
/// A connection without any frame received for this long is closed as silent.
/// Four heartbeats, so that one lost scheduling slice does not close it.
constexpr duration silence_timeout = std::chrono::seconds(2);
/// Time for connecting and the exchange of hello frames.
constexpr duration handshake_timeout = std::chrono::seconds(2);

enum class close_reason
{
    closed_by_peer,
    closed_here,
    silent, ///< No frame for silence_timeout.
    connect_failed,
    handshake_failed, ///< No common version, or no hello in time.
    protocol_fault,
    send_overflow ///< More than the send limit was waiting to be written.
};

std::string to_string(close_reason reason);

class connection;
using connection_ptr = std::shared_ptr<connection>;

/// Called on the loop's threads; calls for one connection never overlap and
/// come in the order opened, received..., closed. They must not block.
struct connection_hooks
{
    /// The handshake succeeded; `peer` is the hello received.
    std::function<void(const connection_ptr&, const fb::helloT& peer)> opened;
    std::function<void(const connection_ptr&, const frame&)> received;
    /// Called exactly once for each connection, also when it never opened.
    std::function<void(const connection_ptr&, close_reason)> closed;
};

/// One connection; all members may be called from any thread.
class connection
{
public:
    virtual ~connection() = default;

    /// Queues an encoded frame; returns false when the connection is closed.
    virtual bool send(std::string encoded) = 0;
    /// Bytes queued and not yet taken by the kernel.
    virtual std::size_t queued_bytes() const = 0;
    virtual void close() = 0;
    /// Number unique within this process.
    virtual std::uint64_t serial() const = 0;
    virtual ip_address remote() const = 0;
};

/// Gives the content of the next outgoing heartbeat.
using heartbeat_source = std::function<fb::heartbeatT()>;

struct loop_options
{
    unsigned threads = 2;
    /// A connection with more bytes waiting is closed (send_overflow).
    std::size_t send_limit_bytes = std::size_t(64) << 20;
    fb::helloT hello; ///< Sent first on every connection.
    heartbeat_source heartbeat;
};

/// Owns the threads and the connections. Heartbeats and silence are handled
/// here; received heartbeat frames are still passed to `received`.
class loop
{
public:
    explicit loop(loop_options options);
    ~loop(); ///< Calls stop.
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;

    /// Listens; returns the address with the port that the kernel chose.
    /// Throws system_failure.
    ip_address listen(const ip_address& at, connection_hooks hooks);

    /// Starts connecting; the result comes through `opened` or `closed`. Once
    /// `stop` has begun, no hook is called for the new connection.
    connection_ptr connect(const ip_address& to, connection_hooks hooks);

    /// Closes all connections, calls their hooks and joins the threads; tasks
    /// not yet due are dropped. The other members may still be called, without
    /// effect, so that hooks need no check. Not to be called from a hook.
    void stop();

    /// Replaces the hello sent on connections made from now on.
    void set_hello(fb::helloT hello);

    /// Calls `task` on a loop thread after `delay`; tasks may overlap.
    void call_later(duration delay, std::function<void()> task);

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace poplar::wire
