#include "policy/prefix.hpp"

#include "base/digest.hpp"

namespace poplar::policy
{

namespace
{

bool is_space(char c)
{
    return c == ' ' || c == '\n' || c == '\t' || c == '\r';
}

/// Returns the end of the token that starts at `position`. A token is white
/// space followed by a word.
std::size_t token_end(std::string_view text, std::size_t position)
{
    while (position < text.size() && is_space(text[position]))
        ++position;
    while (position < text.size() && !is_space(text[position]))
        ++position;
    return position;
}

} // namespace

token_count count_tokens(std::string_view text)
{
    std::int64_t n = 0;
    for (std::size_t position = 0; position < text.size(); ++n)
        position = token_end(text, position);
    return token_count(n);
}

std::vector<std::uint64_t> prompt_blocks(std::string_view prompt,
                                         std::uint64_t seed)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t chain = seed;
    std::size_t begin = 0;
    std::size_t tokens = 0;
    for (std::size_t position = 0; position < prompt.size();)
    {
        position = token_end(prompt, position);
        if (++tokens % block_tokens != 0)
            continue;
        chain = digest(prompt.substr(begin, position - begin), chain);
        blocks.push_back(chain);
        begin = position;
    }
    return blocks;
}

} // namespace poplar::policy
