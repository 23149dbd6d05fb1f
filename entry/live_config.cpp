#include "entry/live_config.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace poplar::entry
{

namespace
{

fb::engine_role parse_role(const std::string& text)
{
    for (const fb::engine_role role : fb::EnumValuesengine_role())
        if (text == fb::EnumNameengine_role(role))
            return role;
    throw parse_error("unknown role \"" + text + "\"");
}

fb::upstream_state parse_state(const std::string& text)
{
    for (const fb::upstream_state state : fb::EnumValuesupstream_state())
        if (text == fb::EnumNameupstream_state(state))
            return state;
    throw parse_error("unknown state \"" + text + "\"");
}

fb::assignmentT parse_part(const nlohmann::json& item)
{
    fb::assignmentT part;
    part.instance = item.at("instance").get<std::string>();
    part.role = parse_role(item.value("role", "unassigned"));
    part.model = item.value("model", "");
    part.model_version = item.value("version", "");
    part.adapters = item.value("adapters", std::vector<std::string>());
    part.state = parse_state(item.value("state", "active"));
    return part;
}

group_assignments parse_json(const platform::object& o)
{
    const nlohmann::json json = nlohmann::json::parse(o.value);
    group_assignments result;
    result.group = group_id(o.key.value.substr(assignments_prefix.size()));
    result.version = o.version;
    result.epoch = owner_epoch(json.value("epoch", std::uint64_t(0)));
    const auto generation = json.value("sheet_generation", std::uint64_t(0));
    const auto list = json.find("instances");
    if (list == json.end())
        return result;
    for (const nlohmann::json& item : *list)
    {
        fb::assignmentT part = parse_part(item);
        part.group = result.group.value;
        part.version = o.version.value;
        part.epoch = result.epoch.value;
        part.sheet_generation = generation;
        result.parts.push_back(std::move(part));
    }
    return result;
}

} // namespace

group_assignments parse_assignments(const platform::object& o)
{
    try
    {
        return parse_json(o);
    }
    catch (const nlohmann::json::exception& ec)
    {
        throw parse_error(o.key.value + ": " + ec.what());
    }
}

std::set<instance_id> drained_instances(const sheet::sheet& s)
{
    std::set<instance_id> result(s.drained.begin(), s.drained.end());
    result.insert(s.withdrawn.begin(), s.withdrawn.end());
    return result;
}

bool live_config::take_sheet(const platform::object& o)
{
    if (o.key != sheet::sheet_key || o.version.value == 0)
        return false;
    const sheet::sheet_record record = sheet::parse_record(o.value);
    if (record.generation <= current().generation)
        return false;
    auto parsed = std::make_shared<const sheet::sheet>(
        sheet::parse_sheet(record.text, o.key.value));
    absl::MutexLock lock(&mutex_);
    if (record.generation <= sheet_.generation)
        return false;
    sheet_ = {std::move(parsed), record.generation};
    return true;
}

std::optional<group_assignments>
live_config::take_assignments(const platform::object& o)
{
    if (o.version.value == 0)
        return std::nullopt;
    group_assignments next = parse_assignments(o);
    absl::MutexLock lock(&mutex_);
    group_assignments& held = groups_[next.group];
    if (held.version >= next.version)
        return std::nullopt;
    held = next;
    newest_ = std::max(newest_, next.version);
    return next;
}

sheet_in_force live_config::current() const
{
    absl::MutexLock lock(&mutex_);
    return sheet_;
}

std::optional<fb::assignmentT>
live_config::part_of(const instance_id& instance) const
{
    absl::MutexLock lock(&mutex_);
    for (const auto& [name, group] : groups_)
    {
        const auto it = std::ranges::find(group.parts, instance.value,
                                          &fb::assignmentT::instance);
        if (it == group.parts.end())
            continue;
        const sheet::engine_group* declared =
            sheet_.sheet ? sheet::find_group(*sheet_.sheet, name) : nullptr;
        fb::assignmentT part = *it;
        part.checks_fencing = declared && declared->checks_fencing;
        return part;
    }
    return std::nullopt;
}

fb::heartbeatT live_config::heartbeat() const
{
    absl::MutexLock lock(&mutex_);
    fb::heartbeatT beat;
    beat.sheet_generation = sheet_.generation.value;
    beat.assignments_version = newest_.value;
    return beat;
}

} // namespace poplar::entry
