#include "control/assignments.hpp"
#include "ctl/commands.hpp"
#include "ctl/output.hpp"
#include "sheet/publish.hpp"
#include "store/api_json.hpp"

#include <algorithm>
#include <iostream>

namespace poplar::ctl
{

namespace
{

using nlohmann::json;
using sheet::current_sheet;

/// An object of a group, which the end of its key names.
template <class Value>
struct of_group
{
    group_id group;
    Value value;
};

using assignments_of_group = of_group<control::group_assignments>;
using lease_of_group = of_group<control::group_lease>;

struct setup_status
{
    current_sheet current;
    std::vector<assignments_of_group> assignments;
    std::vector<lease_of_group> leases;
    std::vector<store::instance_record> instances;
};

/// Objects that cannot be parsed are named on standard error and left out, so
/// that they do not hide the rest of the status.
template <class Value>
std::vector<of_group<Value>> read_groups(store::object_store& store,
                                         const std::string& prefix,
                                         Value (*parse)(const std::string&))
{
    std::vector<of_group<Value>> all;
    for (const store::object& it : store.list(prefix).objects)
    {
        try
        {
            const group_id group(it.key.value.substr(prefix.size()));
            all.push_back({group, parse(it.value)});
        }
        catch (const parse_error& ec)
        {
            std::cerr << "warning: " << it.key << ": " << ec.what() << "\n";
        }
    }
    return all;
}

setup_status read_status(store::object_store& store)
{
    return {
        sheet::read_current(store),
        read_groups(store, control::assignments_prefix,
                    control::parse_group_assignments),
        read_groups(store, control::lease_prefix, control::parse_group_lease),
        store.instances()};
}

std::string join(const std::vector<adapter_id>& items)
{
    std::string text;
    for (const adapter_id& it : items)
        text += (text.empty() ? "" : ",") + it.value;
    return text;
}

json sheet_json(const current_sheet& current)
{
    if (!current.record)
        return nullptr;
    const sheet::sheet_record& r = *current.record;
    return {{"generation", r.generation.value},
            {"operator", r.operator_name},
            {"exported_at", utc_text(r.exported_at)},
            {"export_id", r.export_id}};
}

template <class Value>
json groups_json(const std::vector<of_group<Value>>& all)
{
    json list = json::array();
    for (const of_group<Value>& it : all)
    {
        json j = json::parse(control::to_json(it.value));
        j["group"] = it.group.value;
        list.push_back(std::move(j));
    }
    return list;
}

void print_status_json(const setup_status& s)
{
    print_json({{"sheet", sheet_json(s.current)},
                {"groups", groups_json(s.assignments)},
                {"leases", groups_json(s.leases)},
                {"instances",
                 json::parse(store::to_json(s.instances)).at("instances")}});
}

void print_sheet(const current_sheet& current)
{
    table t({"GENERATION", "OPERATOR", "EXPORTED_AT", "EXPORT"});
    if (current.record)
        t.add({std::to_string(current.record->generation.value),
               current.record->operator_name,
               utc_text(current.record->exported_at),
               current.record->export_id});
    std::cout << "# sheet\n" << t.text();
}

void print_groups(const setup_status& s)
{
    table groups({"GROUP", "OWNER", "EPOCH", "SHEET", "LEASE_OWNER",
                  "LEASE_ADDRESS", "LEASE_EPOCH", "RENEWALS"});
    for (const assignments_of_group& a : s.assignments)
    {
        std::vector<std::string> cells{
            a.group.value, a.value.owner.value,
            std::to_string(a.value.epoch.value),
            std::to_string(a.value.generation.value)};
        const auto lease =
            std::ranges::find(s.leases, a.group, &lease_of_group::group);
        if (lease != s.leases.end())
            cells.insert(cells.end(),
                         {lease->value.owner.value, lease->value.address,
                          std::to_string(lease->value.epoch.value),
                          std::to_string(lease->value.renewals)});
        groups.add(std::move(cells));
    }
    std::cout << "\n# groups\n" << groups.text();
}

void print_assignments(const std::vector<assignments_of_group>& all)
{
    table rows({"GROUP", "INSTANCE", "ROLE", "STATE", "MODEL", "VERSION",
                "ADAPTERS", "REASON"});
    for (const assignments_of_group& a : all)
        for (const control::assignment& it : a.value.assignments)
            rows.add({a.group.value, it.instance.value, to_string(it.role),
                      to_string(it.state), it.model.value, it.version.value,
                      join(it.adapters), it.reason});
    std::cout << "\n# assignments\n" << rows.text();
}

/// `SHEET` is what the current sheet asks of the instance.
void print_instances(const setup_status& s)
{
    sheet::sheet wanted;
    if (s.current.record)
        wanted =
            sheet::parse_sheet(s.current.record->text, sheet::sheet_key.value);
    table t({"INSTANCE", "KIND", "GROUP", "FAILURE_DOMAIN", "ADDRESS", "STATE",
             "SHEET"});
    for (const store::instance_record& it : s.instances)
        t.add({it.instance.value, to_string(it.kind), it.group.value,
               it.failure_domain.value,
               it.address.empty() ? "" : to_string(it.address),
               to_string(it.state),
               to_string(sheet::state_of(wanted, it.instance))});
    std::cout << "\n# instances\n" << t.text();
}

struct export_outcome
{
    std::string result;
    exit_code code;
    std::string line;
};

/// Exports are remembered for max_past_exports generations only.
export_outcome find_outcome(const options& o, const current_sheet& current)
{
    if (!current.record)
        return {"not_accepted", exit_code::not_found,
                "no sheet was published yet"};
    const sheet::sheet_record& r = *current.record;
    const auto found = sheet::find_export(r, o.export_id);
    const std::string present =
        "current generation " + std::to_string(r.generation.value);
    if (found)
        return {"accepted", exit_code::success,
                "accepted as generation " +
                    std::to_string(found->generation.value) + " by " +
                    found->operator_name + " at " +
                    utc_text(found->exported_at) + "; " + present};
    if (r.past.size() < sheet::max_past_exports)
        return {"not_accepted", exit_code::not_found,
                "not accepted; " + present};
    return {"unknown", exit_code::unknown,
            "not among the last " +
                std::to_string(sheet::max_past_exports + 1) + " exports; " +
                present};
}

exit_code run_export_status(const options& o, const current_sheet& current)
{
    const export_outcome outcome = find_outcome(o, current);
    if (o.json)
        print_json({{"result", outcome.result},
                    {"export_id", o.export_id},
                    {"sheet", sheet_json(current)}});
    else
        std::cout << "export " << o.export_id << ": " << outcome.line << "\n";
    return outcome.code;
}

} // namespace

exit_code run_status(const options& o, store::object_store& store)
{
    if (!o.export_id.empty())
        return run_export_status(o, sheet::read_current(store));
    const setup_status s = read_status(store);
    if (o.json)
    {
        print_status_json(s);
        return exit_code::success;
    }
    print_sheet(s.current);
    print_groups(s);
    print_assignments(s.assignments);
    print_instances(s);
    return exit_code::success;
}

} // namespace poplar::ctl
