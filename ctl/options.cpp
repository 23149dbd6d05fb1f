#include "ctl/options.hpp"

#include "sheet/check.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <tclap/CmdLine.h>

namespace poplar::ctl
{

namespace
{

constexpr const char* version_text = "0.1.0";

struct subcommand
{
    command what;
    const char* name;
    const char* description;
};

constexpr std::array<subcommand, 9> subcommands{{
    {command::apply, "apply",
     "Checks a sheet and publishes it. Refuses when another generation than "
     "the one given by --base, or by the first line of an exported sheet, is "
     "current."},
    {command::check, "check",
     "Checks a sheet without the platform and prints every fault."},
    {command::diff, "diff",
     "Prints what would change if the sheet were applied."},
    {command::export_sheet, "export",
     "Prints the current sheet below a comment line with its generation."},
    {command::status, "status",
     "Shows the current sheet, assignments, leases and instances, or whether "
     "an export was accepted."},
    {command::drain, "drain",
     "Adds instances to the drained list of the current sheet."},
    {command::undrain, "undrain",
     "Removes instances from the drained list of the current sheet."},
    {command::explain, "explain",
     "Prints the decisions that entries recorded about an instance or a "
     "request, or what the logs of gateways hold about a request."},
    {command::losses, "losses",
     "Counts the requests in the logs of gateways by kind: answered in time, "
     "late or not at all, and why."},
}};

/// Value of an environment variable, empty when absent.
std::string environment(const char* name)
{
    // The program has a single thread while it reads its command line.
    const char* value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value ? value : "";
}

void print_help(std::ostream& out)
{
    out << "poplarctl: the operator's command line of poplarladder\n\n"
           "Usage: poplarctl SUBCOMMAND [options]\n\n";
    for (const subcommand& it : subcommands)
        out << "  " << it.name
            << std::string(10 - std::string(it.name).size(), ' ')
            << it.description << "\n";
    out << "\n\"poplarctl SUBCOMMAND --help\" describes the options.\n"
           "Exit codes: 0 success, 1 failure, 2 usage, 3 refused sheet,\n"
           "4 conflict, 5 unknown outcome, 6 unreachable, 7 difference found,\n"
           "8 not found.\n";
}

/// TCLAP objects of one subcommand; only those that it has are constructed.
class line
{
public:
    explicit line(const subcommand& sub)
        : sub_(sub), cmd_(sub.description, ' ', version_text)
    {
        cmd_.setExceptionHandling(false);
        json_.emplace("", "json", "print JSON instead of text", cmd_);
        add_platform();
        add_sheet_options();
        add_subjects();
    }

    options parse(std::vector<std::string> arguments)
    {
        cmd_.parse(arguments);
        options o;
        o.what = sub_.what;
        o.json = json_->getValue();
        read_platform(o);
        read_sheet_options(o);
        read_subjects(o);
        return o;
    }

private:
    bool is_any(std::initializer_list<command> list) const
    {
        return std::ranges::find(list, sub_.what) != list.end();
    }

    bool needs_platform() const
    {
        return !is_any({command::check, command::explain, command::losses});
    }

    bool needs_operator() const
    {
        return is_any({command::apply, command::drain, command::undrain});
    }

    void add_platform()
    {
        if (needs_platform())
            platform_.emplace("p", "platform",
                              "address of the object API (or POPLAR_PLATFORM)",
                              false, environment("POPLAR_PLATFORM"), "IP:PORT",
                              cmd_);
        if (needs_operator())
            operator_.emplace(
                "o", "operator",
                "name recorded with the export (or POPLAR_OPERATOR)", false,
                environment("POPLAR_OPERATOR"), "NAME", cmd_);
    }

    void add_sheet_options()
    {
        if (is_any({command::apply, command::check, command::diff}))
            file_.emplace("file", "sheet (TOML)", true, "", "FILE", cmd_);
        if (is_any({command::apply}))
            base_.emplace("b", "base",
                          "refuse when another generation is current; 0: no "
                          "sheet was published yet",
                          false, 0, "GENERATION", cmd_);
        if (is_any({command::apply}))
            export_.emplace("e", "export",
                            "export id, to repeat an export whose outcome was "
                            "unknown",
                            false, "", "ID", cmd_);
        if (is_any({command::status}))
            export_.emplace("e", "export",
                            "only tell whether this export was accepted", false,
                            "", "ID", cmd_);
    }

    void add_subjects()
    {
        if (is_any({command::drain, command::undrain}))
            instances_.emplace("instance", "instances", true, "INSTANCE", cmd_);
        if (is_any({command::explain, command::losses}))
            logs_.emplace("l", "log",
                          "log of a gateway, - for standard input; repeatable",
                          is_any({command::losses}), "FILE", cmd_);
        if (!is_any({command::explain}))
            return;
        request_.emplace("r", "request",
                         "id of a request: Poplar-Request-Id of an entry's "
                         "answer, or as in the log of a gateway",
                         false, "", "ID", cmd_);
        entries_.emplace("", "entry", "admin address of an entry; repeatable",
                         false, "IP:PORT", cmd_);
        instance_.emplace("instance", "instance", false, "", "INSTANCE", cmd_);
    }

    void read_platform(options& o) const
    {
        if (needs_platform())
        {
            if (platform_->getValue().empty())
                throw usage_error("--platform or POPLAR_PLATFORM is missing");
            o.platform = parse_ip_address(platform_->getValue());
        }
        if (needs_operator())
            o.operator_name = operator_->getValue();
        if (needs_operator() && o.operator_name.empty())
            throw usage_error("--operator or POPLAR_OPERATOR is missing");
    }

    void read_sheet_options(options& o) const
    {
        if (file_)
            o.file = file_->getValue();
        if (export_)
            o.export_id = export_->getValue();
        if (base_ && base_->isSet())
            o.base = sheet_generation(base_->getValue());
    }

    void read_subjects(options& o) const
    {
        if (instances_)
            for (const std::string& it : instances_->getValue())
                o.instances.push_back(read_instance(it));
        if (logs_)
            o.logs = logs_->getValue();
        if (!entries_)
            return;
        for (const std::string& it : entries_->getValue())
            o.entries.push_back(parse_ip_address(it));
        o.request = request_->getValue();
        if (instance_->isSet())
            o.instances.push_back(read_instance(instance_->getValue()));
        if (o.request.empty() == o.instances.empty())
            throw usage_error("give either INSTANCE or --request ID");
        if (o.entries.empty() == o.logs.empty())
            throw usage_error("give either --entry or --log");
        if (!o.logs.empty() && o.request.empty())
            throw usage_error("--log needs --request ID");
        if (o.logs.empty() && !o.request.empty())
            parse_request_id(o.request);
    }

    static instance_id read_instance(const std::string& text)
    {
        if (!sheet::is_name(text))
            throw usage_error("\"" + text + "\" is not an instance name");
        return instance_id(text);
    }

    using text_argument = TCLAP::ValueArg<std::string>;
    using plain_argument = TCLAP::UnlabeledValueArg<std::string>;

    const subcommand& sub_;
    TCLAP::CmdLine cmd_;
    std::optional<TCLAP::SwitchArg> json_;
    std::optional<text_argument> platform_;
    std::optional<text_argument> operator_;
    std::optional<plain_argument> file_;
    std::optional<TCLAP::ValueArg<std::uint64_t>> base_;
    std::optional<text_argument> export_;
    std::optional<TCLAP::UnlabeledMultiArg<std::string>> instances_;
    std::optional<text_argument> request_;
    std::optional<TCLAP::MultiArg<std::string>> entries_;
    std::optional<TCLAP::MultiArg<std::string>> logs_;
    std::optional<plain_argument> instance_;
};

options parse_subcommand(const subcommand& sub, int argc, char** argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    arguments.front() = "poplarctl " + std::string(sub.name);
    try
    {
        return line(sub).parse(std::move(arguments));
    }
    catch (const TCLAP::ExitException&)
    {
        throw finished();
    }
    catch (const TCLAP::ArgException& ec)
    {
        throw usage_error(ec.error() + " " + ec.argId());
    }
    catch (const parse_error& ec)
    {
        throw usage_error(ec.what());
    }
}

} // namespace

options parse_options(int argc, char** argv)
{
    const std::string name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h")
    {
        print_help(std::cout);
        throw finished();
    }
    if (name == "--version")
    {
        std::cout << "poplarctl " << version_text << "\n";
        throw finished();
    }
    const auto it = std::ranges::find_if(subcommands, [&](const subcommand& s)
                                         { return name == s.name; });
    if (it != subcommands.end())
        return parse_subcommand(*it, argc, argv);
    print_help(std::cerr);
    throw usage_error(name.empty() ? "a subcommand is missing"
                                   : "unknown subcommand \"" + name + "\"");
}

} // namespace poplar::ctl
