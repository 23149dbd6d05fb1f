/// Cost of the control work of one entry and of one agent, as real processes:
///
///   poplar-control-cost entry|rows|polls|sheet|agent|ledger [SECONDS per
///   window]
///
/// Each line is one case; "slope" lines are least squares over the cases.
/// Binaries are taken from POPLAR_BIN, or from the folder of this one.
#include "bench/control_probe.hpp"
#include "bench/ledger_cost.hpp"

#include "entry/membership.hpp"
#include "tests/system/cluster.hpp"
#include "wire/connection.hpp"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <span>
#include <thread>

namespace poplar::bench
{

namespace
{

namespace fb = wire::fb;
using nlohmann::json;
using testing_support::cluster;
using testing_support::wait_for;

/// Cells at the design scale; the fake agents are in the entry's cell.
constexpr unsigned cells = 23;
/// 34,000 configuration changes a day are 0.4 a second.
constexpr duration change_interval = std::chrono::milliseconds(2500);
/// Connections, first reports and the first plan are over by then.
constexpr duration settle_time = std::chrono::milliseconds(1500);

/// One end of the inner protocol that counts the bytes of its frames.
class counted_peer
{
public:
    counted_peer(traffic& counts, const std::string& name,
                 fb::process_kind kind)
        : counts_(counts)
    {
        wire::loop_options o;
        o.threads = 1;
        o.hello.instance = name;
        o.hello.kind = kind;
        o.hello.incarnation = 1;
        o.heartbeat = [this]
        {
            counts_.to_daemon += wire::encode(fb::heartbeatT()).size();
            return fb::heartbeatT();
        };
        loop_ = std::make_unique<wire::loop>(std::move(o));
    }

    wire::connection_hooks hooks()
    {
        wire::connection_hooks h;
        h.opened = [this](const wire::connection_ptr& c, const fb::helloT&)
        {
            const std::lock_guard lock(mutex_);
            connection_ = c;
            ++counts_.open;
        };
        h.received = [this](const wire::connection_ptr&, const wire::frame& f)
        {
            counts_.from_daemon +=
                f.payload.size() + sizeof(wire::frame_header);
        };
        h.closed = [](const wire::connection_ptr&, wire::close_reason) {
        };
        return h;
    }
    ip_address listen()
    {
        return loop_->listen({"127.0.0.1", 0}, hooks());
    }
    void connect(const ip_address& to)
    {
        loop_->connect(to, hooks());
    }
    void send(const fb::load_reportT& report)
    {
        const std::lock_guard lock(mutex_);
        std::string encoded = wire::encode(report);
        const std::size_t n = encoded.size();
        if (connection_ && connection_->send(std::move(encoded)))
            counts_.to_daemon += n;
    }

private:
    traffic& counts_;
    std::mutex mutex_;
    wire::connection_ptr connection_;
    std::unique_ptr<wire::loop> loop_;
};

/// Agents without upstreams in the platform's instance list.
class fake_agents
{
public:
    fake_agents(cluster& c, unsigned count, duration interval)
        : interval_(interval)
    {
        const std::uint32_t cell =
            entry::cell_of(instance_id("entry-0"), cells);
        for (unsigned i = 0; all_.size() < count; ++i)
        {
            const std::string name = "fake-" + std::to_string(i);
            if (entry::cell_of(instance_id(name), cells) != cell)
                continue;
            all_.push_back(std::make_unique<counted_peer>(
                counts, name, fb::process_kind::agent));
            list_row(c, name, "engine", to_string(all_.back()->listen()));
        }
        reporter_ = std::thread([this] { report(); });
    }
    ~fake_agents()
    {
        is_stopping_ = true;
        reporter_.join();
    }
    fake_agents(const fake_agents&) = delete;
    fake_agents& operator=(const fake_agents&) = delete;

    static void list_row(cluster& c, const std::string& name,
                         const std::string& kind, const std::string& address)
    {
        net::client_request r;
        r.method = "PUT";
        r.to = c.platform->http();
        r.path = "/admin/instances/" + name;
        r.body = json{
            {"instance", name},
            {"kind", kind},
            {"group", kind == "engine" ? "writers" : ""},
            {"region", "alpi-nord"},
            {"failure_domain", "valcamonica"},
            {"address", address},
            {"state",
             "live"}}.dump();
        c.client().fetch(std::move(r));
    }

    traffic counts;

private:
    void report()
    {
        fb::load_reportT r;
        r.role = fb::engine_role::mixed;
        r.model = "m";
        r.model_version = "1";
        r.ready = true;
        r.kv_pieces_total = 1000;
        mono_time next = now();
        while (!is_stopping_)
        {
            ++r.sequence;
            r.running = static_cast<std::uint32_t>(r.sequence % 40);
            r.kv_pieces_free = 1000 - r.running;
            for (const auto& it : all_)
                it->send(r);
            next += interval_;
            std::this_thread::sleep_until(next);
        }
    }

    duration interval_;
    std::vector<std::unique_ptr<counted_peer>> all_;
    std::atomic<bool> is_stopping_{false};
    std::thread reporter_;
};

rates measure(subject& s, duration window, bool with_changes)
{
    const sample before = take(s);
    const mono_time end = now() + window;
    for (unsigned n = 0; now() < end; ++n)
    {
        const mono_time next = std::min(end, now() + change_interval);
        if (with_changes)
            s.all.apply(s.all.sheet_text({"other-" + std::to_string(n % 2)}));
        std::this_thread::sleep_until(next);
    }
    return difference(s, before, take(s));
}

struct entry_case
{
    unsigned agents = 16;
    duration report = std::chrono::seconds(2);
    unsigned groups = 1;
    unsigned other_agents = 0;  ///< Listed, in other cells.
    unsigned other_entries = 0; ///< Listed.
    unsigned tenants = 0;       ///< In the sheet.
    duration instance_poll = std::chrono::seconds(1);
};

std::string sheet_tail(const entry_case& c)
{
    std::string s;
    for (unsigned i = 1; i < c.groups; ++i)
    {
        const std::string n = std::to_string(i);
        s += "\n[[group]]\nname = \"group-";
        s += n;
        s += "\"\nmodel = \"model-";
        s += n;
        s += "\"\nversion = \"1\"\nroles = \"all_mixed\"\n";
    }
    for (unsigned i = 0; i < c.tenants; ++i)
        s += "\n[[tenant]]\nname = \"tenant-" + std::to_string(i) +
             "\"\nweight = 2.0\nrank = \"urgent\"\n";
    return s;
}

void list_others(cluster& c, const entry_case& e)
{
    const std::uint32_t cell = entry::cell_of(instance_id("entry-0"), cells);
    for (unsigned i = 0, n = 0; n < e.other_agents; ++i)
    {
        const std::string name = "other-" + std::to_string(i);
        if (entry::cell_of(instance_id(name), cells) == cell)
            continue;
        fake_agents::list_row(c, name, "engine", "127.0.0.1:1");
        ++n;
    }
    for (unsigned i = 0; i < e.other_entries; ++i)
        fake_agents::list_row(c, "far-entry-" + std::to_string(i), "entry",
                              "127.0.0.1:1");
}

struct entry_result
{
    rates idle;
    rates changing;
};

entry_result run_entry(const entry_case& e, duration window)
{
    testing_support::cluster_options o;
    o.entries = 1;
    o.engines = 0;
    o.services = 0;
    o.relay_platform = true;
    o.entry_settings = "cell.count = " + std::to_string(cells) +
                       "\ntimeouts.instance_poll = \"" +
                       std::to_string(to_milliseconds(e.instance_poll)) +
                       "ms\"\n";
    o.sheet_tail = sheet_tail(e);
    cluster c(o);
    list_others(c, e);
    fake_agents agents(c, e.agents, e.report);
    if (!wait_for([&] { return agents.counts.open >= e.agents; }))
        std::printf("only %u of %u agents connected\n",
                    agents.counts.open.load(), e.agents);
    std::this_thread::sleep_for(settle_time);
    subject s{c, *c.entries[0].process, *c.entries[0].platform_relay,
              agents.counts};
    const entry_result r{measure(s, window, false), measure(s, window, true)};
    const std::string label =
        "entry agents=" + std::to_string(e.agents) +
        " report_ms=" + std::to_string(to_milliseconds(e.report)) +
        " groups=" + std::to_string(e.groups) +
        " other_agents=" + std::to_string(e.other_agents) +
        " other_entries=" + std::to_string(e.other_entries) +
        " sheet_bytes=" + std::to_string(c.sheet_text({"other-0"}).size());
    print(label + " idle", r.idle);
    print(label + " changing", r.changing);
    return r;
}

/// Runs one case for each value of x and prints both slopes.
void run_entries(const std::string& label, const std::vector<entry_case>& cases,
                 const std::vector<double>& x, duration window)
{
    std::vector<rates> idle;
    std::vector<rates> changing;
    for (const entry_case& it : cases)
    {
        const entry_result r = run_entry(it, window);
        idle.push_back(r.idle);
        changing.push_back(r.changing);
    }
    print_slopes(label + " idle", x, idle);
    print_slopes(label + " changing", x, changing);
}

void measure_agents(duration window)
{
    using std::chrono::milliseconds;
    for (const duration report : {milliseconds(500), milliseconds(2000)})
    {
        std::vector<entry_case> cases;
        for (const unsigned n : {16U, 64U, 256U, 520U})
            cases.push_back({.agents = n, .report = report});
        run_entries("per agent, report_ms=" +
                        std::to_string(to_milliseconds(report)),
                    cases, {16, 64, 256, 520}, window);
    }
}

void measure_rows(duration window)
{
    run_entries("per row of an agent in another cell",
                {{}, {.other_agents = 1000}, {.other_agents = 4000}},
                {0, 1000, 4000}, window);
    run_entries("per row of an entry, 1 group",
                {{}, {.other_entries = 115}, {.other_entries = 459}},
                {0, 115, 459}, window);
    run_entries("per row of an entry, 29 groups",
                {{.groups = 29},
                 {.groups = 29, .other_entries = 115},
                 {.groups = 29, .other_entries = 459}},
                {0, 115, 459}, window);
}

/// The cell of the design scale and a third of the other rows, at several
/// intervals between reads of the instance list.
void measure_polls(duration window)
{
    using std::chrono::seconds;
    const std::vector<double> polls_per_second{1, 0.25, 0.1};
    std::vector<entry_case> cases;
    for (const seconds interval : {seconds(1), seconds(4), seconds(10)})
        cases.push_back(
            {.agents = 520, .other_agents = 4000, .instance_poll = interval});
    run_entries("per read of the instance list", cases, polls_per_second,
                window);
}

void measure_sheet(duration window)
{
    run_entries("per tenant in the sheet",
                {{}, {.tenants = 500}, {.tenants = 2000}}, {0, 500, 2000},
                window);
}

void measure_agent(const std::string& kind, duration window)
{
    const bool is_engine = kind == "engine";
    const std::vector<double> x{1, 4, 20};
    std::vector<rates> idle;
    for (const double m : x)
    {
        testing_support::cluster_options o;
        o.entries = 0;
        o.engines = is_engine ? 1 : 0;
        o.services = is_engine ? 0 : 1;
        o.relay_platform = true;
        cluster c(o);
        auto& slot = is_engine ? c.engines[0] : c.services[0];
        traffic counts;
        std::vector<std::unique_ptr<counted_peer>> peers;
        for (unsigned i = 0; i < static_cast<unsigned>(m); ++i)
        {
            peers.push_back(std::make_unique<counted_peer>(
                counts, "entry-" + std::to_string(i), fb::process_kind::entry));
            peers.back()->connect(slot.agent->inner());
        }
        std::this_thread::sleep_for(settle_time);
        subject s{c, *slot.agent, *slot.platform_relay, counts};
        idle.push_back(measure(s, window, false));
        print("agent kind=" + kind + " entries=" + std::to_string(counts.open) +
                  " idle",
              idle.back());
    }
    print_slopes("per entry at an agent, kind=" + kind, x, idle);
}

int run(const std::string& part, duration window)
{
    if (part == "entry")
        measure_agents(window);
    else if (part == "rows")
        measure_rows(window);
    else if (part == "polls")
        measure_polls(window);
    else if (part == "sheet")
        measure_sheet(window);
    else if (part == "agent")
    {
        measure_agent("engine", window);
        measure_agent("service", window);
    }
    else if (part == "ledger")
        measure_ledger(window);
    else
        return std::fprintf(stderr, "unknown part %s\n", part.c_str()), 2;
    return 0;
}

} // namespace

} // namespace poplar::bench

int main(int argc, char** argv)
{
    const std::span<char*> arguments(argv, static_cast<std::size_t>(argc));
    if (argc < 2)
        return std::fprintf(stderr, "see bench/control_cost.cpp\n"), 2;
    const auto self = std::filesystem::read_symlink("/proc/self/exe");
    setenv("POPLAR_BIN", self.parent_path().c_str(), 0);
    const int seconds = argc > 2 ? std::atoi(arguments[2]) : 5;
    return poplar::bench::run(arguments[1], std::chrono::seconds(seconds));
}
