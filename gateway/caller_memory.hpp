/// Bounds the memory that the connections of all callers hold together.
#pragma once

#include "base/time.hpp"
#include "gateway/event_limit.hpp"
#include "gateway/metrics.hpp"
#include "gateway/settings.hpp"

#include <cstddef>
#include <functional>
#include <list>

namespace poplar::gateway
{

/// What one connection holds, in bytes.
struct caller_bytes
{
    std::size_t body = 0;     ///< Of the current request, as far as received.
    std::size_t unparsed = 0; ///< Received and not parsed.
    std::size_t unread = 0;   ///< Of answers, not taken by the kernel yet.
    /// The request has been handed to an exchange, so that an upstream may run
    /// it.
    bool is_forwarded = false;

    std::size_t sum() const
    {
        return body + unparsed + unread;
    }
};

/// Sums up what the connections hold and ends requests when a limit is
/// exceeded. Used on the gateway's loop only.
class caller_memory
{
public:
    /// One connection; `end` ends its request and frees what it holds.
    struct member
    {
        caller_bytes bytes;
        std::function<void()> end;
    };
    using members = std::list<member>;
    using handle = members::iterator;

    explicit caller_memory(gateway_metrics& metrics) : metrics_(metrics) {}

    handle add(std::function<void()> end);
    void remove(handle h);
    /// Replaces what the connection holds. If that exceeds a limit, requests
    /// are ended, which may include the one of this connection.
    void set(handle h, const caller_bytes& bytes, const gateway_limits& limits);

    std::size_t total() const
    {
        return total_;
    }

private:
    void replace(handle h, const caller_bytes& bytes);
    void end(handle h, const char* limit);

    gateway_metrics& metrics_;
    members members_;
    std::size_t total_ = 0;
    std::size_t bodies_ = 0;
    event_limit log_;
};

/// The part of `limits.memory` that callers may occupy, in bytes. The rest is
/// for the process itself, for answers of upstreams, and for copies of buffers
/// that grow.
inline constexpr std::size_t caller_memory_divisor = 3;

/// Returns the connection whose request is to be ended first: of those whose
/// request is not forwarded the one with most bytes, then of the others;
/// end() if none holds anything. With `only_bodies`, only bodies count and
/// forwarded requests are left alone.
caller_memory::handle choose_largest(caller_memory::members& all,
                                     bool only_bodies);

} // namespace poplar::gateway
