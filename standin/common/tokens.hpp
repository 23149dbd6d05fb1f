/// The text that the stand-in engine generates. Tools use the same functions
/// to check an answer word by word.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace poplar::standin
{

/// Digest on which the tokens of an answer depend.
std::uint64_t answer_digest(std::string_view prompt, std::string_view model);

/// Token number `index` of an answer: one word followed by a space.
std::string token_text(std::uint64_t answer, std::uint32_t index);

/// Tokens of the whole answer: `max_tokens`, or fewer when a word of the
/// prompt has the form "answer:N". Real answers mostly end before the limit.
std::uint32_t answer_tokens(std::string_view prompt, std::uint32_t max_tokens);

/// Tokens [begin, end) of an answer.
std::string answer_text(std::uint64_t answer, std::uint32_t begin,
                        std::uint32_t end);

} // namespace poplar::standin
