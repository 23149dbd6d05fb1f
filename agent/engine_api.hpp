/// JSON of the engine's HTTP interface. The parse functions throw parse_error.
#pragma once

#include "agent/assignment.hpp"
#include "agent/order_machine.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace poplar::agent
{

struct token_line
{
    std::uint32_t offset = 0;
    std::string text;
};

struct done_line
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
};

/// Neither: an error body.
struct other_line
{
    std::string text;
};

using engine_line = std::variant<token_line, done_line, other_line>;

struct prefill_answer
{
    std::string handle;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
};

/// Answer of GET /v1/load.
struct engine_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t queued_prompt_tokens = 0;
    std::uint32_t decode_streams = 0;
    std::uint32_t kv_pieces_free = 0;
    std::uint32_t kv_pieces_total = 0;
    duration age{}; ///< Of the measurement, when the answer was made.

    bool operator==(const engine_load&) const = default;
};

struct cache_change
{
    std::uint64_t sequence = 0;
    bool added = false;
    std::uint64_t block = 0;
};

/// Answer of GET /v1/cache_events.
struct cache_changes
{
    bool has_gap = false; ///< Events were lost or the cache was cleared.
    std::vector<cache_change> changes;
    std::uint64_t next = 0;
};

/// Id of a dispatch at the engine: attempts of one request differ.
std::string engine_request_id(const request_id& id, attempt_number attempt);

/// Throws parse_error when the prompt is not UTF-8.
std::string generate_body(const fb::open_streamT& open,
                          const std::string& engine_id);
std::string cancel_body(const std::string& engine_id);
std::string order_body(const engine_order& order);

engine_line parse_engine_line(std::string_view line);
prefill_answer parse_prefill(const std::string& body);
engine_load parse_load(const std::string& body);
engine_state parse_engine_state(const std::string& body);
/// `after`: sequence number that was asked for.
cache_changes parse_cache_changes(const std::string& body, std::uint64_t after);

} // namespace poplar::agent
