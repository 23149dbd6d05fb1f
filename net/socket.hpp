/// TCP sockets.
#pragma once

#include "base/address.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <optional>

namespace poplar::net
{

/// Returns a listening socket; throws system_failure.
int listen_on(const ip_address& at);

/// Address to which a socket is bound; throws system_failure.
ip_address local_address(int socket);

/// Several round trips and one retransmission fit.
constexpr duration unacknowledged_limit = std::chrono::milliseconds(1500);
/// While nothing is unacknowledged, the kernel ends a connection at the first
/// probe after this time: one lost probe, at 1 s, does not suffice.
constexpr duration silence_limit = std::chrono::milliseconds(2500);

/// Has the kernel end a connection on which the other side has gone silent,
/// also while nothing is sent. That takes two seconds, or as long as the limit
/// for unacknowledged data when it is higher.
void end_when_silent(int socket);

/// Sets how long sent data, or probes, may be unacknowledged before the kernel
/// ends the connection. That time also passes while a live peer does not read.
void set_unacknowledged_limit(int socket, duration limit);

/// How far the bytes written to a connection have got.
struct delivery
{
    std::uint64_t acknowledged = 0; ///< Bytes since the connection was opened.
    /// Bytes were sent and are not acknowledged. False while the other side
    /// lets nothing be sent because it does not read.
    bool is_in_flight = false;
};

/// Empty if the socket is not connected.
std::optional<delivery> read_delivery(int socket);

/// True if the other side has closed its side and the connection has not been
/// reset so far.
bool is_closed_by_peer(int socket);

/// True if bytes that were written are not acknowledged.
bool has_unacknowledged_output(int socket);

/// Has the kernel reset the connection when it is closed, and drop bytes that
/// were written and are not acknowledged.
void discard_output_on_close(int socket);

} // namespace poplar::net
