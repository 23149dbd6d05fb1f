/// Digests of prompt blocks, as engines and entries name cached prefixes.
#pragma once

#include "base/units.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace poplar::policy
{

inline constexpr std::size_t block_tokens = 16;

/// Tokens of a text: a token is a word with the white space before it. Real
/// engines count their own; entries need only an estimate.
token_count count_tokens(std::string_view text);

/// Digest of each full block of 16 tokens, chained: a digest stands for the
/// whole prefix up to the end of its block. `seed` separates models and
/// adapters.
std::vector<std::uint64_t> prompt_blocks(std::string_view prompt,
                                         std::uint64_t seed = 0);

} // namespace poplar::policy
