#include "entry/caller_headers.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace poplar::entry
{

namespace
{

/// Headers that concern the caller's connection and are not forwarded:
/// hop-by-hop headers (RFC 9110, section 7.6.1), headers that describe the
/// message framing, Host, Expect and Proxy-Authorization.
constexpr std::array<std::string_view, 11> dropped_headers{
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authorization"};

std::string lower(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(),
                           [](unsigned char c)
                           { return static_cast<char>(std::tolower(c)); });
    return result;
}

} // namespace

std::string header_or(const net::http_request& request, std::string_view name,
                      const std::string& fallback)
{
    const std::string* value = net::find_header(request.headers, name);
    return value && !value->empty() ? *value : fallback;
}

std::optional<duration> deadline_header(const net::http_request& request)
{
    const std::string* text =
        net::find_header(request.headers, "Poplar-Deadline-Ms");
    if (!text)
        return std::nullopt;
    constexpr std::int64_t max_ms = std::int64_t(1) << 40;
    std::int64_t ms = 0;
    const char* end = text->data() + text->size();
    const auto [at, ec] = std::from_chars(text->data(), end, ms);
    if (ec != std::errc() || at != end || ms < 0)
        return duration::zero();
    return std::chrono::milliseconds(std::min(ms, max_ms));
}

bool has_idempotency_key(const net::http_request& request)
{
    return !header_or(request, "Idempotency-Key", "").empty();
}

std::vector<net::header>
forwarded_headers(const std::vector<net::header>& headers)
{
    std::vector<net::header> result;
    for (const net::header& h : headers)
    {
        const std::string name = lower(h.name);
        if (!name.starts_with("poplar-") &&
            std::ranges::count(dropped_headers, name) == 0)
            result.push_back(h);
    }
    return result;
}

} // namespace poplar::entry
