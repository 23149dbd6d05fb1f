#include "agent/stream.hpp"

#include <algorithm>

namespace poplar::agent
{

namespace
{

constexpr std::size_t kept_error_bytes = 512;
/// An entry tries elsewhere at once; the same agent only after this time.
constexpr duration refused_retry = std::chrono::milliseconds(500);

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_server_error = 500;
constexpr unsigned status_unavailable = 503;

void take_line(stream& s, std::string_view line)
{
    if (line.empty())
        return;
    engine_line parsed;
    try
    {
        parsed = parse_engine_line(line);
    }
    catch (const parse_error&)
    {
        parsed = other_line{std::string(line)};
    }
    if (auto* token = std::get_if<token_line>(&parsed))
    {
        s.has_token = true;
        if (s.output.add(token->offset, std::move(token->text)) ==
            token_place::gap)
            s.is_out_of_order = true;
    }
    else if (const auto* done = std::get_if<done_line>(&parsed))
        s.done = *done;
    else if (s.other_text.size() < kept_error_bytes)
        s.other_text += std::get<other_line>(parsed).text;
}

fb::stream_endT lost_end(const stream& s, const std::string& message)
{
    return early_end(s, fb::end_reason::upstream_lost, message);
}

/// End for an answer other than 200.
fb::stream_endT error_end(const stream& s, unsigned status)
{
    const std::string message =
        "engine: " + std::to_string(status) + " " + s.other_text;
    if (status == status_too_many || status == status_unavailable)
        return refused_end(fb::refusal::overloaded, message);
    // Another decode engine could not import the cache either: the entry has to
    // start again with the prompt.
    if (status == status_conflict && !s.imports_kv)
        return refused_end(fb::refusal::not_ready, message);
    if (status >= status_server_error)
        return lost_end(s, message);
    fb::stream_endT end;
    end.reason = fb::end_reason::invalid;
    end.message = message;
    return end;
}

fb::stream_endT complete_end(const stream& s)
{
    fb::stream_endT end;
    end.reason = fb::end_reason::complete;
    end.ran = fb::ran_state::yes;
    end.prompt_tokens = s.done->prompt_tokens;
    end.cached_tokens = s.done->cached_tokens;
    // Counted here: an entry compares it with the tokens it has received.
    end.output_tokens = s.output.end_offset();
    return end;
}

fb::stream_endT prefill_end(const stream& s, const std::string& body,
                            const ip_address& engine)
{
    try
    {
        const prefill_answer answer = parse_prefill(body);
        fb::stream_endT end;
        end.reason = fb::end_reason::complete;
        end.ran = fb::ran_state::yes;
        end.prompt_tokens = answer.prompt_tokens;
        end.cached_tokens = answer.cached_tokens;
        end.kv = std::make_unique<fb::kv_sourceT>();
        end.kv->address = to_string(engine);
        end.kv->handle = answer.handle;
        return end;
    }
    catch (const parse_error& ec)
    {
        return lost_end(s, ec.what());
    }
}

} // namespace

stream::stream(const fb::open_streamT& open, mono_time t)
    : key{{open.request->high(), open.request->low()},
          attempt_number(open.attempt)},
      engine_id(engine_request_id(key.request, key.attempt)), rank(open.rank),
      prefill_only(open.prefill_only), imports_kv(open.kv != nullptr),
      number(open.stream), output(open.resume_tokens, open.window_bytes),
      opened(t), last_progress(t)
{
    // A time beyond a day is as good as none, and cannot overflow.
    constexpr std::uint64_t longest =
        std::chrono::microseconds(std::chrono::hours(24)).count();
    if (open.deadline_us > 0)
        deadline = t + duration(static_cast<std::int64_t>(
                           std::min(open.deadline_us, longest)));
}

void take_engine_bytes(stream& s, std::string_view bytes)
{
    for (;;)
    {
        const auto end = bytes.find('\n');
        if (end == std::string_view::npos)
            break;
        s.partial_line += bytes.substr(0, end);
        take_line(s, s.partial_line);
        s.partial_line.clear();
        bytes.remove_prefix(end + 1);
    }
    s.partial_line += bytes;
}

fb::stream_endT end_of(const stream& s, const net::client_result& result,
                       const ip_address& engine)
{
    const unsigned status = result.response.status;
    if (result.failure == net::client_failure::not_connected)
        return refused_end(fb::refusal::not_ready,
                           "engine not reached: " + result.detail);
    if (result.failure != net::client_failure::none)
        return lost_end(s, to_string(result.failure) + ": " + result.detail);
    if (status != status_ok)
        return error_end(s, status);
    if (s.prefill_only)
        return prefill_end(s, result.response.body, engine);
    if (s.is_out_of_order)
        return lost_end(s, "the engine left out a token");
    if (!s.done)
        return lost_end(s, "the engine's answer is not whole");
    return complete_end(s);
}

fb::stream_endT refused_end(fb::refusal why, const std::string& message)
{
    fb::stream_endT end;
    end.reason = fb::end_reason::refused;
    end.refusal = why;
    end.ran = fb::ran_state::no;
    end.message = message;
    end.retry_after_us = static_cast<std::uint64_t>(refused_retry.count());
    return end;
}

fb::stream_endT early_end(const stream& s, fb::end_reason why,
                          const std::string& message)
{
    fb::stream_endT end;
    end.reason = why;
    end.ran = s.has_token ? fb::ran_state::yes : fb::ran_state::unknown;
    end.message = message;
    end.output_tokens = s.output.end_offset();
    return end;
}

} // namespace poplar::agent
