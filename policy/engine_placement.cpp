#include "policy/engine_placement.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <ranges>

namespace poplar::policy
{

namespace
{

/// Readings shorter than this say more of the network than of the engine.
constexpr token_count shortest_measured{2000};
/// Weight of one measurement.
constexpr double measurement_weight = 0.1;
/// Weight of one measurement of the slope. Engines differ and are slow for
/// moments, so that it needs many.
constexpr double slope_weight = 0.005;
/// Spread of prompt lengths that the initial rate stands for.
constexpr double initial_deviation = 2000; // tokens
/// The time for a token is at least this part of the mean time for one.
constexpr double least_slope_share = 0.02;
/// Shorter estimates are mostly network and say little.
constexpr double shortest_expected = 0.05; // s
constexpr double highest_correction = 8;
/// Weight of one measurement.
constexpr double correction_weight = 0.05;
/// Score of an engine whose memory is full: used only when all are.
constexpr double full_seconds = 10;

bool contains(std::span<const std::size_t> indices, std::size_t i)
{
    return std::ranges::find(indices, i) != indices.end();
}

placed_load load_of(const placed_engine& e)
{
    placed_load sum = e.own;
    sum += e.others;
    return sum;
}

/// Fixed preference between engines that cost the same: gateways that know
/// nothing of each other send a prompt's first part to the same engine.
std::uint64_t preference(const placed_engine& e, const placed_request& r)
{
    const std::uint64_t key =
        r.parts.size() < 2 ? 0 : r.parts[r.parts.size() - 2].digest;
    return rendezvous_weight(e.id, key);
}

/// The cheapest engine for which `estimate` gives a choice; ties within a
/// millisecond go by preference.
template <class Estimate>
std::optional<placement_choice>
cheapest(engine_span engines, const placed_request& request,
         std::span<const std::size_t> excluded, placed_stage stage,
         Estimate&& estimate)
{
    constexpr double tie_seconds = 0.001;
    std::optional<placement_choice> best;
    double best_cost = std::numeric_limits<double>::max();
    std::uint64_t best_preference = 0;
    for (std::size_t i = 0; i < engines.size(); ++i)
    {
        const placed_engine& e = *engines[i];
        if (!e.usable || e.stage != stage || contains(excluded, i))
            continue;
        const auto [choice, cost] = estimate(i);
        const std::uint64_t p = preference(e, request);
        const bool ties = best && std::abs(cost - best_cost) < tie_seconds;
        if (ties ? p <= best_preference : cost >= best_cost)
            continue;
        best = choice;
        best_cost = cost;
        best_preference = p;
    }
    return best;
}

} // namespace

token_count placed_load::reading_before(std::size_t rank) const
{
    const auto counted = reading | std::views::take(rank + 1);
    return std::accumulate(counted.begin(), counted.end(), token_count());
}

placed_load& placed_load::operator+=(const placed_load& other)
{
    for (std::size_t i = 0; i < load_ranks; ++i)
        reading[i] += other.reading[i];
    kept += other.kept;
    runs += other.runs;
    return *this;
}

placed_load& placed_load::operator-=(const placed_load& other)
{
    for (std::size_t i = 0; i < load_ranks; ++i)
        reading[i] -= other.reading[i];
    kept -= other.kept;
    runs -= std::min(runs, other.runs);
    return *this;
}

read_rate_estimate::read_rate_estimate(double initial) : rate_(initial) {}

void read_rate_estimate::add(token_count tokens, double seconds)
{
    if (tokens < shortest_measured || seconds <= 0)
        return;
    const double measured = double(tokens.value) / seconds;
    rate_ += measurement_weight * (measured - rate_);
}

engine_rate_estimate::engine_rate_estimate(double initial)
    : variance_(initial_deviation * initial_deviation),
      covariance_(variance_ / initial)
{
}

void engine_rate_estimate::add(token_count tokens, double seconds)
{
    if (tokens <= token_count(0) || seconds <= 0)
        return;
    const auto n = double(tokens.value);
    if (mean_tokens_ == 0)
    {
        mean_tokens_ = n;
        mean_seconds_ = seconds;
    }
    const double more_tokens = n - mean_tokens_;
    const double more_seconds = seconds - mean_seconds_;
    mean_tokens_ += slope_weight * more_tokens;
    mean_seconds_ += slope_weight * more_seconds;
    variance_ += slope_weight * (more_tokens * more_tokens - variance_);
    covariance_ += slope_weight * (more_tokens * more_seconds - covariance_);
    covariance_ = std::max(covariance_, least_slope_share * variance_ *
                                            mean_seconds_ / mean_tokens_);
}

void wait_correction::add(std::size_t rank, double expected_wait, double wait)
{
    if (expected_wait < shortest_expected)
        return;
    const double measured =
        std::clamp(wait / expected_wait, 1.0, highest_correction);
    factors_[rank] += correction_weight * (measured - factors_[rank]);
}

engine_placement::engine_placement(const placement_settings& settings)
    : settings_(settings), rate_(settings.read_rate),
      engine_rate_(settings.read_rate)
{
}

double engine_placement::decode_seconds(const placed_engine& e,
                                        const placed_request& request) const
{
    const placed_load load = load_of(e);
    const token_count needed = load.kept + request.input + request.output;
    const double limit = settings_.memory_limit * double(e.kv_capacity.value);
    double cost = settings_.run_seconds * load.runs + e.penalty_seconds;
    if (e.kv_capacity.value > 0 && double(needed.value) > limit)
        cost += full_seconds * double(needed.value) / limit;
    if (load.runs >= e.slots)
        cost += full_seconds;
    return cost;
}

engine_placement::kept_parts
engine_placement::match_all(engine_span engines,
                            const placed_request& request) const
{
    kept_parts kept;
    kept.by_engine.reserve(engines.size());
    for (std::size_t i = 0; i < engines.size(); ++i)
    {
        part_match m = engines[i]->cache.match(request.parts);
        m.tokens = std::min(request.input, m.tokens);
        if (engines[i]->usable && m.tokens >= settings_.shortest_fetch)
            kept.sources.push_back(i);
        kept.by_engine.push_back(m);
    }
    return kept;
}

double engine_placement::move_seconds(token_count tokens,
                                      const placed_engine& from,
                                      const placed_engine& to) const
{
    const double near =
        settings_.move_seconds_per_k * double(tokens.value) / 1000;
    return from.failure_domain == to.failure_domain ? near : 2 * near;
}

placement_choice engine_placement::read_at(engine_span engines, std::size_t i,
                                           const placed_request& request,
                                           const kept_parts& parts,
                                           double rate) const
{
    const std::vector<part_match>& kept = parts.by_engine;
    const auto hold_for = [&](const part_match& m)
    {
        return std::max(0.0, seconds(m.ready_at - request.now));
    };
    placement_choice c;
    c.engine = i;
    c.wait_seconds =
        double(load_of(*engines[i]).reading_before(request.rank).value) / rate;
    bool is_set = false;
    const auto consider =
        [&](std::optional<std::size_t> source, token_count fetched, double move)
    {
        const bool uses_own = kept[i].tokens > token_count(0);
        double hold = uses_own ? hold_for(kept[i]) : 0;
        if (source)
            hold = std::max(hold, hold_for(kept[*source]));
        const token_count uncached = request.input - kept[i].tokens - fetched;
        const double read = move + double(uncached.value) / rate;
        const double total = std::max(hold, c.wait_seconds) + read;
        if (hold > settings_.longest_hold_seconds ||
            (is_set && total >= c.total_seconds))
            return;
        is_set = true;
        c.source = source;
        c.fetched = fetched;
        c.uncached = uncached;
        c.hold_seconds = hold;
        c.read_seconds = read;
        c.total_seconds = total;
    };
    consider(std::nullopt, token_count(0), 0);
    for (const std::size_t k : parts.sources)
    {
        const token_count more = kept[k].tokens - kept[i].tokens;
        if (more >= settings_.shortest_fetch)
            consider(k, more, move_seconds(more, *engines[k], *engines[i]));
    }
    if (is_set)
        return c;
    // What this engine is reading is too far from ready to wait for.
    c.uncached = request.input;
    c.read_seconds = double(request.input.value) / rate;
    c.total_seconds = c.wait_seconds + c.read_seconds;
    return c;
}

std::optional<placement_choice> engine_placement::choose_prefill(
    engine_span engines, const placed_request& request,
    std::span<const std::size_t> excluded, const kept_parts& kept) const
{
    return cheapest(
        engines, request, excluded, placed_stage::prefill,
        [&](std::size_t i)
        {
            const auto c =
                read_at(engines, i, request, kept, rate_.tokens_per_second());
            return std::pair(c, c.total_seconds + engines[i]->penalty_seconds);
        });
}

std::optional<placement_choice> engine_placement::choose_decode(
    engine_span engines, const placed_request& request,
    const placed_engine& source, std::span<const std::size_t> excluded) const
{
    return cheapest(
        engines, request, excluded, placed_stage::decode,
        [&](std::size_t i)
        {
            const placed_engine& e = *engines[i];
            placement_choice c;
            c.engine = i;
            c.total_seconds = move_seconds(request.input, source, e);
            return std::pair(c, c.total_seconds + decode_seconds(e, request));
        });
}

std::optional<placement_choice> engine_placement::choose_whole(
    engine_span engines, const placed_request& request,
    std::span<const std::size_t> excluded, const kept_parts& kept) const
{
    const double rate =
        rate_.tokens_per_second() * settings_.decode_read_factor;
    return cheapest(engines, request, excluded, placed_stage::decode,
                    [&](std::size_t i)
                    {
                        const auto c = read_at(engines, i, request, kept, rate);
                        return std::pair(
                            c, c.total_seconds +
                                   decode_seconds(*engines[i], request));
                    });
}

std::optional<placement_plan>
engine_placement::plan(engine_span engines, const placed_request& request,
                       std::span<const std::size_t> excluded) const
{
    const kept_parts kept = match_all(engines, request);
    const auto whole = choose_whole(engines, request, excluded, kept);
    const auto prefill = choose_prefill(engines, request, excluded, kept);
    if (!prefill && !whole)
        return std::nullopt;
    if (!prefill)
        return placement_plan{std::nullopt, *whole};
    const auto decode =
        choose_decode(engines, request, *engines[prefill->engine], excluded);
    if (!decode)
        return std::nullopt;
    const double whole_cost =
        whole->total_seconds * settings_.beside_streams_weight;
    const double split_cost = prefill->total_seconds + decode->total_seconds +
                              settings_.split_seconds;
    if (whole_cost < split_cost)
        return placement_plan{std::nullopt, *whole};
    return placement_plan{prefill, *decode};
}

} // namespace poplar::policy
