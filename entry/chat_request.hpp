/// POST /v1/chat/completions: the JSON forms.
#pragma once

#include "base/units.hpp"
#include "entry/failure.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace poplar::entry
{

struct chat_request
{
    std::string model;
    std::string adapter; ///< Empty: none.
    std::string prompt;  ///< Contents of the messages, joined with one space.
    std::uint32_t max_tokens = 0; ///< 0: not given.
    bool stream = false;
};

/// Reads the body; a failure has kind bad_request and names the field.
std::variant<chat_request, failure> parse_chat_request(const std::string& body);

/// Whitespace-separated words.
token_count count_tokens(std::string_view text);

/// What all parts of one answer have in common.
struct chat_metadata
{
    std::string id; ///< The request id.
    std::string model;
    std::int64_t created = 0; ///< Seconds since 1970, UTC.
};

struct chat_usage
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    bool reached_max_tokens = false; ///< The answer ended at max_tokens.
};

/// One server-sent event with text.
std::string chat_chunk(const chat_metadata& metadata, std::string_view text);
/// The events that end a whole answer.
std::string chat_last_chunk(const chat_metadata& metadata,
                            const chat_usage& usage);
/// Body of an answer that is not streamed.
std::string chat_body(const chat_metadata& metadata, std::string_view text,
                      const chat_usage& usage);

} // namespace poplar::entry
