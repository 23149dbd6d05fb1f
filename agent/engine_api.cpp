#include "agent/engine_api.hpp"

#include "base/json_text.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace poplar::agent
{

namespace
{

using nlohmann::json;

constexpr int hex_base = 16;

/// Runs `read` on the parsed text; every fault becomes a parse_error.
template <class Read>
auto parse_with(std::string_view text, Read read)
{
    try
    {
        return read(parse_json(text));
    }
    catch (const json::exception& ec)
    {
        throw parse_error(ec.what());
    }
}

template <class Number>
Number number_or_zero(const json& j, const char* key)
{
    const auto it = j.find(key);
    return it == j.end() || it->is_null() ? Number(0) : it->get<Number>();
}

std::string text_or_empty(const json& j, const char* key)
{
    const auto it = j.find(key);
    return it == j.end() || it->is_null() ? "" : it->get<std::string>();
}

/// A block is a number or its hexadecimal text: not every JSON reader keeps
/// 64-bit numbers whole.
std::uint64_t read_block(const json& j)
{
    const auto it = j.find("block");
    if (it == j.end())
        return 0;
    if (!it->is_string())
        return it->get<std::uint64_t>();
    const auto& text = it->get_ref<const std::string&>();
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [at, ec] = std::from_chars(text.data(), end, value, hex_base);
    if (ec != std::errc() || at != end)
        throw parse_error("not a block: " + text);
    return value;
}

void add_event(cache_changes& out, const json& event, std::uint64_t& last)
{
    const auto sequence = event.at("seq").get<std::uint64_t>();
    const auto& kind = event.at("kind").get_ref<const std::string&>();
    if (sequence != last + 1 || kind == "clear")
    {
        out.has_gap = true;
        out.changes.clear();
    }
    last = sequence;
    if (kind != "clear")
        out.changes.push_back({sequence, kind == "add", read_block(event)});
}

} // namespace

std::string engine_request_id(const request_id& id, attempt_number attempt)
{
    return to_string(id) + "-" + std::to_string(attempt.value);
}

std::string generate_body(const fb::open_streamT& open,
                          const std::string& engine_id)
{
    json j{{"request_id", engine_id},
           {"model", open.model},
           {"adapter", open.adapter},
           {"prompt", open.prompt},
           {"max_tokens", open.max_tokens},
           {"priority", open.priority},
           {"resume_tokens", open.resume_tokens},
           {"kv", nullptr}};
    if (open.kv)
        j["kv"] = {{"source", open.kv->address}, {"handle", open.kv->handle}};
    try
    {
        return j.dump();
    }
    catch (const json::exception& ec)
    {
        throw parse_error(ec.what());
    }
}

std::string cancel_body(const std::string& engine_id)
{
    return json{{"request_id", engine_id}}.dump();
}

std::string order_body(const engine_order& order)
{
    json adapters = json::array();
    for (const adapter_id& it : order.setup.adapters)
        adapters.push_back(it.value);
    return json{{"fencing", order.fencing.value},
                {"role", sheet::to_string(order.setup.role)},
                {"model", order.setup.model.value},
                {"version", order.setup.version.value},
                {"adapters", std::move(adapters)}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

engine_line parse_engine_line(std::string_view line)
{
    return parse_with(
        line,
        [line](const json& j) -> engine_line
        {
            if (j.is_object() && j.contains("offset"))
                return token_line{j.at("offset").get<std::uint32_t>(),
                                  j.at("text").get<std::string>()};
            if (j.is_object() && j.contains("done"))
                return done_line{
                    number_or_zero<std::uint32_t>(j, "prompt_tokens"),
                    number_or_zero<std::uint32_t>(j, "cached_tokens")};
            return other_line{std::string(line)};
        });
}

prefill_answer parse_prefill(const std::string& body)
{
    return parse_with(
        body,
        [](const json& j)
        {
            return prefill_answer{
                j.at("handle").get<std::string>(),
                number_or_zero<std::uint32_t>(j, "prompt_tokens"),
                number_or_zero<std::uint32_t>(j, "cached_tokens")};
        });
}

engine_load parse_load(const std::string& body)
{
    return parse_with(
        body,
        [](const json& j)
        {
            engine_load l;
            l.running = number_or_zero<std::uint32_t>(j, "running");
            l.waiting = number_or_zero<std::uint32_t>(j, "waiting");
            l.queued_prompt_tokens =
                number_or_zero<std::uint64_t>(j, "queued_prompt_tokens");
            l.decode_streams =
                number_or_zero<std::uint32_t>(j, "decode_streams");
            l.kv_pieces_free =
                number_or_zero<std::uint32_t>(j, "kv_pieces_free");
            l.kv_pieces_total =
                number_or_zero<std::uint32_t>(j, "kv_pieces_total");
            l.age = std::chrono::milliseconds(
                number_or_zero<std::int64_t>(j, "measured_ms_ago"));
            return l;
        });
}

engine_state parse_engine_state(const std::string& body)
{
    return parse_with(
        body,
        [](const json& j)
        {
            engine_state s;
            s.setup.role = parse_role(j.at("role").get<std::string>());
            s.setup.model = model_id(text_or_empty(j, "model"));
            s.setup.version = model_version(text_or_empty(j, "version"));
            for (const json& it : j.value("adapters", json::array()))
                s.setup.adapters.emplace_back(it.get<std::string>());
            std::ranges::sort(s.setup.adapters);
            s.changing = j.value("changing", false);
            return s;
        });
}

cache_changes parse_cache_changes(const std::string& body, std::uint64_t after)
{
    return parse_with(body,
                      [after](const json& j)
                      {
                          cache_changes out;
                          std::uint64_t last = after;
                          for (const json& it : j.at("events"))
                              add_event(out, it, last);
                          out.next = j.at("next").get<std::uint64_t>();
                          // The engine started again, or skipped events.
                          out.has_gap = out.has_gap || out.next != last;
                          return out;
                      });
}

} // namespace poplar::agent
