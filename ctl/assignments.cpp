#include "ctl/assignments.hpp"

#include "base/error.hpp"

#include <nlohmann/json.hpp>

namespace poplar::ctl
{

namespace
{

using nlohmann::json;

assignment_row row_from_json(const json& j)
{
    return {instance_id(j.value("instance", "")),
            j.value("role", ""),
            j.value("model", ""),
            j.value("version", ""),
            j.value("adapters", std::vector<std::string>()),
            j.value("state", ""),
            j.value("reason", "")};
}

/// Runs `parse` on the object and names it in failures.
template <class Parse>
auto parse_object(const std::string& name, const std::string& text,
                  Parse&& parse)
{
    try
    {
        return parse(json::parse(text));
    }
    catch (const json::exception& ec)
    {
        throw parse_error(name + ": " + ec.what());
    }
}

} // namespace

group_assignments parse_assignments(const group_id& group,
                                    const std::string& text)
{
    return parse_object(
        "assignments/" + group.value, text,
        [&](const json& j)
        {
            group_assignments a;
            a.group = group;
            a.epoch = owner_epoch(j.value("epoch", std::uint64_t(0)));
            a.owner = instance_id(j.value("owner", ""));
            a.generation =
                sheet_generation(j.value("sheet_generation", std::uint64_t(0)));
            for (const json& it : j.value("assignments", json::array()))
                a.rows.push_back(row_from_json(it));
            return a;
        });
}

group_lease parse_lease(const group_id& group, const std::string& text)
{
    return parse_object("lease/" + group.value, text,
                        [&](const json& j) -> group_lease
                        {
                            return {
                                group, instance_id(j.value("owner", "")),
                                j.value("address", ""),
                                owner_epoch(j.value("epoch", std::uint64_t(0))),
                                j.value("renewals", std::uint64_t(0))};
                        });
}

} // namespace poplar::ctl
