#include "control/assignments.hpp"

#include "base/json_text.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace poplar::control
{

namespace
{

using nlohmann::json;
using sheet::engine_role;
using sheet::upstream_state;

constexpr std::array roles{engine_role::unassigned, engine_role::prefill,
                           engine_role::decode, engine_role::mixed};
constexpr std::array states{upstream_state::active, upstream_state::draining,
                            upstream_state::withdrawn};

template <class Values>
auto parse_enum(const Values& values, const std::string& text)
{
    auto it = std::ranges::find_if(values, [&](auto value)
                                   { return to_string(value) == text; });
    if (it == values.end())
        throw parse_error("unknown value in assignments: " + text);
    return *it;
}

json to_object(const assignment& a)
{
    json adapters = json::array();
    for (const adapter_id& it : a.adapters)
        adapters.push_back(it.value);
    return {{"instance", a.instance.value},
            {"role", to_string(a.role)},
            {"model", a.model.value},
            {"version", a.version.value},
            {"adapters", adapters},
            {"state", to_string(a.state)},
            {"reason", a.reason}};
}

assignment parse_assignment(const json& j)
{
    assignment a;
    a.instance = instance_id(j.at("instance").get<std::string>());
    a.role = parse_enum(roles, j.at("role").get<std::string>());
    a.model = model_id(j.at("model").get<std::string>());
    a.version = model_version(j.at("version").get<std::string>());
    for (const json& it : j.at("adapters"))
        a.adapters.emplace_back(it.get<std::string>());
    a.state = parse_enum(states, j.at("state").get<std::string>());
    a.reason = j.value("reason", "");
    return a;
}

group_assignments parse_object(const json& j)
{
    group_assignments a;
    a.epoch = owner_epoch(j.at("epoch").get<std::uint64_t>());
    a.owner = instance_id(j.at("owner").get<std::string>());
    a.write_id = j.value("write_id", "");
    a.generation =
        sheet_generation(j.at("sheet_generation").get<std::uint64_t>());
    for (const json& it : j.at("assignments"))
        a.assignments.push_back(parse_assignment(it));
    return a;
}

} // namespace

bool is_newer(const assignments_stamp& a, const assignments_stamp& than)
{
    if (era_of(a.version) == era_of(than.version))
        return a.version > than.version;
    return a.epoch > than.epoch;
}

object_key assignments_key(const group_id& group)
{
    return object_key(assignments_prefix + group.value);
}

object_key lease_key(const group_id& group)
{
    return object_key(lease_prefix + group.value);
}

std::string to_json(const group_assignments& a)
{
    json list = json::array();
    for (const assignment& it : a.assignments)
        list.push_back(to_object(it));
    const json j{{"epoch", a.epoch.value},
                 {"owner", a.owner.value},
                 {"write_id", a.write_id},
                 {"sheet_generation", a.generation.value},
                 {"assignments", list}};
    return j.dump();
}

group_assignments parse_group_assignments(const std::string& text)
{
    try
    {
        return parse_object(parse_json(text));
    }
    catch (const json::exception& ec)
    {
        throw parse_error(std::string("assignments: ") + ec.what());
    }
}

std::string to_json(const group_lease& lease)
{
    const json j{{"owner", lease.owner.value},
                 {"address", lease.address},
                 {"epoch", lease.epoch.value},
                 {"renewals", lease.renewals}};
    return j.dump();
}

group_lease parse_group_lease(const std::string& text)
{
    try
    {
        const json j = parse_json(text);
        return {instance_id(j.at("owner").get<std::string>()),
                j.at("address").get<std::string>(),
                owner_epoch(j.at("epoch").get<std::uint64_t>()),
                j.at("renewals").get<std::uint64_t>()};
    }
    catch (const json::exception& ec)
    {
        throw parse_error(std::string("lease: ") + ec.what());
    }
}

const assignment* find_assignment(const group_assignments& a,
                                  const instance_id& instance)
{
    auto it = std::ranges::find(a.assignments, instance, &assignment::instance);
    return it == a.assignments.end() ? nullptr : &*it;
}

} // namespace poplar::control
