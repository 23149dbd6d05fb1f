#include "sheet/edit.hpp"

#include "sheet/check.hpp"

#include <algorithm>
#include <thread>
#include <toml++/toml.h>

namespace poplar::sheet
{

namespace
{

/// Exports by others that one edit is repeated for. Each repetition means that
/// somebody else's export was accepted, so that a higher number is not needed
/// by edits made by people.
constexpr unsigned max_conflicts = 20;

/// Bytes [begin, end) of the text.
struct span
{
    std::size_t begin;
    std::size_t end;
};

/// Byte offset of a position; columns count code points.
std::size_t offset_of(const std::string& text, toml::source_position at)
{
    std::size_t offset = 0;
    for (toml::source_index line = 1; line < at.line; ++line)
        offset = text.find('\n', offset) + 1;
    const auto is_continuation = [&](std::size_t i)
    {
        return (static_cast<unsigned char>(text[i]) & 0xC0U) == 0x80U;
    };
    for (toml::source_index column = 1; column < at.column; ++column)
    {
        ++offset;
        while (offset < text.size() && is_continuation(offset))
            ++offset;
    }
    return offset;
}

span span_of(const std::string& text, const toml::node& node)
{
    return {offset_of(text, node.source().begin),
            offset_of(text, node.source().end)};
}

/// Offset of the next byte that is neither white space nor in a comment.
std::size_t skip_blank(const std::string& text, std::size_t at)
{
    while (at < text.size())
    {
        if (text[at] == '#')
            at = std::min(text.find('\n', at), text.size());
        else if (text.find_first_of(" \t\r\n", at) == at)
            ++at;
        else
            break;
    }
    return at;
}

/// Blanks before `at` on its line; nothing when other text stands there.
std::optional<std::string> indent_before(const std::string& text,
                                         std::size_t at)
{
    const std::size_t newline = text.rfind('\n', at == 0 ? 0 : at - 1);
    const std::size_t begin = newline == std::string::npos ? 0 : newline + 1;
    std::string before = text.substr(begin, at - begin);
    if (before.find_first_not_of(" \t") != std::string::npos)
        return std::nullopt;
    return before;
}

/// Adds an element at the end of an array. In an array with one element per
/// line it gets a line of its own, after the comments of the others.
std::string insert_last(std::string text, const toml::array& array,
                        const std::string& quoted)
{
    const std::size_t closing = span_of(text, array).end - 1;
    if (array.empty())
        return text.insert(closing, quoted);
    const span last = span_of(text, *array.get(array.size() - 1));
    const auto closing_indent = indent_before(text, closing);
    if (!closing_indent)
        return text.insert(last.end, ", " + quoted);
    const std::string indent =
        indent_before(text, last.begin).value_or(*closing_indent + "    ");
    text.insert(closing - closing_indent->size(), indent + quoted + ",\n");
    if (text[skip_blank(text, last.end)] != ',')
        text.insert(last.end, ",");
    return text;
}

/// Removes the line around `at` when it holds only blanks.
std::string drop_blank_line(std::string text, std::size_t at)
{
    const auto before = indent_before(text, at);
    const std::size_t end = text.find_first_not_of(" \t\r", at);
    if (!before || end == std::string::npos || text[end] != '\n')
        return text;
    const std::size_t begin = at - before->size();
    return text.erase(begin, end + 1 - begin);
}

/// Removes an element with the comma that follows it, or else the one before.
std::string erase_element(std::string text, const toml::array& array,
                          std::size_t index)
{
    span at = span_of(text, *array.get(index));
    const std::size_t next = skip_blank(text, at.end);
    if (text[next] == ',')
    {
        text.erase(next, 1);
        if (next == at.end && text[next] == ' ' && text[next + 1] != '#')
            ++at.end;
        text.erase(at.begin, at.end - at.begin);
        return drop_blank_line(std::move(text), at.begin);
    }
    text.erase(at.begin, at.end - at.begin);
    text = drop_blank_line(std::move(text), at.begin);
    if (index == 0)
        return text;
    const span before = span_of(text, *array.get(index - 1));
    const std::size_t comma = skip_blank(text, before.end);
    const bool is_blank_after = comma + 1 == at.begin - 1;
    return text.erase(comma, is_blank_after ? 2 : 1);
}

} // namespace

std::string edit_drained(const std::string& text, const instance_id& instance,
                         bool drained)
{
    if (!is_name(instance.value))
        throw parse_error("\"" + instance.value +
                          "\" is not the name of an instance");
    const sheet s = parse_sheet(text, sheet_key.value);
    const auto it = std::ranges::find(s.drained, instance);
    if ((it != s.drained.end()) == drained)
        return text;
    const std::string quoted = "\"" + instance.value + "\"";
    const toml::table root = toml::parse(text);
    const toml::array* array = root["drained"].as_array();
    std::string edited;
    if (!array)
        edited = "drained = [" + quoted + "]\n" + text;
    else if (drained)
        edited = insert_last(text, *array, quoted);
    else
        edited = erase_element(
            text, *array, static_cast<std::size_t>(it - s.drained.begin()));
    parse_sheet(edited, sheet_key.value);
    return edited;
}

edit_result publish_edit(store::object_store& store,
                         const publish_request& request, const text_edit& edit,
                         const publish_options& options)
{
    for (unsigned i = 1;; ++i)
    {
        const current_sheet current = read_current(store);
        if (!current.record)
            throw missing_sheet();
        publish_request next = request;
        next.file = sheet_key.value;
        next.text = edit(current.record->text);
        next.base = current.generation();
        next.export_id = make_export_id();
        if (next.text == current.record->text)
            return {false,
                    {publish_status::accepted,
                     current.record->export_id,
                     current.generation(),
                     std::nullopt,
                     {}}};
        publish_result result = publish(store, next, options);
        if (result.status != publish_status::conflict || i >= max_conflicts)
            return {true, std::move(result)};
    }
}

} // namespace poplar::sheet
