/// JSON formats of POST /v1/chat/completions.
#pragma once

#include "base/units.hpp"
#include "entry/failure.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace poplar::entry
{

/// The fields of a request body that are used.
struct chat_request
{
    std::string model;
    std::string adapter; ///< Empty if not given.
    std::string prompt;  ///< Contents of the messages, joined with one space.
    std::uint32_t max_tokens = 0; ///< 0 if not given.
    bool stream = false;
};

/// Parses a request body. A failure has the kind bad_request and names the
/// field if possible.
std::variant<chat_request, failure> parse_chat_request(const std::string& body);

/// Counts tokens; each whitespace-separated word is taken as one token.
token_count count_tokens(std::string_view text);

/// Fields that all chunks of an answer repeat.
struct chat_metadata
{
    std::string id; ///< Request id.
    std::string model;
    std::int64_t created = 0; ///< Seconds since 1970, UTC.
};

/// Token counts that are reported with the answer.
struct chat_usage
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    bool reached_max_tokens = false; ///< The answer ended at max_tokens.
};

/// Returns a server-sent event with a piece of the text.
std::string chat_chunk(const chat_metadata& metadata, std::string_view text);
/// Returns the server-sent events that complete an answer, with usage.
std::string chat_last_chunk(const chat_metadata& metadata,
                            const chat_usage& usage);
/// Returns the body of an answer that is not streamed.
std::string chat_body(const chat_metadata& metadata, std::string_view text,
                      const chat_usage& usage);

} // namespace poplar::entry
