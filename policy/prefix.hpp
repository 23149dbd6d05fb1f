/// Digests of prompt blocks, by which engines and entries identify cached
/// prefixes. The digests match only if both sides compute them with
/// prompt_blocks.
#pragma once

#include "base/units.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace poplar::policy
{

/// Tokens in a prefix block.
inline constexpr std::size_t block_tokens = 16;

/// Estimates the number of tokens of a text: each word with the white space
/// before it counts as one. Engines count with their own tokenizer; entries
/// need only an estimate. prompt_blocks counts tokens in the same way.
token_count count_tokens(std::string_view text);

/// Returns the digest of each full block of 16 tokens. Each digest includes the
/// previous one, so it identifies the whole prefix up to the end of its block.
/// `seed` separates the prefixes of different models and adapters.
std::vector<std::uint64_t> prompt_blocks(std::string_view prompt,
                                         std::uint64_t seed = 0);

} // namespace poplar::policy
