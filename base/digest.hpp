/// Stable 64-bit digests (XXH3) for hashing across processes and restarts.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace poplar
{

/// Digest of bytes; the same in every process and version.
std::uint64_t digest(std::string_view bytes, std::uint64_t seed = 0);

/// 16 lower-case hexadecimal digits.
std::string hex(std::uint64_t value);

/// Weight of a member for a key in rendezvous hashing; the highest weight wins.
std::uint64_t rendezvous_weight(std::string_view member, std::uint64_t key);

} // namespace poplar
