/// Datagrams in which gateways tell each other which software version began a
/// stream.
#pragma once

#include "policy/stream_versions.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace poplar::gateway
{

struct stream_origin_message
{
    /// Digest of the attempt that the stream began in.
    std::uint64_t attempt = 0;
    /// Empty if the sender does not know it.
    std::optional<policy::software_version> version;
    /// The sender asks for the version; otherwise it tells what it knows.
    bool asks = false;
};

/// True if the datagram bears the identifier of these messages.
bool is_stream_origin_message(std::span<const char> bytes);
std::string encode_stream_origin(const stream_origin_message& message);
/// Throws parse_error.
stream_origin_message decode_stream_origin(std::span<const char> bytes);

} // namespace poplar::gateway
