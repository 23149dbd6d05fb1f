// Replays traces over the decision modules and baselines in virtual time.
#include "replay/generate.hpp"
#include "replay/report.hpp"

#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

namespace
{

using namespace poplar::replay; // NOLINT(google-build-using-namespace)

trace load_trace(const std::string& file)
{
    std::ifstream in(file);
    if (!in)
        throw trace_error("cannot read " + file);
    return read_trace(in);
}

/// Traces named on the command line, and those of the seeds.
std::vector<trace> collect(const std::vector<std::string>& files,
                           const std::vector<int>& seeds)
{
    std::vector<trace> traces;
    traces.reserve(files.size() + 4 * seeds.size());
    for (const std::string& file : files)
        traces.push_back(load_trace(file));
    for (int seed : seeds)
    {
        for (deployment d : {deployment::consorzio, deployment::press})
        {
            for (scenario s : {scenario::swing, scenario::flood})
                traces.push_back(
                    generate(d, s, static_cast<std::uint64_t>(seed)));
        }
    }
    return traces;
}

int replay_all(const std::vector<trace>& traces, const std::string& outcomes,
               std::size_t most)
{
    std::vector<comparison> list;
    for (const trace& t : traces)
    {
        list.push_back(compare(t, most));
        print(std::cout, list.back());
    }
    print_summary(std::cout, list);
    if (outcomes.empty())
        return 0;
    int missed = 0;
    for (const checked_outcome& o : check(read_outcomes(outcomes), list))
    {
        std::cout << (o.met ? "met    " : "missed ") << o.trace_name << ' '
                  << o.name << ' ' << o.value << '\n';
        missed += o.met ? 0 : 1;
    }
    return missed == 0 ? 0 : 3;
}

void write_timeline(const std::vector<trace>& traces, const std::string& name)
{
    for (const policy_choice& choice : all_policies())
    {
        if (choice.name != name)
            continue;
        for (const trace& t : traces)
            run(t, choice, &std::cout);
        return;
    }
    throw trace_error("unknown policy " + name);
}

void write_all(const std::vector<trace>& traces, const std::string& folder)
{
    for (const trace& t : traces)
    {
        std::ofstream out(folder + "/" + t.name() + ".trace");
        write_trace(out, t);
    }
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        TCLAP::CmdLine line("Replays traces over the decision modules");
        TCLAP::MultiArg<int> seeds(
            "s", "seed", "adds the four generated traces of this seed", false,
            "seed", line);
        TCLAP::ValueArg<std::string> outcomes(
            "o", "outcomes",
            "checks stated outcomes; exits with 3 when one "
            "is missed",
            false, "", "file", line);
        TCLAP::ValueArg<std::string> folder(
            "w", "write", "writes the traces and replays nothing", false, "",
            "folder", line);
        TCLAP::ValueArg<unsigned> most("p", "policies",
                                       "replays only the first policies", false,
                                       100, "number", line);
        TCLAP::ValueArg<std::string> timeline(
            "t", "timeline", "writes what this policy did, and nothing else",
            false, "", "policy", line);
        TCLAP::UnlabeledMultiArg<std::string> files("trace", "trace files",
                                                    false, "file", line);
        line.parse(argc, argv);
        const std::vector<trace> traces =
            collect(files.getValue(), seeds.getValue());
        if (!folder.getValue().empty())
        {
            write_all(traces, folder.getValue());
            return 0;
        }
        if (!timeline.getValue().empty())
        {
            write_timeline(traces, timeline.getValue());
            return 0;
        }
        return replay_all(traces, outcomes.getValue(), most.getValue());
    }
    catch (const std::exception& ec)
    {
        std::cerr << "poplar-replay: " << ec.what() << '\n';
        return 1;
    }
}
