/// One stream between an entry and the engine, and how its end is derived
/// from the engine's answer.
#pragma once

#include "agent/engine_api.hpp"
#include "agent/output_buffer.hpp"
#include "base/time.hpp"
#include "net/http_client.hpp"
#include "wire/connection.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace poplar::agent
{

/// One dispatch of a request.
struct dispatch_key
{
    request_id request;
    attempt_number attempt;

    auto operator<=>(const dispatch_key&) const = default;

    template <class H>
    friend H AbslHashValue(H h, const dispatch_key& key)
    {
        return H::combine(std::move(h), key.request, key.attempt);
    }
};

struct stream
{
    stream(const fb::open_streamT& open, mono_time t);

    dispatch_key key;
    std::string engine_id; ///< Request id at the engine.
    std::uint32_t rank = 0;
    bool prefill_only = false;
    bool imports_kv = false; ///< The KV cache comes from a prefill engine.

    wire::connection_ptr connection; ///< Null while the entry is away.
    std::uint64_t number = 0;        ///< Of the stream on the connection.
    output_buffer output;

    net::exchange_number exchange = 0;
    bool is_running = true;  ///< The engine may be working on it.
    bool is_paused = false;  ///< Reading from the engine is paused.
    bool is_dropped = false; ///< Nobody wants it; only the engine's end counts.
    bool has_token = false;
    std::string partial_line;
    std::string other_text; ///< Body of an error answer.
    std::optional<done_line> done;
    bool is_out_of_order = false; ///< The engine left out a token.

    /// Set once it is known how the stream ends; sent after its output.
    std::optional<fb::stream_endT> end;
    bool end_is_sent = false;

    mono_time opened;
    std::optional<mono_time> deadline;
    mono_time last_progress;                 ///< Of the engine.
    std::optional<mono_time> unneeded_since; ///< Entry away, or end sent.
};

/// Takes bytes of the engine's answer, whole lines first.
void take_engine_bytes(stream& s, std::string_view bytes);

/// End of the stream after the engine's answer has ended.
fb::stream_endT end_of(const stream& s, const net::client_result& result,
                       const ip_address& engine);

fb::stream_endT refused_end(fb::refusal why, const std::string& message);
fb::stream_endT early_end(const stream& s, fb::end_reason why,
                          const std::string& message);

} // namespace poplar::agent
