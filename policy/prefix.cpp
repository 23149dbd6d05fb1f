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

/// End of the token that starts at `at`: white space, then a word.
std::size_t token_end(std::string_view text, std::size_t at)
{
    while (at < text.size() && is_space(text[at]))
        ++at;
    while (at < text.size() && !is_space(text[at]))
        ++at;
    return at;
}

} // namespace

token_count count_tokens(std::string_view text)
{
    std::int64_t n = 0;
    for (std::size_t at = 0; at < text.size(); ++n)
        at = token_end(text, at);
    return token_count(n);
}

std::vector<std::uint64_t> prompt_blocks(std::string_view prompt,
                                         std::uint64_t seed)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t chain = seed;
    std::size_t begin = 0;
    std::size_t tokens = 0;
    for (std::size_t at = 0; at < prompt.size();)
    {
        at = token_end(prompt, at);
        if (++tokens % block_tokens != 0)
            continue;
        chain = digest(prompt.substr(begin, at - begin), chain);
        blocks.push_back(chain);
        begin = at;
    }
    return blocks;
}

} // namespace poplar::policy
