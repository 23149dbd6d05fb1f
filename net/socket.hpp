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

/// Has the kernel end a connection on which the other side has gone silent, in
/// about three seconds, also while nothing is sent.
void end_when_silent(int socket);

/// Sets how long sent data may be unacknowledged before the kernel ends the
/// connection. That time also passes while a live peer does not read.
void set_unacknowledged_limit(int socket, duration limit);

} // namespace poplar::net
