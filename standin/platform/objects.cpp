#include "standin/platform/objects.hpp"

#include <algorithm>

namespace poplar::standin_platform
{

namespace
{

nlohmann::json to_json(const std::string& key, const stored_object& o)
{
    nlohmann::json j{{"key", key}, {"version", o.version}};
    if (o.value)
        j["value"] = *o.value;
    else
        j["value"] = nullptr;
    return j;
}

} // namespace

const stored_object* object_table::find(const std::string& key) const
{
    const auto it = objects_.find(key);
    return it == objects_.end() || !it->second.value ? nullptr : &it->second;
}

std::uint64_t object_table::version_of(const std::string& key) const
{
    const stored_object* present = find(key);
    return present ? present->version : 0;
}

write_result object_table::write(const std::string& key,
                                 std::optional<std::string> value,
                                 std::uint64_t expected)
{
    const std::uint64_t current = version_of(key);
    if (current != expected || (current == 0 && !value))
        return {false, current};
    if (current != 0 && value == objects_.at(key).value)
        return {true, current};
    objects_[key] = {++revision_, std::move(value)};
    changes_.push_back({revision_, key});
    if (changes_.size() > history_)
        forget_oldest();
    return {true, revision_};
}

/// A removed object is forgotten with the change that removed it.
void object_table::forget_oldest()
{
    const change& oldest = changes_.front();
    forgotten_ = oldest.revision;
    const auto it = objects_.find(oldest.key);
    if (it != objects_.end() && it->second.version == oldest.revision &&
        !it->second.value)
        objects_.erase(it);
    changes_.pop_front();
}

nlohmann::json object_table::list(const std::string& prefix) const
{
    nlohmann::json objects = nlohmann::json::array();
    for (auto it = objects_.lower_bound(prefix);
         it != objects_.end() && it->first.starts_with(prefix); ++it)
        if (it->second.value)
            objects.push_back(to_json(it->first, it->second));
    return {{"revision", revision_}, {"objects", objects}};
}

std::optional<nlohmann::json> object_table::changes(const std::string& prefix,
                                                    std::uint64_t after) const
{
    if (after < forgotten_ || after > revision_)
        return std::nullopt;
    nlohmann::json found = nlohmann::json::array();
    auto it = std::ranges::upper_bound(changes_, after, {}, &change::revision);
    for (; it != changes_.end(); ++it)
    {
        if (!it->key.starts_with(prefix))
            continue;
        const stored_object& o = objects_.at(it->key);
        if (o.version == it->revision)
            found.push_back(to_json(it->key, o));
    }
    return nlohmann::json{{"revision", revision_}, {"changes", found}};
}

} // namespace poplar::standin_platform
