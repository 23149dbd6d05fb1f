#include "replay/trace.hpp"

#include <array>
#include <charconv>
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

// Numbers of requests are in base 36: traces stay under 300 KB.
constexpr int request_base = 36;

std::int64_t parse_number(std::istream& in)
{
    std::string text;
    in >> text;
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [it, ec] =
        std::from_chars(text.data(), end, value, request_base);
    if (ec != std::errc() || it != end || value < 0)
        throw trace_error("not a request");
    return value;
}

void write_number(std::ostream& out, std::int64_t value, char after)
{
    std::array<char, 16> buf{};
    const auto [end, ec] =
        std::to_chars(buf.data(), buf.data() + buf.size(), value, request_base);
    out.write(buf.data(), end - buf.data());
    out.put(after);
}

void parse_request(std::istream& in, trace& t)
{
    traced_request r;
    r.at_ms = parse_number(in);
    r.kind = static_cast<std::size_t>(parse_number(in));
    r.tenant = static_cast<std::uint32_t>(parse_number(in));
    r.prompt = parse_number(in);
    r.output = parse_number(in);
    if (!t.requests.empty())
        r.at_ms += t.requests.back().at_ms;
    if (r.kind >= t.kinds.size() || r.prompt < 1 || r.output < 1)
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
        write_number(out, r.at_ms - before, ' ');
        write_number(out, static_cast<std::int64_t>(r.kind), ' ');
        write_number(out, r.tenant, ' ');
        write_number(out, r.prompt, ' ');
        write_number(out, r.output, '\n');
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
