/// File descriptors and TCP sockets of the inner protocol.
#pragma once

#include "base/address.hpp"

#include <sys/socket.h>
#include <utility>

namespace poplar::wire
{

/// Owns a file descriptor.
class file_handle
{
public:
    file_handle() = default;
    explicit file_handle(int fd) : fd_(fd) {}
    ~file_handle();
    file_handle(file_handle&& other) noexcept
        : fd_(std::exchange(other.fd_, -1))
    {
    }
    file_handle& operator=(file_handle&& other) noexcept;

    int get() const
    {
        return fd_;
    }
    bool is_open() const
    {
        return fd_ >= 0;
    }
    void close();

private:
    int fd_ = -1;
};

/// A kernel socket address with its length.
struct socket_address
{
    sockaddr_storage storage{};
    socklen_t length = 0;

    sockaddr* get()
    {
        return reinterpret_cast<sockaddr*>(&storage);
    }
};

/// Throws parse_error when the host is not an IP number.
socket_address to_socket_address(const ip_address& address);
ip_address to_ip_address(const socket_address& address);

/// Non-blocking listening socket; throws system_failure.
file_handle open_listener(const ip_address& at);
/// Address that the kernel gave to a bound socket.
ip_address local_address(int fd);
/// Non-blocking socket that has started to connect; throws system_failure.
file_handle start_connect(const ip_address& to);
/// Frames are small and latency counts: no waiting for fuller segments.
void set_no_delay(int fd);

} // namespace poplar::wire
