#include "entry/chat_request.hpp"

#include <cctype>
#include <limits>
#include <nlohmann/json.hpp>

namespace poplar::entry
{

namespace
{

using nlohmann::json;

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

failure bad_request(const std::string& message)
{
    return {failure_kind::bad_request, message, fb::ran_state::no, {}};
}

/// Returns the text of a message. Some clients send a list of text parts
/// instead of a string.
std::string content_of(const json& message)
{
    const json& content = message.at("content");
    if (content.is_string())
        return content.get<std::string>();
    std::string text;
    for (const json& part : content)
    {
        text += text.empty() ? "" : " ";
        text += part.at("text").get<std::string>();
    }
    return text;
}

std::string prompt_of(const json& body)
{
    std::string prompt;
    for (const json& message : body.at("messages"))
    {
        prompt += prompt.empty() ? "" : " ";
        prompt += content_of(message);
    }
    return prompt;
}

std::uint32_t max_tokens_of(const json& body)
{
    for (const char* name : {"max_tokens", "max_completion_tokens"})
    {
        const auto it = body.find(name);
        if (it == body.end() || it->is_null())
            continue;
        if (!it->is_number_integer())
            throw parse_error(std::string(name) + ": expected an integer");
        const auto n = it->get<std::int64_t>();
        if (n < 1 || n > std::numeric_limits<std::uint32_t>::max())
            throw parse_error(std::string(name) + ": out of range");
        return static_cast<std::uint32_t>(n);
    }
    return 0;
}

json choice(const char* part, json content, const json& reason)
{
    return json::array({{{"index", 0},
                         {part, std::move(content)},
                         {"finish_reason", reason}}});
}

json envelope(const chat_metadata& metadata, const char* object)
{
    return {{"id", metadata.id},
            {"object", object},
            {"created", metadata.created},
            {"model", metadata.model}};
}

json usage_json(const chat_usage& usage)
{
    return {{"prompt_tokens", usage.prompt_tokens},
            {"completion_tokens", usage.output_tokens},
            {"total_tokens", usage.prompt_tokens + usage.output_tokens}};
}

const char* finish_reason(const chat_usage& usage)
{
    return usage.reached_max_tokens ? "length" : "stop";
}

} // namespace

std::variant<chat_request, failure> parse_chat_request(const std::string& text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return bad_request("the body is not a JSON object");
    try
    {
        chat_request r;
        r.model = body.at("model").get<std::string>();
        r.adapter = body.value("adapter", "");
        r.prompt = prompt_of(body);
        r.max_tokens = max_tokens_of(body);
        r.stream = body.value("stream", false);
        if (r.prompt.empty())
            return bad_request("messages: there is no content");
        return r;
    }
    catch (const json::exception& ec)
    {
        return bad_request(ec.what());
    }
    catch (const parse_error& ec)
    {
        return bad_request(ec.what());
    }
}

token_count count_tokens(std::string_view text)
{
    std::int64_t words = 0;
    bool is_in_word = false;
    for (const unsigned char c : text)
    {
        const bool is_space = std::isspace(c) != 0;
        words += !is_space && !is_in_word ? 1 : 0;
        is_in_word = !is_space;
    }
    return token_count(words);
}

std::string chat_chunk(const chat_metadata& metadata, std::string_view text)
{
    json event = envelope(metadata, "chat.completion.chunk");
    event["choices"] =
        choice("delta", {{"content", std::string(text)}}, nullptr);
    return "data: " + dump(event) + "\n\n";
}

std::string chat_last_chunk(const chat_metadata& metadata,
                            const chat_usage& usage)
{
    json event = envelope(metadata, "chat.completion.chunk");
    event["choices"] = choice("delta", json::object(), finish_reason(usage));
    event["usage"] = usage_json(usage);
    return "data: " + dump(event) + "\n\ndata: [DONE]\n\n";
}

std::string chat_body(const chat_metadata& metadata, std::string_view text,
                      const chat_usage& usage)
{
    json body = envelope(metadata, "chat.completion");
    body["choices"] = choice(
        "message", {{"role", "assistant"}, {"content", std::string(text)}},
        finish_reason(usage));
    body["usage"] = usage_json(usage);
    return dump(body);
}

} // namespace poplar::entry
