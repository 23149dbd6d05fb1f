#include "replay/report.hpp"

#include "replay/oracle.hpp"
#include "settings/reader.hpp"

#include <algorithm>
#include <future>
#include <iomanip>

namespace poplar::replay
{

namespace
{

/// Runs are independent of each other; more would crowd out other work.
constexpr std::size_t runs_at_once = 4;

double best_baseline(const comparison& c)
{
    double best = 0;
    for (const policy_result& p : c.policies)
    {
        if (p.choice.is_baseline)
            best = std::max(best, p.result.worth_tokens);
    }
    return best;
}

/// Part of what a rank asked for, or of its share if that is less, that it got
/// on target in a flood.
double kept(const comparison& c, const figures& f, std::size_t flood,
            std::size_t rank)
{
    const std::size_t at = flood * c.ranks.size() + rank;
    const double due = std::min(c.flood_demand[at], c.flood_share[at]);
    return due > 0 ? std::min(1.0, f.floods[flood].engine_seconds[rank] / due)
                   : 1;
}

double accepted_on_target(const figures& f)
{
    double met = 0;
    for (const rank_figures& r : f.ranks)
        met += r.met;
    const auto late = static_cast<double>(f.late_accepted);
    return met + late > 0 ? met / (met + late) : 1;
}

double retry_after_true(const figures& f)
{
    return f.retries > 0 ? static_cast<double>(f.retries_true) /
                               static_cast<double>(f.retries)
                         : 1;
}

void fill_floods(const trace& t, comparison& c)
{
    const policy::engine_speed speed = nominal_speed(engine_constants());
    for (const flood& f : t.floods)
    {
        std::vector<double> demand(t.ranks.size(), 0);
        for (const traced_request& r : t.requests)
        {
            if (r.at_ms < f.from_ms || r.at_ms >= f.to_ms)
                continue;
            const work_kind& k = t.kinds[r.kind];
            demand[k.rank] +=
                policy::engine_seconds({token_count(r.prompt - k.shared_prefix),
                                        token_count(r.output)},
                                       speed);
        }
        const double length = static_cast<double>(f.to_ms - f.from_ms) / 1000;
        for (std::size_t rank = 0; rank < t.ranks.size(); ++rank)
        {
            c.flood_demand.push_back(demand[rank]);
            c.flood_share.push_back(t.ranks[rank].guaranteed_share * length *
                                    static_cast<double>(t.domains.size()));
        }
    }
}

void print_policy(std::ostream& out, const comparison& c,
                  const policy_result& p)
{
    const figures& f = p.result;
    out << std::left << std::setw(18) << p.choice.name << std::right
        << std::setw(9) << f.worth_tokens / 1000 << std::setw(9)
        << f.plain_tokens / 1000 << std::setw(8)
        << f.worth_tokens / std::max(1.0, best_baseline(c)) << std::setw(8)
        << f.worth_tokens / std::max(1.0, c.oracle);
    for (const rank_figures& r : f.ranks)
        out << std::setw(7) << r.part();
    for (std::size_t i = 0; i < f.floods.size(); ++i)
    {
        out << "  |";
        for (std::size_t rank = 0; rank < c.ranks.size(); ++rank)
            out << std::setw(6) << kept(c, f, i, rank);
    }
    out << std::setw(6) << f.role_changes << std::setw(8) << f.refusals
        << std::setw(7) << retry_after_true(f) << std::setw(7)
        << f.mean_retry_after << std::setw(8) << f.late_accepted << '\n';
}

} // namespace

comparison compare(const trace& t, std::size_t most)
{
    comparison c;
    c.trace_name = t.name();
    c.scenario = t.scenario;
    for (const sheet::rank& r : t.ranks)
        c.ranks.push_back(r.name);
    c.floods = t.floods;
    fill_floods(t, c);
    c.oracle = oracle_worth_tokens(t, engine_constants());
    const auto& choices = all_policies();
    most = std::min(most, choices.size());
    for (std::size_t first = 0; first < most; first += runs_at_once)
    {
        std::vector<std::future<figures>> runs;
        for (std::size_t i = first; i < std::min(most, first + runs_at_once);
             ++i)
            runs.push_back(std::async(std::launch::async, [&t, &choices, i]
                                      { return run(t, choices[i]); }));
        for (std::size_t i = 0; i < runs.size(); ++i)
            c.policies.push_back({choices[first + i], runs[i].get()});
    }
    return c;
}

void print(std::ostream& out, const comparison& c)
{
    out << std::fixed << std::setprecision(2) << "trace " << c.trace_name
        << ": goodput in 1,000 worth-weighted and plain tokens on target; "
           "ratio to best baseline and to oracle ("
        << c.oracle / 1000 << " of "
        << c.policies.front().result.offered_worth_tokens / 1000
        << " offered); part on target of ranks";
    for (const std::string& rank : c.ranks)
        out << ' ' << rank;
    out << "; kept in floods by rank; role changes; refusals; Retry-After "
           "true, mean s; accepted but late\n";
    for (const policy_result& p : c.policies)
        print_policy(out, c, p);
}

void print_summary(std::ostream& out, const std::vector<comparison>& list)
{
    if (list.empty())
        return;
    out << "all " << list.size()
        << " traces: policy, goodput in 1,000 worth-weighted tokens, ratio to "
           "oracle, role changes\n";
    for (std::size_t i = 0; i < list.front().policies.size(); ++i)
    {
        double worth = 0;
        double oracle = 0;
        std::size_t changes = 0;
        for (const comparison& c : list)
        {
            worth += c.policies[i].result.worth_tokens;
            oracle += c.oracle;
            changes += c.policies[i].result.role_changes;
        }
        out << std::left << std::setw(18)
            << list.front().policies[i].choice.name << std::right
            << std::setw(11) << worth / 1000 << std::setw(8)
            << worth / std::max(1.0, oracle) << std::setw(6) << changes << '\n';
    }
}

std::vector<outcome> read_outcomes(const std::string& file)
{
    settings::reader r = settings::reader::from_file(file);
    std::vector<outcome> result;
    for (settings::reader& item : r.tables("outcome"))
    {
        outcome o;
        o.name = item.text("name");
        o.scenario = item.text("scenario");
        o.figure = item.text("figure");
        if (item.has("at_least"))
            o.at_least = item.number("at_least", 0, 0, 1e9);
        if (item.has("at_most"))
            o.at_most = item.number("at_most", 0, 0, 1e9);
        if (!o.at_least && !o.at_most)
            item.fail("name", "no bound");
        result.push_back(std::move(o));
    }
    r.finish();
    return result;
}

double figure_of(const comparison& c, const std::string& name)
{
    const figures& f = c.policies.at(0).result;
    if (name == "goodput_to_best_baseline")
        return f.worth_tokens / std::max(1.0, best_baseline(c));
    if (name == "role_changes")
        return static_cast<double>(f.role_changes);
    if (name == "accepted_on_target")
        return accepted_on_target(f);
    if (name == "retry_after_true")
        return retry_after_true(f);
    for (std::size_t rank = 0; rank < f.ranks.size(); ++rank)
    {
        const std::string suffix = "rank_" + std::to_string(rank);
        if (name == "on_target_" + suffix)
            return f.ranks[rank].part();
        for (std::size_t i = 0; i < f.floods.size(); ++i)
        {
            std::string figure = "flood_";
            figure += std::to_string(i);
            if (name == std::string(figure).append("_kept_").append(suffix))
                return kept(c, f, i, rank);
            if (name ==
                std::string(figure).append("_on_target_").append(suffix))
                return f.floods[i].ranks[rank].part();
        }
    }
    throw trace_error("unknown figure " + name);
}

std::vector<checked_outcome> check(const std::vector<outcome>& outcomes,
                                   const std::vector<comparison>& list)
{
    std::vector<checked_outcome> result;
    for (const comparison& c : list)
    {
        for (const outcome& o : outcomes)
        {
            if (o.scenario != c.scenario)
                continue;
            const double value = figure_of(c, o.figure);
            const bool met = value >= o.at_least.value_or(value) &&
                             value <= o.at_most.value_or(value);
            result.push_back({o.name, c.trace_name, value, met});
        }
    }
    return result;
}

} // namespace poplar::replay
