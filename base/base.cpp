#include "base/address.hpp"
#include "base/digest.hpp"
#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <sys/random.h>
#include <xxhash.h>

namespace poplar
{

namespace
{

std::uint64_t parse_hex64(const std::string& text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    auto [it, ec] = std::from_chars(text.data(), end, value, 16);
    if (ec != std::errc() || it != end)
        throw parse_error("not a hexadecimal number: " + text);
    return value;
}

bool is_ip_number(const std::string& host)
{
    unsigned char buf[sizeof(in6_addr)];
    // inet_pton reads to the first zero byte.
    if (host.find('\0') != std::string::npos)
        return false;
    return inet_pton(AF_INET, host.c_str(), buf) == 1 ||
           inet_pton(AF_INET6, host.c_str(), buf) == 1;
}

} // namespace

std::string excerpt(std::string_view text)
{
    constexpr std::size_t max_bytes = 200;
    if (text.size() <= max_bytes)
        return std::string(text);
    return std::string(text.substr(0, max_bytes)) + "...";
}

system_failure::system_failure(const std::string& operation, int ec)
    : error(operation + ": " + std::strerror(ec)), code_(ec)
{
}

std::string to_string(const request_id& id)
{
    return hex(id.high) + hex(id.low);
}

request_id parse_request_id(const std::string& text)
{
    if (text.size() != 32)
        throw parse_error("a request id has 32 hexadecimal digits");
    return {parse_hex64(text.substr(0, 16)), parse_hex64(text.substr(16))};
}

request_id make_request_id()
{
    request_id id;
    if (getrandom(&id, sizeof id, 0) != sizeof id)
        throw system_failure("getrandom", errno);
    return id;
}

mono_time now()
{
    timespec t{};
    clock_gettime(CLOCK_BOOTTIME, &t);
    return mono_time(std::chrono::duration_cast<duration>(
        std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec)));
}

std::int64_t unix_seconds()
{
    return static_cast<std::int64_t>(std::time(nullptr));
}

std::string utc_text(std::int64_t seconds)
{
    const std::time_t t = seconds;
    std::tm parts{};
    gmtime_r(&t, &parts);
    char buf[32];
    const std::size_t n =
        std::strftime(buf, sizeof buf, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {buf, n};
}

std::uint64_t digest(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string hex(std::uint64_t value)
{
    char buf[17];
    std::snprintf(buf, sizeof buf, "%016llx",
                  static_cast<unsigned long long>(value));
    return buf;
}

std::uint64_t rendezvous_weight(std::string_view member, std::uint64_t key)
{
    return digest(member, key);
}

std::string to_string(const ip_address& address)
{
    const std::string port = std::to_string(address.port);
    if (address.host.find(':') != std::string::npos)
        return "[" + address.host + "]:" + port;
    return address.host + ":" + port;
}

ip_address parse_ip_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        throw parse_error("address without a port: " + excerpt(text));
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    if (!is_ip_number(host))
        throw parse_error("not an IP number: " + excerpt(text));
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    auto [it, ec] = std::from_chars(text.data() + colon + 1, end, port);
    if (ec != std::errc() || it != end)
        throw parse_error("not a port: " + excerpt(text));
    return {host, port};
}

} // namespace poplar
