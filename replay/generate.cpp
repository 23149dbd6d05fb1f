#include "replay/generate.hpp"

#include <algorithm>
#include <cmath>

namespace poplar::replay
{

namespace
{

constexpr std::int64_t length_ms = 480000;
constexpr std::size_t engines = 18;
constexpr std::size_t engines_per_domain = 6;

/// Own generator and distributions: the standard distributions differ between
/// libraries.
class random_numbers
{
public:
    explicit random_numbers(std::uint64_t seed) : state_(seed) {}

    std::uint64_t next()
    {
        // splitmix64
        std::uint64_t z = state_ += 0x9e3779b97f4a7c15ULL;
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }
    double part()
    {
        return static_cast<double>(next() >> 11) / 9007199254740992.0;
    }
    double between(double low, double high)
    {
        return low + (high - low) * part();
    }
    std::int64_t whole(std::int64_t low, std::int64_t high)
    {
        return static_cast<std::int64_t>(std::floor(
            between(static_cast<double>(low), static_cast<double>(high) + 1)));
    }
    double exponential(double mean)
    {
        return -mean * std::log(1 - part());
    }

private:
    std::uint64_t state_;
};

// Outside floods the mixes ask for 45 to 80% of the engines' time at the best
// split of roles, so that a policy can serve everything if it follows the mix.

/// Lengths and tenants of one kind of work.
struct kind_shape
{
    work_kind kind;
    std::int64_t prompt_low = 0;
    std::int64_t prompt_high = 0;
    std::int64_t output_low = 0;
    std::int64_t output_high = 0;
    std::uint32_t tenants = 1;
};

/// Rates of the kinds in requests per second.
struct phase
{
    std::int64_t from_ms = 0;
    std::int64_t to_ms = 0;
    std::vector<double> rates;
};

struct plan
{
    std::string name;
    std::vector<std::string> domains;
    std::vector<sheet::rank> ranks;
    std::vector<kind_shape> kinds;
    /// Mixes that swings go between, in requests per second of each kind.
    std::vector<std::vector<double>> mixes;
    std::vector<double> least_urgent_flood;
    std::vector<double> most_urgent_flood;
};

sheet::rank make_rank(const char* name, int first_ms, int interval_ms,
                      double share, double worth)
{
    sheet::rank r;
    r.name = name;
    r.first_token_target = std::chrono::milliseconds(first_ms);
    r.token_interval_target = std::chrono::milliseconds(interval_ms);
    r.guaranteed_share = share;
    r.worth = worth;
    return r;
}

/// Itinerary summaries are urgent, booking notes less so; digests of long
/// reviews and blurbs may wait.
plan consorzio_plan()
{
    plan p;
    p.name = "consorzio";
    p.domains = {"valtellina", "valcamonica", "valsesia"};
    p.ranks = {make_rank("urgent", 2000, 60, 0.5, 4),
               make_rank("normal", 5000, 100, 0.2, 2),
               make_rank("later", 90000, 250, 0.2, 1)};
    p.kinds = {{{"summary", 0, 512, 600}, 800, 1800, 120, 320, 12},
               {{"note", 1, 256, 400}, 400, 900, 80, 200, 8},
               {{"digest", 2, 256, 500}, 3000, 7000, 100, 220, 3},
               {{"blurb", 2, 128, 800}, 250, 500, 250, 500, 4}};
    // Dawn digests, early bookings, booking rush, quiet with blurbs.
    p.mixes = {{1.5, 1, 7, 0.5}, {9, 5, 3, 1}, {24, 6, 0.3, 1}, {5, 4, 1, 12}};
    p.least_urgent_flood = {0, 0, 14, 45};
    p.most_urgent_flood = {90, 0, 0, 0};
    return p;
}

/// Layouts share a long style guide and are urgent; proof checks read a whole
/// layout and answer briefly; translations and headlines are small.
plan press_plan()
{
    plan p;
    p.name = "press";
    p.domains = {"sando", "couva", "penal"};
    p.ranks = {make_rank("layout", 2500, 60, 0.5, 4),
               make_rank("proof", 6000, 100, 0.2, 2),
               make_rank("small", 60000, 250, 0.2, 1)};
    p.kinds = {{{"layout", 0, 4096, 2000}, 5200, 7400, 700, 1500, 6},
               {{"proof", 1, 1024, 200}, 4000, 8000, 40, 110, 4},
               {{"translation", 2, 128, 600}, 250, 700, 180, 420, 10},
               {{"headline", 2, 128, 100}, 200, 300, 10, 40, 10}};
    // Layout wave, proof checks, translations, mixed.
    p.mixes = {
        {5.5, 0.8, 2, 2}, {1, 6.5, 2, 3}, {1.2, 0.8, 18, 8}, {3, 3, 6, 5}};
    p.least_urgent_flood = {0, 0, 75, 30};
    p.most_urgent_flood = {22, 0, 0, 0};
    return p;
}

std::vector<phase> swing_phases(const plan& p, random_numbers& random)
{
    std::vector<phase> phases;
    std::size_t mix = random.next() % p.mixes.size();
    for (std::int64_t at = 0; at < length_ms;)
    {
        const std::int64_t end = at + random.whole(50000, 130000);
        std::vector<double> rates = p.mixes[mix];
        for (double& r : rates)
            r *= random.between(0.8, 1.15);
        phases.push_back({at, std::min(end, length_ms), std::move(rates)});
        mix = (mix + 1 + random.next() % (p.mixes.size() - 1)) % p.mixes.size();
        at = end;
    }
    return phases;
}

std::vector<phase> flood_phases(const plan& p, random_numbers& random, trace& t)
{
    std::vector<double> rates(p.kinds.size(), 0);
    for (const auto& mix : p.mixes)
    {
        for (std::size_t k = 0; k < rates.size(); ++k)
            rates[k] += mix[k] * 0.7 / static_cast<double>(p.mixes.size());
    }
    std::vector<phase> phases{{0, length_ms, rates}};
    const std::int64_t first = random.whole(80000, 120000);
    const std::int64_t second = random.whole(280000, 310000);
    const std::int64_t lasts = random.whole(80000, 100000);
    phases.push_back({first, first + lasts, p.least_urgent_flood});
    phases.push_back({second, second + lasts, p.most_urgent_flood});
    t.floods = {{2, first, first + lasts}, {0, second, second + lasts}};
    return phases;
}

void add_requests(const plan& p, const phase& ph, random_numbers& random,
                  trace& t)
{
    for (std::size_t k = 0; k < ph.rates.size(); ++k)
    {
        if (ph.rates[k] <= 0)
            continue;
        const kind_shape& shape = p.kinds[k];
        double at = static_cast<double>(ph.from_ms);
        while (true)
        {
            at += random.exponential(1000 / ph.rates[k]);
            if (at >= static_cast<double>(ph.to_ms))
                break;
            t.requests.push_back(
                {static_cast<std::int64_t>(at), k,
                 static_cast<std::uint32_t>(random.next() % shape.tenants),
                 random.whole(shape.prompt_low, shape.prompt_high),
                 random.whole(shape.output_low, shape.output_high)});
        }
    }
}

/// A drain, a crash and a withdrawal at random times of the middle.
void add_events(random_numbers& random, trace& t)
{
    const auto engine = [&]
    {
        return static_cast<std::size_t>(random.next() % engines);
    };
    const std::size_t drained = engine();
    const std::size_t crashed = (drained + 1 + engine() % 5) % engines;
    const std::size_t withdrawn = (crashed + 6) % engines;
    const std::int64_t drain = random.whole(100000, 160000);
    const std::int64_t crash = random.whole(180000, 260000);
    t.events = {
        {drain, engine_event_kind::drain, drained},
        {drain + 60000, engine_event_kind::back, drained},
        {crash, engine_event_kind::crash, crashed},
        {crash + 45000, engine_event_kind::back, crashed},
        {random.whole(300000, 360000), engine_event_kind::withdraw, withdrawn}};
    std::ranges::stable_sort(t.events, {}, &engine_event::at_ms);
}

} // namespace

trace generate(deployment d, scenario s, std::uint64_t seed)
{
    const plan p = d == deployment::consorzio ? consorzio_plan() : press_plan();
    random_numbers random(seed * 4 + (s == scenario::flood ? 2 : 0) +
                          (d == deployment::press ? 1 : 0));
    trace t;
    t.deployment = p.name;
    t.scenario = s == scenario::swing ? "swing" : "flood";
    t.seed = seed;
    t.length_ms = length_ms;
    t.ranks = p.ranks;
    for (std::size_t i = 0; i < engines; ++i)
        t.domains.push_back(p.domains[i / engines_per_domain]);
    for (const kind_shape& shape : p.kinds)
        t.kinds.push_back(shape.kind);
    const std::vector<phase> phases = s == scenario::swing
                                          ? swing_phases(p, random)
                                          : flood_phases(p, random, t);
    for (const phase& ph : phases)
        add_requests(p, ph, random, t);
    std::ranges::stable_sort(t.requests, {}, &traced_request::at_ms);
    if (s == scenario::swing)
        add_events(random, t);
    return t;
}

deployment parse_deployment(const std::string& name)
{
    if (name == "consorzio")
        return deployment::consorzio;
    if (name == "press")
        return deployment::press;
    throw trace_error("unknown deployment " + name);
}

scenario parse_scenario(const std::string& name)
{
    if (name == "swing")
        return scenario::swing;
    if (name == "flood")
        return scenario::flood;
    throw trace_error("unknown scenario " + name);
}

} // namespace poplar::replay
