/// Load tool: drives callers' HTTP of an entry and checks the answers.
#include "load/runner.hpp"

#include <fstream>
#include <iostream>
#include <sys/resource.h>
#include <tclap/CmdLine.h>

namespace
{

using poplar::load::workload;

constexpr int success = 0;
constexpr int wrong_answers = 1; ///< Some answer was cut, mixed or failed.
constexpr int usage = 2;
constexpr int bad_workload = 3;

struct command_line
{
    std::string file;
    std::vector<std::string> targets;
    std::string protocol;
    std::string json;
    unsigned open = 0;
    double seconds = 0;
    std::uint64_t seed = 0;
    bool strict = false;
};

command_line parse_command_line(int argc, char** argv)
{
    TCLAP::CmdLine line("poplar-load: drives callers' HTTP and checks answers",
                        ' ', "0.1.0");
    line.setExceptionHandling(false);
    TCLAP::UnlabeledValueArg<std::string> file("workload", "workload (TOML)",
                                               true, "", "FILE", line);
    TCLAP::MultiArg<std::string> targets(
        "t", "target", "IP:PORT to call; replaces those of the file", false,
        "IP:PORT", line);
    TCLAP::ValueArg<std::string> protocol(
        "", "protocol", "entry or engine; replaces that of the file", false, "",
        "NAME", line);
    TCLAP::ValueArg<std::string> json("", "json",
                                      "writes the report as JSON; - for "
                                      "standard output instead of text",
                                      false, "", "FILE", line);
    TCLAP::ValueArg<unsigned> open(
        "", "open", "requests that each class keeps open, instead of its rate",
        false, 0, "N", line);
    TCLAP::ValueArg<double> seconds("", "seconds",
                                    "duration; replaces that of the file",
                                    false, 0, "S", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "replaces that of the file",
                                        false, 0, "N", line);
    TCLAP::SwitchArg strict(
        "", "strict", "exit 1 when an answer is cut, mixed or failed", line);
    line.parse(argc, argv);
    return {file.getValue(), targets.getValue(), protocol.getValue(),
            json.getValue(), open.getValue(),    seconds.getValue(),
            seed.getValue(), strict.getValue()};
}

void set_duration(workload& w, double seconds)
{
    const poplar::duration old = w.length;
    w.length = poplar::duration(static_cast<std::int64_t>(seconds * 1e6));
    for (auto& c : w.classes)
        if (c.stop == old)
            c.stop = w.length;
}

workload read_workload(const command_line& line)
{
    auto all = poplar::settings::reader::from_file(line.file);
    workload w = poplar::load::parse_workload(all);
    if (!line.targets.empty())
        w.targets.clear();
    for (const std::string& it : line.targets)
        w.targets.push_back(poplar::parse_ip_address(it));
    if (w.targets.empty())
        throw poplar::parse_error("no target is given");
    if (!line.protocol.empty())
        w.protocol = poplar::load::parse_protocol(line.protocol);
    if (line.seconds > 0)
        set_duration(w, line.seconds);
    if (line.seed > 0)
        w.seed = line.seed;
    if (line.open > 0)
        for (auto& c : w.classes)
        {
            c.open = line.open;
            c.rate = 0;
        }
    return w;
}

/// Each open request takes a descriptor.
void raise_descriptor_limit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

bool all_right(const poplar::load::run_report& report)
{
    using poplar::load::outcome;
    return std::ranges::none_of(report.classes,
                                [](const auto& c)
                                {
                                    return c.outcomes.contains(outcome::cut) ||
                                           c.outcomes.contains(
                                               outcome::mixed) ||
                                           c.outcomes.contains(outcome::failed);
                                });
}

int run(const command_line& line)
{
    raise_descriptor_limit();
    const workload w = read_workload(line);
    poplar::load::runner r(w);
    auto report = r.run();
    const std::string json = to_json(report).dump(2) + "\n";
    std::cout << (line.json == "-" ? json : to_text(report));
    if (!line.json.empty() && line.json != "-")
        std::ofstream(line.json) << json;
    return line.strict && !all_right(report) ? wrong_answers : success;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(parse_command_line(argc, argv));
    }
    catch (const TCLAP::ExitException& ec)
    {
        return ec.getExitStatus();
    }
    catch (const TCLAP::ArgException& ec)
    {
        std::cerr << "poplar-load: " << ec.error() << " " << ec.argId() << "\n";
        return usage;
    }
    catch (const poplar::error& ec)
    {
        std::cerr << "poplar-load: " << ec.what() << "\n";
        return bad_workload;
    }
}
