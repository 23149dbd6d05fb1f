#include "store/api_json.hpp"

#include "base/json_guard.hpp"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace poplar::store
{

namespace
{

using nlohmann::json;

std::optional<instance_kind> parse_kind(const std::string& text)
{
    for (const instance_kind k :
         {instance_kind::entry, instance_kind::engine, instance_kind::service})
        if (to_string(k) == text)
            return k;
    return std::nullopt;
}

std::optional<instance_record> record_from_json(const instance_id& instance,
                                                const json& j)
{
    const auto kind = parse_kind(j.at("kind").get<std::string>());
    if (!kind)
        return std::nullopt;
    instance_record r;
    r.instance = instance;
    r.kind = *kind;
    r.group = group_id(j.value("group", ""));
    r.region = region_id(j.value("region", ""));
    r.failure_domain = failure_domain_id(j.value("failure_domain", ""));
    const std::string address = j.value("address", "");
    if (!address.empty())
        r.address = parse_ip_address(address);
    r.state = j.value("state", "live") == "live" ? instance_state::live
                                                 : instance_state::leaving;
    return r;
}

json record_to_json(const instance_record& r)
{
    return {{"instance", r.instance.value},
            {"kind", to_string(r.kind)},
            {"group", r.group.value},
            {"region", r.region.value},
            {"failure_domain", r.failure_domain.value},
            {"address", r.address.empty() ? "" : to_string(r.address)},
            {"state", to_string(r.state)}};
}

object object_from_json(const json& j)
{
    object o;
    o.key = object_key(j.at("key").get<std::string>());
    if (j.at("value").is_null())
        return o;
    o.version = object_version(j.at("version").get<std::uint64_t>());
    o.value = j.at("value").get<std::string>();
    return o;
}

std::string escape(const std::string& text, const std::string& allowed)
{
    constexpr std::array<char, 17> digits{"0123456789ABCDEF"};
    std::string result;
    for (const char c : text)
    {
        const bool is_plain =
            (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
            (c >= '0' && c <= '9') || allowed.find(c) != std::string::npos;
        const auto byte = static_cast<unsigned char>(c);
        if (is_plain)
            result += c;
        else
            result += {'%', digits.at(byte >> 4U), digits.at(byte & 15U)};
    }
    return result;
}

} // namespace

object_list parse_objects(const std::string& body, const std::string& member)
{
    return guard_json(
        [&]
        {
            const json j = json::parse(body);
            object_list list;
            list.revision = object_version(j.at("revision"));
            for (const json& it : j.at(member))
                list.objects.push_back(object_from_json(it));
            return list;
        });
}

std::vector<instance_record> parse_instances(const std::string& body)
{
    return guard_json(
        [&]
        {
            const json j = json::parse(body);
            std::vector<instance_record> records;
            for (const json& it : j.at("instances"))
            {
                const instance_id id(it.at("instance").get<std::string>());
                if (auto record = record_from_json(id, it))
                    records.push_back(std::move(*record));
            }
            return records;
        });
}

std::string to_json(const std::vector<instance_record>& records)
{
    json rows = json::array();
    for (const instance_record& it : records)
        rows.push_back(record_to_json(it));
    return json{{"instances", rows}}.dump();
}

instance_record parse_instance(const instance_id& instance,
                               const std::string& body)
{
    return guard_json(
        [&]
        {
            auto record = record_from_json(instance, json::parse(body));
            if (!record)
                throw parse_error("unknown kind of instance");
            return *record;
        });
}

std::string escape_path(const std::string& text)
{
    return escape(text, "-._~/");
}

std::string escape_query(const std::string& text)
{
    return escape(text, "-._~");
}

std::string unescape(const std::string& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '%')
        {
            result += text[i];
            continue;
        }
        const std::string digits = text.substr(i + 1, 2);
        unsigned byte = 0;
        const char* end = digits.data() + digits.size();
        const auto [it, ec] = std::from_chars(digits.data(), end, byte, 16);
        if (digits.size() != 2 || ec != std::errc() || it != end)
            throw parse_error("malformed escape in \"" + text + "\"");
        result += static_cast<char>(byte);
        i += 2;
    }
    return result;
}

} // namespace poplar::store
