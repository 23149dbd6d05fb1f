/// Headers of callers' requests.
#pragma once

#include "base/time.hpp"
#include "net/http_server.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplar::entry
{

std::string header_or(const net::http_request& request, std::string_view name,
                      const std::string& fallback);

/// Poplar-Deadline-Ms; zero when it is not a positive integer.
std::optional<duration> deadline_header(const net::http_request& request);

/// True when the request has an Idempotency-Key.
bool has_idempotency_key(const net::http_request& request);

/// Headers that go on to a plain service: without those of one connection and
/// those meant for this system.
std::vector<net::header>
forwarded_headers(const std::vector<net::header>& headers);

} // namespace poplar::entry
