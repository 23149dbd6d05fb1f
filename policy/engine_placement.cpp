#include "policy/engine_placement.hpp"

#include "base/digest.hpp"
#include "policy/peer_forecast.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <ranges>

namespace poplar::policy
{

namespace
{

/// Shorter prompts are not measured: their time depends more on the network
/// than on the engine.
constexpr token_count min_measured_tokens{2000};
/// Weight of one measurement in the average prefill rate.
constexpr double measurement_weight = 0.1;
/// Weight of one measurement in the regression. It is small because the speed
/// differs between engines and drops for short periods; the slope is therefore
/// averaged over many measurements.
constexpr double slope_weight = 0.005;
/// Standard deviation of prompt lengths that is assumed for the initial rate.
constexpr double initial_token_deviation = 2000; // tokens
/// Lower limit of the slope, as a fraction of mean time over mean tokens.
constexpr double min_slope_fraction = 0.02;
/// Shorter expected waits are ignored, since network delay dominates them.
constexpr double min_expected_wait_seconds = 0.05; // s
constexpr double max_correction = 8;
/// Weight of one measurement in the wait correction.
constexpr double correction_weight = 0.05;
/// Cost of an engine whose KV cache or slots are full. It is high enough that
/// such an engine is chosen only when all are full.
constexpr double full_engine_cost_seconds = 10;

bool contains(std::span<const std::size_t> indices, std::size_t i)
{
    return std::ranges::find(indices, i) != indices.end();
}

placed_load load_of(const placed_engine& e)
{
    placed_load sum = e.own_load;
    sum += e.peer_load;
    return sum;
}

/// Digest of the prompt's last block but one, so that it does not depend on the
/// last block; empty if there is none.
std::optional<std::uint64_t> shared_key(const placed_request& r)
{
    if (r.blocks.size() < 2)
        return std::nullopt;
    return r.blocks[r.blocks.size() - 2].digest;
}

/// Tie-break between engines of equal cost, by rendezvous hashing. Gateways
/// that have no reports from each other thus send prompts with the same prefix
/// to the same engine.
std::uint64_t preference(const placed_engine& e, const placed_request& r)
{
    return rendezvous_weight(e.id, shared_key(r).value_or(0));
}

bool may_choose(const placed_engine& e, placed_stage stage)
{
    return e.usable && !e.is_saturated && e.stage == stage;
}

/// Returns the choice with the lowest cost among the usable engines of a stage.
/// `estimate` returns the choice and its cost for an engine index. Costs that
/// differ by less than a millisecond are ties, which `preference` decides.
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
        if (!may_choose(e, stage) || contains(excluded, i))
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

token_count placed_load::prefill_tokens_ahead(std::size_t rank) const
{
    const auto counted = prefill_tokens | std::views::take(rank + 1);
    return std::accumulate(counted.begin(), counted.end(), token_count());
}

placed_load& placed_load::operator+=(const placed_load& other)
{
    for (std::size_t i = 0; i < load_rank_count; ++i)
        prefill_tokens[i] += other.prefill_tokens[i];
    kv_tokens += other.kv_tokens;
    in_flight += other.in_flight;
    return *this;
}

placed_load& placed_load::operator-=(const placed_load& other)
{
    for (std::size_t i = 0; i < load_rank_count; ++i)
        prefill_tokens[i] -= other.prefill_tokens[i];
    kv_tokens -= other.kv_tokens;
    in_flight -= std::min(in_flight, other.in_flight);
    return *this;
}

prefill_rate_estimate::prefill_rate_estimate(double initial) : rate_(initial) {}

void prefill_rate_estimate::add(token_count tokens, double seconds)
{
    if (tokens < min_measured_tokens || seconds <= 0)
        return;
    const double measured = double(tokens.value) / seconds;
    rate_ += measurement_weight * (measured - rate_);
}

engine_prefill_rate_estimate::engine_prefill_rate_estimate(double initial)
    : variance_(initial_token_deviation * initial_token_deviation),
      covariance_(variance_ / initial)
{
}

void engine_prefill_rate_estimate::add(token_count tokens, double seconds)
{
    if (tokens <= token_count(0) || seconds <= 0)
        return;
    const auto n = double(tokens.value);
    if (mean_tokens_ == 0)
    {
        mean_tokens_ = n;
        mean_seconds_ = seconds;
    }
    const double token_deviation = n - mean_tokens_;
    const double seconds_deviation = seconds - mean_seconds_;
    mean_tokens_ += slope_weight * token_deviation;
    mean_seconds_ += slope_weight * seconds_deviation;
    variance_ += slope_weight * (token_deviation * token_deviation - variance_);
    covariance_ +=
        slope_weight * (token_deviation * seconds_deviation - covariance_);
    covariance_ = std::max(covariance_, min_slope_fraction * variance_ *
                                            mean_seconds_ / mean_tokens_);
}

void wait_correction::add(std::size_t rank, double expected_wait, double wait)
{
    if (expected_wait < min_expected_wait_seconds)
        return;
    const double measured =
        std::clamp(wait / expected_wait, 1.0, max_correction);
    factors_[rank] += correction_weight * (measured - factors_[rank]);
}

engine_placement::engine_placement(const placement_settings& settings)
    : settings_(settings), rate_(settings.prefill_rate),
      engine_rate_(settings.prefill_rate)
{
}

double
engine_placement::decode_cost_seconds(const placed_engine& e,
                                      const placed_request& request) const
{
    const placed_load load = load_of(e);
    const token_count needed = load.kv_tokens + request.input + request.output;
    const double limit =
        settings_.max_kv_utilization * double(e.kv_capacity.value);
    double cost =
        settings_.stream_cost_seconds * load.in_flight + e.penalty_seconds;
    if (e.kv_capacity.value > 0 && double(needed.value) > limit)
        cost += full_engine_cost_seconds * double(needed.value) / limit;
    if (load.in_flight >= e.slots)
        cost += full_engine_cost_seconds;
    return cost;
}

engine_placement::cached_blocks
engine_placement::match_all(engine_span engines,
                            const placed_request& request) const
{
    cached_blocks cached;
    cached.by_engine.reserve(engines.size());
    for (std::size_t i = 0; i < engines.size(); ++i)
    {
        block_match m = engines[i]->cache.match(request.blocks);
        m.tokens = std::min(request.input, m.tokens);
        if (engines[i]->usable && m.tokens >= settings_.min_fetch)
            cached.sources.push_back(i);
        cached.by_engine.push_back(m);
    }
    return cached;
}

double engine_placement::cached_probability(const block_match& m) const
{
    const double certain = settings_.certain_eviction_depth;
    const double beyond =
        std::clamp((m.eviction_depth - certain) / (1 - certain), 0.0, 1.0);
    return 1 - beyond * (1 - settings_.oldest_cached_probability);
}

double engine_placement::transfer_seconds(token_count tokens,
                                          const placed_engine& from,
                                          const placed_engine& to) const
{
    const double within_domain =
        settings_.transfer_seconds_per_1k * double(tokens.value) / 1000;
    return from.failure_domain == to.failure_domain ? within_domain
                                                    : 2 * within_domain;
}

placement_choice engine_placement::estimate_prefill(
    engine_span engines, std::size_t i, const placed_request& request,
    const cached_blocks& blocks, double reference_rate) const
{
    const double rate = reference_rate * engines[i]->speed;
    const std::vector<block_match>& cached = blocks.by_engine;
    const auto hold_for = [&](const block_match& m)
    {
        return std::max(0.0, seconds(m.ready_at - request.now));
    };
    placement_choice c;
    c.engine = i;
    c.speed = engines[i]->speed;
    c.wait_seconds =
        double(load_of(*engines[i]).prefill_tokens_ahead(request.rank).value) /
        rate;
    const token_count added = request.input - cached[i].tokens;
    c.displaced_seconds = settings_.evicted_reuse_probability *
                          double(engines[i]->cache.evicted_by(added).value) /
                          rate;
    // Prefill of blocks that are not cached any more.
    const auto risk_seconds = [&](const block_match& m, token_count tokens)
    {
        return (1 - cached_probability(m)) * double(tokens.value) / rate;
    };
    const double own_risk = risk_seconds(cached[i], cached[i].tokens);
    bool is_set = false;
    const auto consider = [&](std::optional<std::size_t> source,
                              token_count fetched, double transfer)
    {
        const bool uses_own = cached[i].tokens > token_count(0);
        double hold = uses_own ? hold_for(cached[i]) : 0;
        if (source)
            hold = std::max(hold, hold_for(cached[*source]));
        const token_count uncached = request.input - cached[i].tokens - fetched;
        double prefill = transfer + double(uncached.value) / rate + own_risk;
        if (source)
            prefill += risk_seconds(cached[*source], fetched);
        const double total = std::max(hold, c.wait_seconds) + prefill;
        if (hold > settings_.max_hold_seconds ||
            (is_set && total >= c.total_seconds))
            return;
        is_set = true;
        c.source = source;
        c.fetched = fetched;
        c.uncached = uncached;
        c.hold_seconds = hold;
        c.prefill_seconds = prefill;
        c.total_seconds = total;
    };
    consider(std::nullopt, token_count(0), 0);
    for (const std::size_t k : blocks.sources)
    {
        const token_count more = cached[k].tokens - cached[i].tokens;
        if (more >= settings_.min_fetch)
            consider(k, more, transfer_seconds(more, *engines[k], *engines[i]));
    }
    if (is_set)
        return c;
    // The blocks that are in prefill on this engine will be ready too late to
    // wait for, so the whole prompt needs prefill.
    c.uncached = request.input;
    c.prefill_seconds = double(request.input.value) / rate;
    c.total_seconds = c.wait_seconds + c.prefill_seconds;
    return c;
}

std::optional<placement_choice> engine_placement::choose_prefill(
    engine_span engines, const placed_request& request,
    std::span<const std::size_t> excluded, const cached_blocks& cached) const
{
    if (request.unreported_seconds > 0)
        return choose_by_forecast(engines, request, excluded, cached);
    return cheapest(
        engines, request, excluded, placed_stage::prefill,
        [&](std::size_t i)
        {
            const auto c = estimate_prefill(engines, i, request, cached,
                                            rate_.tokens_per_second());
            return std::pair(c, c.total_seconds + c.displaced_seconds +
                                    engines[i]->penalty_seconds);
        });
}

std::optional<placement_choice> engine_placement::choose_by_forecast(
    engine_span engines, const placed_request& request,
    std::span<const std::size_t> excluded, const cached_blocks& cached) const
{
    std::vector<placement_choice> choices;
    std::vector<forecast_engine> candidates;
    for (std::size_t i = 0; i < engines.size(); ++i)
    {
        const placed_engine& e = *engines[i];
        if (!may_choose(e, placed_stage::prefill) || contains(excluded, i))
            continue;
        choices.push_back(estimate_prefill(engines, i, request, cached,
                                           rate_.tokens_per_second()));
        candidates.push_back({e.id,
                              choices.back().total_seconds +
                                  choices.back().displaced_seconds +
                                  e.penalty_seconds,
                              e.speed});
    }
    const auto unreported =
        expected_unreported_work(candidates, request.unreported_seconds);
    const std::size_t n = choose_by_share(
        candidates, unreported,
        cached.sources.empty() ? shared_key(request).value_or(request.random)
                               : request.random);
    if (n == candidates.size())
        return std::nullopt;
    placement_choice c = choices[n];
    c.wait_seconds += unreported[n];
    c.total_seconds =
        std::max(c.hold_seconds, c.wait_seconds) + c.prefill_seconds;
    return c;
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
            c.total_seconds = transfer_seconds(request.input, source, e);
            return std::pair(c,
                             c.total_seconds + decode_cost_seconds(e, request));
        });
}

std::optional<placement_choice> engine_placement::choose_unsplit(
    engine_span engines, const placed_request& request,
    std::span<const std::size_t> excluded, const cached_blocks& cached) const
{
    const double rate =
        rate_.tokens_per_second() * settings_.decode_prefill_factor;
    return cheapest(
        engines, request, excluded, placed_stage::decode,
        [&](std::size_t i)
        {
            const auto c = estimate_prefill(engines, i, request, cached, rate);
            return std::pair(c, c.total_seconds + c.displaced_seconds +
                                    decode_cost_seconds(*engines[i], request));
        });
}

std::optional<placement_plan>
engine_placement::plan(engine_span engines, const placed_request& request,
                       std::span<const std::size_t> excluded) const
{
    const cached_blocks cached = match_all(engines, request);
    const auto unsplit = choose_unsplit(engines, request, excluded, cached);
    const auto prefill = choose_prefill(engines, request, excluded, cached);
    if (!prefill && !unsplit)
        return std::nullopt;
    if (!prefill)
        return placement_plan{std::nullopt, *unsplit};
    const auto decode =
        choose_decode(engines, request, *engines[prefill->engine], excluded);
    if (!decode)
        return std::nullopt;
    const double unsplit_cost =
        unsplit->total_seconds * settings_.interference_factor;
    const double split_cost = prefill->total_seconds + decode->total_seconds +
                              settings_.split_overhead_seconds;
    if (unsplit_cost < split_cost)
        return placement_plan{std::nullopt, *unsplit};
    return placement_plan{prefill, *decode};
}

} // namespace poplar::policy
