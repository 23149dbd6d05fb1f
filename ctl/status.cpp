#include "ctl/assignments.hpp"
#include "ctl/commands.hpp"
#include "ctl/output.hpp"
#include "platform/api_json.hpp"
#include "sheet/publish.hpp"

#include <algorithm>
#include <iostream>

namespace poplar::ctl
{

namespace
{

using nlohmann::json;
using sheet::current_sheet;

struct setup_status
{
    current_sheet current;
    std::vector<group_assignments> assignments;
    std::vector<group_lease> leases;
    std::vector<platform::instance_record> instances;
};

/// Parses each object below `prefix`, of which the rest of the key names the
/// group.
template <class Parsed>
std::vector<Parsed>
read_groups(platform::object_store& store, const std::string& prefix,
            Parsed (*parse)(const group_id&, const std::string&))
{
    std::vector<Parsed> all;
    for (const platform::object& it : store.list(prefix).objects)
        all.push_back(
            parse(group_id(it.key.value.substr(prefix.size())), it.value));
    return all;
}

setup_status read_status(platform::object_store& store)
{
    return {sheet::read_current(store),
            read_groups(store, "assignments/", parse_assignments),
            read_groups(store, "lease/", parse_lease), store.instances()};
}

std::string join(const std::vector<std::string>& items)
{
    std::string text;
    for (const std::string& it : items)
        text += (text.empty() ? "" : ",") + it;
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

json assignments_json(const group_assignments& a)
{
    json rows = json::array();
    for (const assignment_row& it : a.rows)
        rows.push_back({{"instance", it.instance.value},
                        {"role", it.role},
                        {"model", it.model},
                        {"version", it.version},
                        {"adapters", it.adapters},
                        {"state", it.state},
                        {"reason", it.reason}});
    return {{"group", a.group.value},
            {"epoch", a.epoch.value},
            {"owner", a.owner.value},
            {"sheet_generation", a.generation.value},
            {"assignments", rows}};
}

void print_status_json(const setup_status& s)
{
    json assignments = json::array();
    for (const group_assignments& it : s.assignments)
        assignments.push_back(assignments_json(it));
    json leases = json::array();
    for (const group_lease& it : s.leases)
        leases.push_back({{"group", it.group.value},
                          {"owner", it.owner.value},
                          {"address", it.address},
                          {"epoch", it.epoch.value},
                          {"renewals", it.renewals}});
    print_json({{"sheet", sheet_json(s.current)},
                {"groups", assignments},
                {"leases", leases},
                {"instances",
                 json::parse(platform::to_json(s.instances)).at("instances")}});
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
    for (const group_assignments& a : s.assignments)
    {
        std::vector<std::string> cells{a.group.value, a.owner.value,
                                       std::to_string(a.epoch.value),
                                       std::to_string(a.generation.value)};
        const auto lease =
            std::ranges::find(s.leases, a.group, &group_lease::group);
        if (lease != s.leases.end())
            cells.insert(cells.end(), {lease->owner.value, lease->address,
                                       std::to_string(lease->epoch.value),
                                       std::to_string(lease->renewals)});
        groups.add(std::move(cells));
    }
    std::cout << "\n# groups\n" << groups.text();
}

void print_assignments(const std::vector<group_assignments>& all)
{
    table rows({"GROUP", "INSTANCE", "ROLE", "STATE", "MODEL", "VERSION",
                "ADAPTERS", "REASON"});
    for (const group_assignments& a : all)
        for (const assignment_row& it : a.rows)
            rows.add({a.group.value, it.instance.value, it.role, it.state,
                      it.model, it.version, join(it.adapters), it.reason});
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
    for (const platform::instance_record& it : s.instances)
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

exit_code run_status(const options& o, platform::object_store& store)
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
