#include "gateway/fatal_request_record.hpp"

#include "base/digest.hpp"
#include "base/error.hpp"
#include "base/json_guard.hpp"
#include "base/json_text.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>

namespace poplar::gateway
{

namespace
{

using nlohmann::json;

/// Crashes in one record; more prove nothing else.
constexpr std::size_t max_recorded_crashes = 32;
/// Older crashes count as this old.
constexpr std::int64_t max_age_ms = std::int64_t(30) * 24 * 3600 * 1000;

std::int64_t unix_ms_now()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::uint64_t parse_digest(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (ec != std::errc() || end != text.data() + text.size())
        throw parse_error("not a digest: " + excerpt(text));
    return value;
}

policy::request_crash parse_crash(std::uint64_t request, const json& j,
                                  std::int64_t unix_ms, mono_time at)
{
    policy::request_crash c;
    c.request = request;
    c.process.engine = parse_digest(j.at("upstream").get<std::string>());
    c.process.started_ms = json_integer<std::int64_t>(j.at("started_ms"));
    const auto at_ms =
        std::clamp<std::int64_t>(json_integer<std::int64_t>(j.at("at_ms")),
                                 unix_ms - max_age_ms, unix_ms);
    c.at = at - std::chrono::milliseconds(unix_ms - at_ms);
    return c;
}

std::vector<policy::request_crash> recorded_crashes(const store::object& record,
                                                    std::uint64_t request)
{
    if (record.version == object_version())
        return {};
    try
    {
        return decode_fatal_request(request, record.value);
    }
    catch (const parse_error&)
    {
        return {};
    }
}

} // namespace

object_key fatal_request_key(std::uint64_t request)
{
    return object_key(fatal_request_prefix + hex(request));
}

std::uint64_t parse_fatal_request_key(const object_key& key)
{
    return parse_digest(std::string_view(key.value).substr(
        std::string_view(fatal_request_prefix).size()));
}

std::string
encode_fatal_request(const std::vector<policy::request_crash>& crashes)
{
    const mono_time at = now();
    const std::int64_t unix_ms = unix_ms_now();
    json list = json::array();
    for (const policy::request_crash& it : crashes)
        list.push_back({{"upstream", hex(it.process.engine)},
                        {"started_ms", it.process.started_ms},
                        {"at_ms", unix_ms - to_milliseconds(at - it.at)}});
    return json{{"crashes", list}}.dump();
}

std::vector<policy::request_crash>
decode_fatal_request(std::uint64_t request, const std::string& value)
{
    return guard_json(
        [&]
        {
            const json j = parse_json(value);
            const mono_time at = now();
            const std::int64_t unix_ms = unix_ms_now();
            std::vector<policy::request_crash> crashes;
            for (const json& it : j.at("crashes"))
                crashes.push_back(parse_crash(request, it, unix_ms, at));
            return crashes;
        });
}

record_change add_crashes(const store::object& record, std::uint64_t request,
                          const std::vector<policy::request_crash>& crashes)
{
    std::vector<policy::request_crash> all = recorded_crashes(record, request);
    const std::size_t known = all.size();
    const auto is_new = [&](const policy::request_crash& it)
    {
        return std::ranges::find(all, it.process,
                                 &policy::request_crash::process) == all.end();
    };
    for (const policy::request_crash& it : crashes)
        if (all.size() < max_recorded_crashes && is_new(it))
            all.push_back(it);
    if (all.size() == known)
        return {};
    return {record_change::action::write, encode_fatal_request(all)};
}

} // namespace poplar::gateway
