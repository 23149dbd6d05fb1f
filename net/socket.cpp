#include "net/socket.hpp"

#include "base/error.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <linux/sockios.h>
#include <linux/tcp.h> // tcpi_bytes_acked, which <netinet/tcp.h> lacks
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace poplar::net
{

namespace
{

/// A peer that vanished without closing is noticed after idle time plus
/// probes: 30 s. Accepted sockets inherit these options.
/// A connection is silent after this many probes without an answer.
constexpr int silence_probes = 2;
constexpr int silence_probe_seconds = 1;
constexpr int keepalive_idle_seconds = 15;
constexpr int keepalive_interval_seconds = 5;
constexpr int keepalive_probes = 3;

struct native_address
{
    sockaddr_storage storage{};
    socklen_t size = sizeof(sockaddr_storage);

    sockaddr* pointer()
    {
        return reinterpret_cast<sockaddr*>(&storage);
    }
    sockaddr_in& v4()
    {
        return reinterpret_cast<sockaddr_in&>(storage);
    }
    sockaddr_in6& v6()
    {
        return reinterpret_cast<sockaddr_in6&>(storage);
    }
};

native_address to_native(const ip_address& at)
{
    native_address native;
    if (inet_pton(AF_INET, at.host.c_str(), &native.v4().sin_addr) == 1)
    {
        native.v4().sin_family = AF_INET;
        native.v4().sin_port = htons(at.port);
        native.size = sizeof(sockaddr_in);
        return native;
    }
    if (inet_pton(AF_INET6, at.host.c_str(), &native.v6().sin6_addr) != 1)
        throw system_failure("parsing " + to_string(at), EINVAL);
    native.v6().sin6_family = AF_INET6;
    native.v6().sin6_port = htons(at.port);
    native.size = sizeof(sockaddr_in6);
    return native;
}

void set_option(int socket, int level, int name, int value)
{
    setsockopt(socket, level, name, &value, sizeof value);
}

void set_options(int socket)
{
    set_option(socket, SOL_SOCKET, SO_REUSEADDR, 1);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

} // namespace

void end_when_silent(int socket)
{
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, silence_probe_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, silence_probe_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, silence_probes);
    set_unacknowledged_limit(socket, unacknowledged_limit);
}

void set_unacknowledged_limit(int socket, duration limit)
{
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
               int(to_milliseconds(limit)));
}

std::optional<delivery> read_delivery(int socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return std::nullopt;
    return delivery{info.tcpi_bytes_acked, info.tcpi_unacked > 0};
}

bool is_closed_by_peer(int socket)
{
    pollfd p{socket, POLLRDHUP, 0};
    return poll(&p, 1, 0) > 0 && p.revents == POLLRDHUP;
}

bool has_unacknowledged_output(int socket)
{
    int bytes = 0;
    return ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void discard_output_on_close(int socket)
{
    const linger reset{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

int listen_on(const ip_address& at)
{
    native_address native = to_native(at);
    const int s = socket(native.storage.ss_family,
                         SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (s < 0)
        throw system_failure("socket", errno);
    set_options(s);
    if (bind(s, native.pointer(), native.size) == 0 &&
        listen(s, SOMAXCONN) == 0)
        return s;
    const int ec = errno;
    close(s);
    throw system_failure("listening on " + to_string(at), ec);
}

ip_address local_address(int socket)
{
    native_address native;
    if (getsockname(socket, native.pointer(), &native.size) != 0)
        throw system_failure("getsockname", errno);
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (native.storage.ss_family == AF_INET)
    {
        inet_ntop(AF_INET, &native.v4().sin_addr, text.data(), text.size());
        return {text.data(), ntohs(native.v4().sin_port)};
    }
    inet_ntop(AF_INET6, &native.v6().sin6_addr, text.data(), text.size());
    return {text.data(), ntohs(native.v6().sin6_port)};
}

} // namespace poplar::net
