#include "sheet/sheet.hpp"

#include <algorithm>
#include <cctype>
#include <ranges>

namespace poplar::sheet
{

namespace
{

using segments = std::vector<std::string>;

/// Escapes within escapes that are followed ("%252F" is two). A service behind
/// a decoding proxy may decode more than once.
constexpr int max_decodings = 4;

int hex_digit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

/// Malformed escapes stay as they are.
std::string decode_once(const std::string& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const bool is_escape = text[i] == '%' && i + 2 < text.size() &&
                               hex_digit(text[i + 1]) >= 0 &&
                               hex_digit(text[i + 2]) >= 0;
        if (!is_escape)
        {
            result += text[i];
            continue;
        }
        result += static_cast<char>(hex_digit(text[i + 1]) * 16 +
                                    hex_digit(text[i + 2]));
        i += 2;
    }
    return result;
}

std::string decode(std::string text)
{
    for (int i = 0; i < max_decodings; ++i)
        text = decode_once(text);
    return text;
}

std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(),
                           [](unsigned char c)
                           { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// Splits at '/' and '\', drops path parameters and what follows a NUL byte,
/// then empty and "." segments.
segments split(const std::string& path)
{
    segments result;
    std::size_t begin = 0;
    while (begin <= path.size())
    {
        const std::size_t end =
            std::min(path.find_first_of("/\\", begin), path.size());
        std::string segment = path.substr(begin, end - begin);
        const std::size_t cut = segment.find_first_of(std::string(";\0", 2));
        segment.resize(std::min(cut, segment.size()));
        if (!segment.empty() && segment != ".")
            result.push_back(std::move(segment));
        begin = end + 1;
    }
    return result;
}

segments resolve_parents(const segments& path)
{
    segments result;
    for (const std::string& it : path)
    {
        if (it != "..")
            result.push_back(it);
        else if (!result.empty())
            result.pop_back();
    }
    return result;
}

bool starts_with(const segments& path, const segments& prefix)
{
    return path.size() >= prefix.size() &&
           std::equal(prefix.begin(), prefix.end(), path.begin());
}

} // namespace

bool is_once(const service& s, const std::string& method,
             const std::string& path)
{
    const std::string bare = path.substr(0, path.find_first_of("?#"));
    const segments plain = split(lower(decode(bare)));
    const segments resolved = resolve_parents(plain);
    const auto matches = [&](const once_call& call)
    {
        const segments prefix = split(lower(call.path_prefix));
        return lower(call.method) == lower(method) &&
               (starts_with(plain, prefix) || starts_with(resolved, prefix));
    };
    return std::ranges::any_of(s.once, matches);
}

} // namespace poplar::sheet
