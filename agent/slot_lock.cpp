#include "agent/slot_lock.hpp"

#include "base/error.hpp"

#include <cerrno>

namespace poplar::agent
{

bool slot_lock::try_acquire()
{
    if (port_ == 0 || socket_.is_open())
        return true;
    wire::file_handle fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (!fd.is_open())
        return false; // Out of descriptors: tried again like a held lock.
    wire::socket_address at = wire::to_socket_address({"127.0.0.1", port_});
    if (::bind(fd.get(), at.get(), at.length) != 0)
    {
        if (errno == EADDRINUSE)
            return false;
        throw system_failure("bind slot_lock_port", errno);
    }
    socket_ = std::move(fd);
    return true;
}

} // namespace poplar::agent
