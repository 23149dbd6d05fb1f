/// Records of requests that crash upstreams, kept in the object store so that
/// they are known after all gateways have been killed.
#pragma once

#include "gateway/record_writer.hpp"
#include "policy/fatal_requests.hpp"

#include <string>
#include <vector>

namespace poplar::gateway
{

/// Key prefix of the records, one for each request.
inline constexpr const char* fatal_request_prefix = "fatal-requests/";

object_key fatal_request_key(std::uint64_t request);
/// Digest of the request that a record is about; throws parse_error.
std::uint64_t parse_fatal_request_key(const object_key& key);

/// Encodes and decodes the value of a record. Times in it are wall clock times,
/// since the monotonic clocks of processes differ. Decoding throws parse_error.
std::string
encode_fatal_request(const std::vector<policy::request_crash>& crashes);
std::vector<policy::request_crash>
decode_fatal_request(std::uint64_t request, const std::string& value);

/// Adds the crashes that the record lacks. A record that cannot be read is
/// replaced.
record_change add_crashes(const store::object& record, std::uint64_t request,
                          const std::vector<policy::request_crash>& crashes);

} // namespace poplar::gateway
