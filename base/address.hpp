/// Addresses of processes: IP number and TCP port.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace poplar
{

/// IPv4 or IPv6 number with a TCP port; port 0 asks the kernel for one.
struct ip_address
{
    std::string host;
    std::uint16_t port = 0;

    bool empty() const
    {
        return host.empty();
    }
    auto operator<=>(const ip_address&) const = default;

    template <class H>
    friend H AbslHashValue(H h, const ip_address& a)
    {
        return H::combine(std::move(h), a.host, a.port);
    }
};

/// Returns "127.0.0.1:80" or "[::1]:80".
std::string to_string(const ip_address& address);

/// Parses what to_string returns; throws parse_error (host names are refused).
ip_address parse_ip_address(const std::string& text);

} // namespace poplar
