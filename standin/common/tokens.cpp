#include "standin/common/tokens.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <charconv>

namespace poplar::standin
{

namespace
{

constexpr std::string_view length_mark = "answer:";
constexpr std::size_t token_letters = 6;

} // namespace

std::uint64_t answer_digest(std::string_view prompt, std::string_view model)
{
    return digest(prompt, digest(model));
}

std::string token_text(std::uint64_t answer, std::uint32_t index)
{
    const std::uint64_t mixed =
        digest({reinterpret_cast<const char*>(&index), sizeof index}, answer);
    return hex(mixed).substr(0, token_letters) + " ";
}

std::uint32_t answer_tokens(std::string_view prompt, std::uint32_t max_tokens)
{
    const std::size_t at = prompt.rfind(length_mark);
    if (at == std::string_view::npos || (at > 0 && prompt[at - 1] != ' '))
        return max_tokens;
    std::uint32_t n = 0;
    const char* first = prompt.data() + at + length_mark.size();
    const auto [it, ec] =
        std::from_chars(first, prompt.data() + prompt.size(), n);
    return ec == std::errc() ? std::min(n, max_tokens) : max_tokens;
}

std::string answer_text(std::uint64_t answer, std::uint32_t begin,
                        std::uint32_t end)
{
    std::string text;
    for (std::uint32_t i = begin; i < end; ++i)
        text += token_text(answer, i);
    return text;
}

} // namespace poplar::standin
