/// Access to the headers of callers' requests.
#pragma once

#include "base/time.hpp"
#include "net/http_server.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplar::entry
{

/// Returns the header's value, or `fallback` if it is missing or empty.
std::string header_or(const net::http_request& request, std::string_view name,
                      const std::string& fallback);

/// Returns the value of Poplar-Deadline-Ms, or zero if it is not a positive
/// integer; nullopt if the header is missing.
std::optional<duration> deadline_header(const net::http_request& request);

/// Returns true if the request has a non-empty Idempotency-Key.
bool has_idempotency_key(const net::http_request& request);

/// Returns the headers to forward to a service: all but the `Poplar-`
/// headers of this system and those that concern the caller's connection.
std::vector<net::header>
forwarded_headers(const std::vector<net::header>& headers);

} // namespace poplar::entry
