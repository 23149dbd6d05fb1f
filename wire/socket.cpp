#include "wire/socket.hpp"

#include "base/error.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

namespace poplar::wire
{

namespace
{

file_handle open_socket(int family)
{
    file_handle fd(
        ::socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd.is_open())
        throw system_failure("socket", errno);
    return fd;
}

void set_flag(int fd, int level, int option)
{
    const int on = 1;
    ::setsockopt(fd, level, option, &on, sizeof on);
}

} // namespace

file_handle::~file_handle()
{
    close();
}

file_handle& file_handle::operator=(file_handle&& other) noexcept
{
    if (this != &other)
    {
        close();
        fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
}

void file_handle::close()
{
    if (fd_ >= 0)
        ::close(std::exchange(fd_, -1));
}

socket_address to_socket_address(const ip_address& address)
{
    socket_address out;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&out.storage);
    if (inet_pton(AF_INET, address.host.c_str(), &v4->sin_addr) == 1)
    {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(address.port);
        out.length = sizeof *v4;
        return out;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&out.storage);
    if (inet_pton(AF_INET6, address.host.c_str(), &v6->sin6_addr) != 1)
        throw parse_error("not an IP number: " + address.host);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(address.port);
    out.length = sizeof *v6;
    return out;
}

ip_address to_ip_address(const socket_address& address)
{
    char buf[INET6_ADDRSTRLEN] = {};
    if (address.storage.ss_family == AF_INET6)
    {
        const auto* v6 =
            reinterpret_cast<const sockaddr_in6*>(&address.storage);
        inet_ntop(AF_INET6, &v6->sin6_addr, buf, sizeof buf);
        return {buf, ntohs(v6->sin6_port)};
    }
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&address.storage);
    inet_ntop(AF_INET, &v4->sin_addr, buf, sizeof buf);
    return {buf, ntohs(v4->sin_port)};
}

file_handle open_listener(const ip_address& at)
{
    socket_address address = to_socket_address(at);
    file_handle fd = open_socket(address.storage.ss_family);
    // A restarted process must get its port back at once.
    set_flag(fd.get(), SOL_SOCKET, SO_REUSEADDR);
    if (::bind(fd.get(), address.get(), address.length) != 0)
        throw system_failure("bind " + to_string(at), errno);
    if (::listen(fd.get(), SOMAXCONN) != 0)
        throw system_failure("listen " + to_string(at), errno);
    return fd;
}

ip_address local_address(int fd)
{
    socket_address address;
    address.length = sizeof address.storage;
    if (::getsockname(fd, address.get(), &address.length) != 0)
        throw system_failure("getsockname", errno);
    return to_ip_address(address);
}

file_handle start_connect(const ip_address& to)
{
    socket_address address = to_socket_address(to);
    file_handle fd = open_socket(address.storage.ss_family);
    set_no_delay(fd.get());
    if (::connect(fd.get(), address.get(), address.length) != 0 &&
        errno != EINPROGRESS)
        throw system_failure("connect " + to_string(to), errno);
    return fd;
}

void set_no_delay(int fd)
{
    set_flag(fd, IPPROTO_TCP, TCP_NODELAY);
}

} // namespace poplar::wire
