#include "ctl/commands.hpp"
#include "ctl/output.hpp"
#include "sheet/edit.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

namespace poplar::ctl
{

namespace
{

using nlohmann::json;
using sheet::publish_result;
using sheet::publish_status;

/// Starts the comment line that `export` puts above the sheet and `apply`
/// takes off again.
const std::string export_mark = "# poplarctl export: generation ";

std::string read_file(const std::string& file)
{
    std::ifstream in(file);
    if (!in)
        throw settings::settings_error(
            {{file, 0, "", "the file cannot be read"}});
    std::stringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

struct exported_text
{
    std::string text; ///< Without the comment line of `export`.
    std::optional<sheet_generation> base;
};

exported_text strip_mark(const std::string& text)
{
    if (!text.starts_with(export_mark))
        return {text, std::nullopt};
    std::uint64_t n = 0;
    const char* begin = text.data() + export_mark.size();
    if (std::from_chars(begin, text.data() + text.size(), n).ec != std::errc())
        return {text, std::nullopt};
    const std::size_t end = text.find('\n');
    return {end == std::string::npos ? "" : text.substr(end + 1),
            sheet_generation(n)};
}

std::string describe(const sheet::sheet_record& r)
{
    return "generation " + std::to_string(r.generation.value) +
           ", exported by " + r.operator_name + " at " +
           utc_text(r.exported_at) + ", export " + r.export_id;
}

json to_json(const publish_result& r)
{
    json j{{"export_id", r.export_id}, {"generation", r.generation.value}};
    switch (r.status)
    {
    case publish_status::accepted:
        j["result"] = "accepted";
        break;
    case publish_status::unknown:
        j["result"] = "unknown";
        break;
    case publish_status::conflict:
        j["result"] = "conflict";
        j["differences"] = json::parse(sheet::to_json(r.differences));
        if (r.winner)
            j["winner"] = {{"generation", r.winner->generation.value},
                           {"operator", r.winner->operator_name},
                           {"exported_at", utc_text(r.winner->exported_at)},
                           {"export_id", r.winner->export_id}};
        break;
    }
    return j;
}

exit_code exit_code_of(publish_status status)
{
    switch (status)
    {
    case publish_status::accepted:
        return exit_code::success;
    case publish_status::conflict:
        return exit_code::conflict;
    case publish_status::unknown:
        return exit_code::unknown;
    }
    return exit_code::failure;
}

void print_conflict(const publish_result& r)
{
    std::cerr << "conflict: nothing was written\n";
    if (r.winner)
        std::cerr << "current: " << describe(*r.winner) << "\n";
    else
        std::cerr << "current: no sheet\n";
    std::cerr << "your sheet would change it by:\n"
              << sheet::to_text(r.differences);
}

/// Prints the outcome and returns its exit code.
exit_code report(const options& o, const publish_result& r)
{
    if (o.json)
        print_json(to_json(r));
    else if (r.status == publish_status::accepted)
        std::cout << "accepted: generation " << r.generation << ", export "
                  << r.export_id << "\n";
    else if (r.status == publish_status::conflict)
        print_conflict(r);
    else
        std::cerr << "unknown: the export may have been accepted; run "
                     "poplarctl status --export "
                  << r.export_id << "\n";
    return exit_code_of(r.status);
}

std::string drain_text(const options& o, std::string text)
{
    for (const instance_id& it : o.instances)
        text = sheet::edit_drained(text, it, o.what == command::drain);
    return text;
}

/// Mistyped names would drain nothing. The list lags, so that an instance that
/// is not in it may still exist.
void warn_of_unknown_instances(const options& o, store::object_store& store)
{
    const auto listed = store.instances();
    for (const instance_id& it : o.instances)
        if (std::ranges::find(listed, it, &store::instance_record::instance) ==
            listed.end())
            std::cerr << "warning: the instance list has no \"" << it << "\"\n";
}

} // namespace

exit_code run_check(const options& o)
{
    const sheet::sheet s = sheet::parse_sheet(read_file(o.file), o.file);
    if (o.json)
        print_json({{"result", "valid"}, {"faults", json::array()}});
    else
        std::cout << o.file << ": no faults (" << s.ranks.size() << " ranks, "
                  << s.groups.size() << " groups, " << s.services.size()
                  << " services, " << s.tenants.size() << " tenants)\n";
    return exit_code::success;
}

exit_code run_apply(const options& o, store::object_store& store)
{
    const std::string whole = read_file(o.file);
    sheet::parse_sheet(whole, o.file);
    const exported_text file = strip_mark(whole);
    sheet::publish_request request;
    request.text = file.text;
    request.file = o.file;
    request.operator_name = o.operator_name;
    request.export_id =
        o.export_id.empty() ? sheet::make_export_id() : o.export_id;
    request.exported_at = unix_seconds();
    request.base = o.base ? o.base : file.base;
    return report(o, sheet::publish(store, request));
}

exit_code run_diff(const options& o, store::object_store& store)
{
    const sheet::sheet wanted = sheet::parse_sheet(read_file(o.file), o.file);
    const sheet::current_sheet current = sheet::read_current(store);
    sheet::sheet present;
    if (current.record)
        present =
            sheet::parse_sheet(current.record->text, sheet::sheet_key.value);
    const auto differences = sheet::diff(present, wanted);
    if (o.json)
        print_json({{"result", differences.empty() ? "same" : "different"},
                    {"generation", current.generation().value},
                    {"differences", json::parse(sheet::to_json(differences))}});
    else
        std::cout << "current generation: " << current.generation() << "\n"
                  << sheet::to_text(differences);
    return differences.empty() ? exit_code::success : exit_code::different;
}

exit_code run_export(const options& o, store::object_store& store)
{
    const sheet::current_sheet current = sheet::read_current(store);
    if (!current.record)
        throw sheet::missing_sheet();
    const sheet::sheet_record& r = *current.record;
    if (o.json)
        print_json({{"result", "exported"},
                    {"generation", r.generation.value},
                    {"export_id", r.export_id},
                    {"operator", r.operator_name},
                    {"exported_at", utc_text(r.exported_at)},
                    {"text", r.text}});
    else
        std::cout << export_mark << r.generation << ", exported by "
                  << r.operator_name << " at " << utc_text(r.exported_at)
                  << ", export " << r.export_id << "\n"
                  << r.text;
    return exit_code::success;
}

exit_code run_drain(const options& o, store::object_store& store)
{
    sheet::publish_request request;
    request.operator_name = o.operator_name;
    request.exported_at = unix_seconds();
    if (o.what == command::drain)
        warn_of_unknown_instances(o, store);
    const sheet::edit_result r = sheet::publish_edit(
        store, request,
        [&](const std::string& text) { return drain_text(o, text); });
    if (r.changed)
        return report(o, r.publish);
    if (o.json)
        print_json({{"result", "unchanged"},
                    {"generation", r.publish.generation.value}});
    else
        std::cout << "unchanged: generation " << r.publish.generation
                  << " already says so\n";
    return exit_code::success;
}

} // namespace poplar::ctl
