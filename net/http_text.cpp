#include "net/http_server.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace poplar::net
{

namespace
{

bool same_letter(unsigned char a, unsigned char b)
{
    return std::tolower(a) == std::tolower(b);
}

std::string percent_decode(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        unsigned char value = 0;
        const char* first = text.data() + i + 1;
        if (text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(first, first + 2, value, 16).ptr == first + 2)
        {
            out += static_cast<char>(value);
            i += 2;
            continue;
        }
        out += text[i] == '+' ? ' ' : text[i];
    }
    return out;
}

} // namespace

bool is_same_name(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, same_letter);
}

const std::string* find_header(const std::vector<header>& headers,
                               std::string_view name)
{
    const auto it = std::ranges::find_if(
        headers, [&](const header& h) { return is_same_name(h.name, name); });
    return it == headers.end() ? nullptr : &it->value;
}

std::string query_value(const http_request& request, std::string_view name,
                        const std::string& otherwise)
{
    std::string_view rest = request.query;
    while (!rest.empty())
    {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t sign = pair.find('=');
        if (percent_decode(pair.substr(0, sign)) != name)
            continue;
        return sign == std::string_view::npos
                   ? ""
                   : percent_decode(pair.substr(sign + 1));
    }
    return otherwise;
}

http_response json_response(unsigned status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace poplar::net
