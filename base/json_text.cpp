#include "base/json_text.hpp"

#include <algorithm>
#include <ranges>

namespace poplar
{

namespace
{

constexpr std::string_view space = " \t\r\n";
constexpr std::string_view scalar_end = " \t\r\n,:[]{}\"";

bool opens(char c)
{
    return c == '[' || c == '{';
}

bool closes(char c)
{
    return c == ']' || c == '}';
}

/// Reads the structure of JSON text.
class json_cursor
{
public:
    explicit json_cursor(std::string_view text) : text_(text) {}

    bool at_end()
    {
        skip_space();
        return at_ == text_.size();
    }

    /// Skips `c` if it comes next.
    bool take(char c)
    {
        if (at_end() || text_[at_] != c)
            return false;
        ++at_;
        return true;
    }

    void expect(char c)
    {
        if (!take(c))
            throw parse_error(std::string("expected '") + c + "' at byte " +
                              std::to_string(at_));
    }

    std::string_view read_string()
    {
        skip_space();
        const std::size_t begin = at_;
        skip_string();
        return text_.substr(begin, at_ - begin);
    }

    std::string_view read_value()
    {
        skip_space();
        const std::size_t begin = at_;
        if (next() == '"')
            skip_string();
        else if (opens(next()))
            skip_nested();
        else
            at_ = std::min(text_.find_first_of(scalar_end, at_), text_.size());
        if (at_ == begin)
            throw parse_error("expected a value at byte " +
                              std::to_string(at_));
        return text_.substr(begin, at_ - begin);
    }

private:
    char next() const
    {
        if (at_ >= text_.size())
            throw parse_error("the text ends too early");
        return text_[at_];
    }

    void skip_space()
    {
        at_ = std::min(text_.find_first_not_of(space, at_), text_.size());
    }

    void skip_string()
    {
        if (next() != '"')
            throw parse_error("expected a string at byte " +
                              std::to_string(at_));
        for (++at_; next() != '"'; ++at_)
            if (next() == '\\')
                ++at_;
        ++at_;
    }

    void skip_nested()
    {
        std::size_t depth = 0;
        do
        {
            const char c = next();
            if (c == '"')
            {
                skip_string();
                continue;
            }
            if (opens(c))
                ++depth;
            else if (closes(c))
                --depth;
            ++at_;
        } while (depth > 0);
    }

    const std::string_view text_;
    std::size_t at_ = 0;
};

/// An escaped name is unescaped; one that cannot be read stays as it is.
std::string name_of(std::string_view quoted)
{
    const std::string_view plain = quoted.substr(1, quoted.size() - 2);
    if (plain.find('\\') == std::string_view::npos)
        return std::string(plain);
    const auto j = nlohmann::json::parse(quoted, nullptr, false);
    return j.is_string() ? j.get<std::string>() : std::string(plain);
}

/// The library parses without recursion, but leaves the depth unbounded. Text
/// with unmatched quotes or brackets is left to it.
void check_depth(std::string_view text)
{
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const char c = text[i];
        if (c == '"')
            in_string = !in_string;
        else if (in_string)
            i += c == '\\' ? 1 : 0;
        else if (opens(c) && ++depth > max_json_depth)
            throw parse_error("nested more than " +
                              std::to_string(max_json_depth) + " levels deep");
        else if (closes(c) && depth > 0)
            --depth;
    }
}

} // namespace

nlohmann::json parse_json(std::string_view text)
{
    check_depth(text);
    return guard_json([&] { return nlohmann::json::parse(text); });
}

std::vector<json_member> split_json_object(std::string_view text)
{
    json_cursor in(text);
    std::vector<json_member> members;
    in.expect('{');
    if (!in.take('}'))
    {
        do
        {
            std::string name = name_of(in.read_string());
            in.expect(':');
            members.push_back({std::move(name), in.read_value()});
        } while (in.take(','));
        in.expect('}');
    }
    if (!in.at_end())
        throw parse_error("text after the end of an object");
    return members;
}

std::vector<std::string_view> split_json_array(std::string_view text)
{
    json_cursor in(text);
    std::vector<std::string_view> values;
    in.expect('[');
    if (!in.take(']'))
    {
        do
            values.push_back(in.read_value());
        while (in.take(','));
        in.expect(']');
    }
    if (!in.at_end())
        throw parse_error("text after the end of a list");
    return values;
}

std::string_view find_json_member(const std::vector<json_member>& members,
                                  std::string_view name)
{
    const auto from_last = members | std::views::reverse;
    const auto it = std::ranges::find(from_last, name, &json_member::name);
    return it == from_last.end() ? std::string_view() : it->value;
}

std::string_view json_member_at(const std::vector<json_member>& members,
                                std::string_view name)
{
    const std::string_view value = find_json_member(members, name);
    if (value.empty())
        throw parse_error("no member \"" + std::string(name) + "\"");
    return value;
}

} // namespace poplar
