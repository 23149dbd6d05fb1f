#include "gateway/version_record.hpp"

#include "base/error.hpp"
#include "base/json_guard.hpp"
#include "base/json_text.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>

namespace poplar::gateway
{

namespace
{

using nlohmann::json;

version_set recorded_versions(const store::object& record)
{
    if (record.version == object_version())
        return {};
    try
    {
        return decode_versions(record.value);
    }
    catch (const parse_error&)
    {
        return {};
    }
}

} // namespace

object_key version_record_key(const service_id& service)
{
    return object_key(version_prefix + service.value);
}

service_id version_record_service(const object_key& key)
{
    return service_id(
        key.value.substr(std::string_view(version_prefix).size()));
}

std::string encode_versions(const version_set& versions)
{
    json list = json::array();
    for (const software_version& it : versions)
        list.push_back(it.value);
    return json{{"versions", list}}.dump();
}

version_set decode_versions(const std::string& value)
{
    return guard_json(
        [&]
        {
            const json j = parse_json(value);
            const json& list = j.at("versions");
            if (!list.is_array())
                throw parse_error("the versions are not a list");
            version_set versions;
            for (const json& it : list)
                versions.emplace(it.get<std::string>());
            return versions;
        });
}

record_change update_versions(const store::object& record,
                              const version_set& present,
                              const version_set& lapsed)
{
    const version_set before = recorded_versions(record);
    version_set after = before;
    std::ranges::for_each(lapsed, [&](const auto& it) { after.erase(it); });
    after.insert(present.begin(), present.end());
    if (after == before)
        return {};
    return {record_change::action::write, encode_versions(after)};
}

} // namespace poplar::gateway
