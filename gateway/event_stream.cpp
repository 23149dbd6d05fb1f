#include "gateway/event_stream.hpp"

#include <charconv>

namespace poplar::gateway
{

namespace
{

/// Returns the position after the empty line that ends the event beginning at
/// `from`, or npos if the event is incomplete. Lines end with LF or CR LF.
std::size_t end_of_event(std::string_view text, std::size_t from)
{
    std::size_t line = from;
    while (true)
    {
        const std::size_t line_end = text.find('\n', line);
        if (line_end == std::string_view::npos)
            return std::string_view::npos;
        const std::string_view content = text.substr(line, line_end - line);
        if (line > from && (content.empty() || content == "\r"))
            return line_end + 1;
        line = line_end + 1;
    }
}

std::optional<std::uint64_t> event_id(std::string_view event)
{
    constexpr std::string_view field = "id:";
    std::size_t line = 0;
    while (line < event.size())
    {
        const std::size_t line_end = event.find('\n', line);
        std::string_view content = event.substr(line, line_end - line);
        if (content.starts_with(field))
        {
            content.remove_prefix(field.size());
            while (content.starts_with(' '))
                content.remove_prefix(1);
            std::uint64_t id = 0;
            const auto [end, ec] = std::from_chars(
                content.data(), content.data() + content.size(), id);
            if (ec == std::errc())
                return id;
        }
        if (line_end == std::string_view::npos)
            break;
        line = line_end + 1;
    }
    return std::nullopt;
}

bool is_comment(std::string_view event)
{
    return event.starts_with(':');
}

} // namespace

std::string event_stream::append(std::string_view bytes)
{
    if (has_foreign_event_)
        return "";
    partial_ += bytes;
    std::string events;
    std::size_t offset = 0;
    for (std::size_t end = end_of_event(partial_, offset);
         end != std::string::npos; end = end_of_event(partial_, offset))
    {
        const std::string_view event =
            std::string_view(partial_).substr(offset, end - offset);
        offset = end;
        const auto id = event_id(event);
        has_foreign_event_ = is_continuation_ && !id && !is_comment(event);
        if (has_foreign_event_)
            break;
        has_event_ = true;
        const bool is_repeat = resumed_ && id && last_id_ && *id <= *last_id_;
        if (is_repeat)
            continue;
        if (id)
            last_id_ = id;
        events += event;
    }
    partial_.erase(0, offset);
    return events;
}

void event_stream::restart()
{
    partial_.clear();
    resumed_ = true;
    is_continuation_ = last_id_.has_value();
    has_event_ = false;
    has_foreign_event_ = false;
}

} // namespace poplar::gateway
