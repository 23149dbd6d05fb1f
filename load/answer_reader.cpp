#include "load/answer_reader.hpp"

#include <nlohmann/json.hpp>

namespace poplar::load
{

namespace
{

using nlohmann::json;

constexpr std::string_view data_mark = "data: ";
constexpr std::string_view done_mark = "[DONE]";

std::string text_at(const json& j, const json::json_pointer& path)
{
    if (!j.contains(path) || !j.at(path).is_string())
        return "";
    return j.at(path).get<std::string>();
}

std::string error_type_in(const json& j)
{
    const std::string type = text_at(j, json::json_pointer("/error/type"));
    return type.empty() ? text_at(j, json::json_pointer("/error")) : type;
}

} // namespace

std::size_t answer_reader::feed(std::string_view bytes)
{
    rest_.append(bytes);
    std::size_t events = 0;
    std::size_t begin = 0;
    for (std::size_t end = rest_.find('\n'); end != std::string::npos;
         end = rest_.find('\n', begin))
    {
        events += take_line(std::string_view(rest_).substr(begin, end - begin));
        begin = end + 1;
    }
    rest_.erase(0, begin);
    return events;
}

bool answer_reader::take_line(std::string_view line)
{
    if (form_ == protocol::engine)
        return take_json(line);
    if (!line.starts_with(data_mark))
        return false;
    line.remove_prefix(data_mark.size());
    if (line.starts_with(done_mark))
    {
        done_ = true;
        return false;
    }
    return take_json(line);
}

bool answer_reader::take_json(std::string_view line)
{
    static const json::json_pointer entry_text("/choices/0/delta/content");
    static const json::json_pointer engine_text("/text");
    const json j = json::parse(line, nullptr, false);
    if (!j.is_object())
        return false;
    if (j.contains("error"))
        error_type_ = error_type_in(j);
    if (form_ == protocol::engine && j.contains("done"))
        done_ = true;
    const std::string text =
        text_at(j, form_ == protocol::engine ? engine_text : entry_text);
    text_ += text;
    return !text.empty();
}

std::string whole_text(const std::string& body)
{
    return text_at(json::parse(body, nullptr, false),
                   json::json_pointer("/choices/0/message/content"));
}

std::string error_type_of(const std::string& body)
{
    return error_type_in(json::parse(body, nullptr, false));
}

duration retry_after_of(const std::string& body)
{
    static const json::json_pointer path("/error/retry_after_ms");
    const json j = json::parse(body, nullptr, false);
    if (!j.contains(path) || !j.at(path).is_number_integer())
        return duration::zero();
    return std::chrono::milliseconds(j.at(path).get<std::int64_t>());
}

} // namespace poplar::load
