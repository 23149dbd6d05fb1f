#include "load/report.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace poplar::load
{

namespace
{

using nlohmann::json;

/// Share of the intervals of one request that must meet the target.
constexpr double interval_share = 0.95;

double milliseconds_of(duration d)
{
    return static_cast<double>(d.count()) / 1000;
}

double per_second(std::uint64_t n, duration elapsed)
{
    return static_cast<double>(n) * 1e6 / static_cast<double>(elapsed.count());
}

json percentiles(std::vector<duration>& samples)
{
    return {{"p50", milliseconds_of(percentile(samples, 0.50))},
            {"p95", milliseconds_of(percentile(samples, 0.95))},
            {"p99", milliseconds_of(percentile(samples, 0.99))}};
}

std::uint64_t count_of(const class_report& c, outcome o)
{
    const auto it = c.outcomes.find(o);
    return it == c.outcomes.end() ? 0 : it->second;
}

json class_json(class_report& c, duration elapsed)
{
    json j{{"name", c.name},
           {"sent", c.sent},
           {"refusals", c.refusals},
           {"failures", c.failures},
           {"not_completed_ran", c.ran},
           {"tokens", c.tokens},
           {"tokens_per_s", per_second(c.tokens, elapsed)},
           {"goodput_tokens", c.good_tokens},
           {"goodput_tokens_per_s", per_second(c.good_tokens, elapsed)},
           {"met_targets", c.met_targets},
           {"first_token_ms", percentiles(c.first_tokens)},
           {"token_interval_ms", percentiles(c.intervals)}};
    for (const outcome o : {outcome::completed, outcome::refused, outcome::cut,
                            outcome::mixed, outcome::failed})
        j[to_string(o)] = count_of(c, o);
    return j;
}

void print_percentiles(std::ostream& out, const char* name,
                       std::vector<duration>& samples)
{
    out << "  " << name << " ms: p50 "
        << milliseconds_of(percentile(samples, 0.50)) << "  p95 "
        << milliseconds_of(percentile(samples, 0.95)) << "  p99 "
        << milliseconds_of(percentile(samples, 0.99)) << "\n";
}

void print_counts(std::ostream& out, const char* name,
                  const std::map<std::string, std::uint64_t>& counts)
{
    if (counts.empty())
        return;
    out << "  " << name << ":";
    for (const auto& [key, n] : counts)
        out << " " << key << "=" << n;
    out << "\n";
}

void print_class(std::ostream& out, class_report& c, duration elapsed)
{
    out << c.name << ": sent " << c.sent;
    for (const outcome o : {outcome::completed, outcome::refused, outcome::cut,
                            outcome::mixed, outcome::failed})
        out << "  " << to_string(o) << " " << count_of(c, o);
    out << "\n";
    print_counts(out, "refused by type", c.refusals);
    print_counts(out, "failed by kind", c.failures);
    print_counts(out, "not completed, ran", c.ran);
    print_percentiles(out, "first token", c.first_tokens);
    if (!c.intervals.empty())
        print_percentiles(out, "token interval", c.intervals);
    out << "  goodput " << per_second(c.good_tokens, elapsed) << " tokens/s of "
        << per_second(c.tokens, elapsed) << ", " << c.met_targets
        << " requests met their targets\n";
}

} // namespace

std::string to_string(outcome o)
{
    switch (o)
    {
    case outcome::completed:
        return "completed";
    case outcome::refused:
        return "refused";
    case outcome::cut:
        return "cut";
    case outcome::mixed:
        return "mixed";
    case outcome::failed:
        return "failed";
    }
    return "unknown";
}

duration percentile(std::vector<duration>& samples, double share)
{
    if (samples.empty())
        return duration::zero();
    const double rank = std::ceil(share * static_cast<double>(samples.size()));
    const auto at =
        samples.begin() +
        std::max<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(rank) - 1);
    std::ranges::nth_element(samples, at);
    return *at;
}

class_report::class_report(const work_class& c)
    : name(c.name), first_token_target(c.first_token_target),
      token_interval_target(c.token_interval_target)
{
}

void class_report::add(const measurement& m)
{
    ++outcomes[m.result];
    if (m.result == outcome::refused)
        ++refusals[m.detail];
    if (m.result == outcome::failed || m.result == outcome::cut)
        ++failures[m.detail];
    if (m.result != outcome::completed)
    {
        if (!m.ran.empty())
            ++ran[m.ran];
        return;
    }
    tokens += m.tokens;
    first_tokens.push_back(m.first_token);
    intervals.insert(intervals.end(), m.intervals.begin(), m.intervals.end());
    std::vector<duration> own = m.intervals;
    if (m.first_token > first_token_target ||
        percentile(own, interval_share) > token_interval_target)
        return;
    good_tokens += m.tokens;
    ++met_targets;
}

std::string to_text(run_report& report)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    for (class_report& c : report.classes)
        print_class(out, c, report.elapsed);
    return out.str();
}

json to_json(run_report& report)
{
    json all = json::array();
    for (class_report& c : report.classes)
        all.push_back(class_json(c, report.elapsed));
    return {{"duration_s", milliseconds_of(report.length) / 1000},
            {"elapsed_s", milliseconds_of(report.elapsed) / 1000},
            {"classes", std::move(all)}};
}

} // namespace poplar::load
