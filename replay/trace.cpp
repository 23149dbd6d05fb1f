#include "replay/trace.hpp"

#include <array>
#include <sstream>

namespace poplar::replay
{

namespace
{

constexpr std::array<const char*, 4> event_names{"drain", "crash", "withdraw",
                                                 "back"};

engine_event_kind parse_event(const std::string& name)
{
    for (std::size_t i = 0; i < event_names.size(); ++i)
    {
        if (name == event_names[i])
            return static_cast<engine_event_kind>(i);
    }
    throw trace_error("unknown event " + name);
}

sheet::rank parse_rank(std::istream& in)
{
    sheet::rank r;
    std::int64_t first = 0;
    std::int64_t interval = 0;
    in >> r.name >> first >> interval >> r.guaranteed_share >> r.worth;
    r.first_token_target = std::chrono::milliseconds(first);
    r.token_interval_target = std::chrono::milliseconds(interval);
    return r;
}

void parse_event_line(std::istream& in, trace& t)
{
    engine_event e;
    std::string name;
    in >> e.at_ms >> name >> e.engine;
    e.kind = parse_event(name);
    if (e.engine >= t.domains.size())
        throw trace_error("event for an unknown engine");
    t.events.push_back(e);
}

void parse_head(const std::string& word, std::istream& in, trace& t)
{
    if (word == "deployment")
        in >> t.deployment;
    else if (word == "scenario")
        in >> t.scenario;
    else if (word == "seed")
        in >> t.seed;
    else if (word == "length_ms")
        in >> t.length_ms;
    else if (word == "rank")
        t.ranks.push_back(parse_rank(in));
    else if (word == "engine")
        in >> t.domains.emplace_back();
    else if (word == "kind")
    {
        work_kind& k = t.kinds.emplace_back();
        in >> k.name >> k.rank >> k.shared_prefix >> k.max_tokens;
    }
    else if (word == "flood")
    {
        flood& f = t.floods.emplace_back();
        in >> f.rank >> f.from_ms >> f.to_ms;
    }
    else if (word == "event")
        parse_event_line(in, t);
    else
        throw trace_error("unknown word " + word);
}

void parse_request(std::istream& in, trace& t)
{
    traced_request r;
    in >> r.at_ms >> r.kind >> r.tenant >> r.prompt >> r.output;
    if (!t.requests.empty())
        r.at_ms += t.requests.back().at_ms;
    if (!in || r.kind >= t.kinds.size() || r.prompt < 1 || r.output < 1)
        throw trace_error("not a request");
    t.requests.push_back(r);
}

} // namespace

std::string trace::name() const
{
    return deployment + "-" + scenario + "-" + std::to_string(seed);
}

void write_trace(std::ostream& out, const trace& t)
{
    out << "poplar-trace 1\ndeployment " << t.deployment << "\nscenario "
        << t.scenario << "\nseed " << t.seed << "\nlength_ms " << t.length_ms
        << '\n';
    for (const sheet::rank& r : t.ranks)
        out << "rank " << r.name << ' ' << to_milliseconds(r.first_token_target)
            << ' ' << to_milliseconds(r.token_interval_target) << ' '
            << r.guaranteed_share << ' ' << r.worth << '\n';
    for (const std::string& domain : t.domains)
        out << "engine " << domain << '\n';
    for (const work_kind& k : t.kinds)
        out << "kind " << k.name << ' ' << k.rank << ' ' << k.shared_prefix
            << ' ' << k.max_tokens << '\n';
    for (const flood& f : t.floods)
        out << "flood " << f.rank << ' ' << f.from_ms << ' ' << f.to_ms << '\n';
    for (const engine_event& e : t.events)
        out << "event " << e.at_ms << ' '
            << event_names.at(static_cast<std::size_t>(e.kind)) << ' '
            << e.engine << '\n';
    out << "requests\n";
    std::int64_t before = 0;
    for (const traced_request& r : t.requests)
    {
        out << r.at_ms - before << ' ' << r.kind << ' ' << r.tenant << ' '
            << r.prompt << ' ' << r.output << '\n';
        before = r.at_ms;
    }
}

trace read_trace(std::istream& in)
{
    trace t;
    std::string line;
    std::size_t number = 0;
    bool requests = false;
    while (std::getline(in, line))
    {
        ++number;
        std::istringstream fields(line);
        try
        {
            if (requests)
            {
                parse_request(fields, t);
                continue;
            }
            std::string word;
            fields >> word;
            if (number == 1 && line != "poplar-trace 1")
                throw trace_error("not a trace of version 1");
            requests = word == "requests";
            if (number > 1 && !requests)
                parse_head(word, fields, t);
            if (!fields)
                throw trace_error("missing value");
        }
        catch (const trace_error& ec)
        {
            throw trace_error("line " + std::to_string(number) + ": " +
                              ec.what());
        }
    }
    if (!requests)
        throw trace_error("trace ends before its requests");
    return t;
}

} // namespace poplar::replay
