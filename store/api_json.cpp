#include "store/api_json.hpp"

#include "base/json_text.hpp"

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

std::optional<instance_record> parse_instance_row(std::string_view text)
{
    return guard_json(
        [&]
        {
            const json j = parse_json(text);
            const instance_id id(j.at("instance").get<std::string>());
            return record_from_json(id, j);
        });
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

/// The text of a member that has to be a string.
std::string text_at(const std::vector<json_member>& members, const char* name)
{
    return guard_json(
        [&] {
            return parse_json(json_member_at(members, name)).get<std::string>();
        });
}

/// A value that cannot be read is left empty.
object parse_row(std::string_view text,
                 std::vector<unreadable_entry>& unreadable)
{
    const auto members = split_json_object(text);
    object o;
    o.key = object_key(text_at(members, "key"));
    if (json_member_at(members, "value") == "null")
        return o;
    try
    {
        o.version = object_version(json_integer<std::uint64_t>(
            parse_json(json_member_at(members, "version"))));
        o.value = text_at(members, "value");
    }
    catch (const parse_error& ec)
    {
        unreadable.push_back({o.key.value, ec.what()});
    }
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

object_list parse_objects(const std::string& body, const std::string& member,
                          store_era era)
{
    const auto answer = split_json_object(body);
    object_list list;
    list.revision = make_version(era, json_integer<std::uint64_t>(parse_json(
                                          json_member_at(answer, "revision"))));
    for (const std::string_view it :
         split_json_array(json_member_at(answer, member)))
        try
        {
            object& o =
                list.objects.emplace_back(parse_row(it, list.unreadable));
            if (o.version != object_version())
                o.version = make_version(era, o.version.value);
        }
        catch (const parse_error& ec)
        {
            list.unreadable.push_back({"", ec.what()});
        }
    return list;
}

instance_list parse_instances(const std::string& body)
{
    const auto answer = split_json_object(body);
    instance_list list;
    for (const std::string_view it :
         split_json_array(json_member_at(answer, "instances")))
        try
        {
            if (auto record = parse_instance_row(it))
                list.records.push_back(std::move(*record));
        }
        catch (const parse_error& ec)
        {
            list.unreadable.push_back({excerpt(it), ec.what()});
        }
    return list;
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
            auto record = record_from_json(instance, parse_json(body));
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
