/// Lock of the slot between processes of one machine.
#pragma once

#include "wire/socket.hpp"

#include <cstdint>

namespace poplar::agent
{

/// Holds a loopback TCP port without address reuse. The kernel frees it only
/// when the process is gone, so a paused copy keeps it.
class slot_lock
{
public:
    /// Port 0: there is nothing to hold, and try_acquire succeeds.
    explicit slot_lock(std::uint16_t port) : port_(port) {}

    /// True when the lock is held; false while another process holds it.
    /// Throws system_failure when this process may not bind the port at all.
    bool try_acquire();

private:
    std::uint16_t port_;
    wire::file_handle socket_;
};

} // namespace poplar::agent
