/// TCP sockets.
#pragma once

#include "base/address.hpp"
#include "base/time.hpp"

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

} // namespace poplar::net
