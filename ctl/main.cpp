/// The operator's command line.
#include "ctl/commands.hpp"
#include "ctl/output.hpp"
#include "settings/reader.hpp"
#include "sheet/edit.hpp"

#include <iostream>

namespace
{

using poplar::ctl::command;
using poplar::ctl::exit_code;
using poplar::ctl::options;
using poplar::store::store_error;
using poplar::store::store_failure;

exit_code run_with_store(const options& o)
{
    const auto store = poplar::store::make_http_store({o.platform});
    switch (o.what)
    {
    case command::apply:
        return run_apply(o, *store);
    case command::diff:
        return run_diff(o, *store);
    case command::export_sheet:
        return run_export(o, *store);
    case command::status:
        return run_status(o, *store);
    case command::drain:
    case command::undrain:
        return run_drain(o, *store);
    case command::check:
    case command::explain:
    case command::losses:
        break;
    }
    return exit_code::failure;
}

exit_code run_command(const options& o)
{
    if (o.what == command::check)
        return run_check(o);
    if (o.what == command::explain)
        return run_explain(o);
    if (o.what == command::losses)
        return run_losses(o);
    return run_with_store(o);
}

/// Prints a failure as text, or as JSON when asked for.
exit_code report(const options& o, exit_code code, const std::string& result,
                 const std::string& reason)
{
    if (o.json)
        poplar::ctl::print_json({{"result", result}, {"reason", reason}});
    std::cerr << "poplarctl: " << result << ": " << reason << "\n";
    return code;
}

exit_code report_faults(const options& o,
                        const poplar::settings::settings_error& ec)
{
    nlohmann::json faults = nlohmann::json::array();
    for (const poplar::settings::fault& f : ec.faults())
    {
        std::cerr << to_string(f) << "\n";
        faults.push_back({{"file", f.file},
                          {"line", f.line},
                          {"key", f.key},
                          {"reason", f.reason}});
    }
    if (o.json)
        poplar::ctl::print_json({{"result", "refused"}, {"faults", faults}});
    return exit_code::refused_sheet;
}

exit_code report_store(const options& o, const store_error& ec)
{
    const bool is_unreachable = ec.failure() == store_failure::unavailable ||
                                ec.failure() == store_failure::rate_limited;
    return is_unreachable
               ? report(o, exit_code::unreachable, "unreachable", ec.what())
               : report(o, exit_code::failure, "failure", ec.what());
}

exit_code run_guarded(const options& o)
{
    try
    {
        return run_command(o);
    }
    catch (const poplar::settings::settings_error& ec)
    {
        return report_faults(o, ec);
    }
    catch (const store_error& ec)
    {
        return report_store(o, ec);
    }
    catch (const poplar::sheet::missing_sheet& ec)
    {
        return report(o, exit_code::not_found, "not_found", ec.what());
    }
    catch (const std::exception& ec)
    {
        return report(o, exit_code::failure, "failure", ec.what());
    }
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        const options o = poplar::ctl::parse_options(argc, argv);
        return static_cast<int>(run_guarded(o));
    }
    catch (const poplar::ctl::finished&)
    {
        return static_cast<int>(exit_code::success);
    }
    catch (const poplar::ctl::usage_error& ec)
    {
        std::cerr << "poplarctl: " << ec.what() << "\n";
        return static_cast<int>(exit_code::usage);
    }
}
