/// Chooses engines for requests whose prefix blocks are known.
///
/// Used by gateways, whose engines each have a stage. Entries, whose engines
/// have roles, use router.hpp instead.
///
/// Each engine is in one stage: prefill engines process prompts, decode engines
/// generate output. A request is either split (prefill on one engine, decode on
/// another, with a transfer of the KV cache) or unsplit (both on one decode
/// engine). Costs are expected seconds.
#pragma once

#include "policy/block_cache.hpp"
#include "policy/work.hpp"

#include <array>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace poplar::policy
{

enum class placed_stage
{
    prefill,
    decode
};

/// Number of ranks that loads distinguish; rank 0 is the most urgent.
inline constexpr std::size_t load_rank_count = 4;

/// Returns the rank of a priority. All priorities from the last rank on share
/// that rank.
constexpr std::size_t load_rank(unsigned priority)
{
    return priority < load_rank_count ? priority : load_rank_count - 1;
}

/// Unfinished work at one engine.
struct placed_load
{
    /// Prompt tokens that wait for prefill or are in prefill, by rank.
    std::array<token_count, load_rank_count> prefill_tokens{};
    token_count kv_tokens;  ///< KV cache tokens of running streams.
    unsigned in_flight = 0; ///< Unfinished calls and streams.

    /// Prompt tokens that the engine processes before a new request of this
    /// rank: those of the same and of more urgent ranks.
    token_count prefill_tokens_ahead(std::size_t rank) const;
    placed_load& operator+=(const placed_load& other);
    placed_load& operator-=(const placed_load& other);
};

/// An engine as one gateway sees it.
struct placed_engine
{
    std::string id;
    failure_domain_id failure_domain;
    placed_stage stage = placed_stage::decode;
    bool usable = true;
    /// No request may be sent now, because of a limit on their rate or on
    /// connections; KV cache may still be fetched from the engine.
    bool is_saturated = false;
    /// Added to each cost estimate, because of recent failures.
    double penalty_seconds = 0;
    /// Measured prefill rate relative to the service's; see engine_speed.hpp.
    double speed = 1;
    token_count kv_capacity;
    unsigned slots = 1;
    placed_load own_load;  ///< Of requests from this gateway.
    placed_load peer_load; ///< Of requests from peer gateways.
    block_cache cache;
};

using engine_span = std::span<const placed_engine* const>;

/// A request to be placed.
struct placed_request
{
    token_count input;
    token_count output; ///< Expected output tokens.
    std::size_t rank = 0;
    mono_time now{};
    std::span<const prefix_block> blocks;
    /// Prefill work that peers are expected to have placed since their last
    /// reports, in seconds of an engine of speed 1; see peer_forecast.hpp.
    double unreported_seconds = 0;
    std::uint64_t random = 0; ///< Differs between requests.
};

struct placement_settings
{
    /// Initial prefill rate of a prefill engine in prompt tokens per second,
    /// until measurements replace it.
    double prefill_rate = 50'000;
    /// Prefill rate of a decode engine as a fraction of that of a prefill
    /// engine. It is lower because a decode engine processes prompts in smaller
    /// chunks between the tokens of its streams.
    double decode_prefill_factor = 0.5;
    /// Factor on the expected time of an unsplit request when it is compared
    /// with a split one, since prefill on a decode engine delays its streams.
    double interference_factor = 2;
    /// Cost in seconds of the second upstream call of a split request.
    double split_overhead_seconds = 0.005;
    /// Longest time to wait for prefix blocks that are still in prefill for
    /// another request.
    double max_hold_seconds = 0.6;
    /// Fewest tokens to fetch from another engine. Fetching fewer costs more
    /// than their prefill.
    token_count min_fetch{256};
    /// Eviction depth from which cached blocks may no longer be cached; see
    /// block_match. Assumed, not measured.
    double certain_eviction_depth = 0.8;
    /// Probability that blocks are still cached at an eviction depth of 1; it
    /// falls linearly from 1 at `certain_eviction_depth`. Assumed, not
    /// measured.
    double oldest_cached_probability = 0.5;
    /// Probability that a request needs evicted tokens again, which then need
    /// another prefill. It is low because the least recently used are evicted
    /// first. Assumed, not measured.
    double evicted_reuse_probability = 0.05;
    /// Total delay in seconds that a stream causes to each other stream of its
    /// engine, summed over the decode steps of its lifetime.
    double stream_cost_seconds = 0.004;
    /// Fraction of the KV cache capacity that streams may fill before the
    /// engine is avoided.
    double max_kv_utilization = 0.8;
    /// Seconds to transfer the KV cache of 1000 tokens within a failure domain.
    /// A transfer between two failure domains takes twice as long.
    double transfer_seconds_per_1k = 0.0008;
};

/// An engine for one stage of a request, with the expected times.
struct placement_choice
{
    std::size_t engine = 0; ///< Index into the engines.
    /// Index of the engine to fetch KV cache of the prompt from, if any.
    std::optional<std::size_t> source;
    token_count fetched;  ///< Tokens fetched from the source.
    token_count uncached; ///< Prompt tokens that need prefill.
    /// Time until other requests have finished prefill of the cached blocks
    /// that this choice uses. The call must be sent after it, since an engine
    /// repeats the prefill of blocks that are not finished.
    double hold_seconds = 0;
    double wait_seconds = 0;    ///< Until the engine starts prefill.
    double prefill_seconds = 0; ///< Prefill, including fetching.
    /// Time until prefill has finished. In a result of choose_decode it is the
    /// time to transfer the KV cache, and the other times are 0.
    double total_seconds = 0;
    /// Speed of the engine that the times assume.
    double speed = 1;
    /// Expected prefill time of what the prompt displaces from the engine's
    /// cache. It is a cost of the choice, not a part of the request's time.
    double displaced_seconds = 0;
};

/// Engines for both stages of a request.
struct placement_plan
{
    /// Prefill engine of a split request; empty when the request is unsplit.
    std::optional<placement_choice> prefill;
    placement_choice decode;
};

/// Moving average of the prefill rate that callers of this gateway observe,
/// in prompt tokens per second, from prefill calls to otherwise idle engines.
///
/// It includes the gateway's own delay, so that expected times and refusals
/// remain correct when the gateway is more loaded than the engines.
class prefill_rate_estimate
{
public:
    explicit prefill_rate_estimate(double initial);

    void add(token_count tokens, double seconds);
    double tokens_per_second() const
    {
        return rate_;
    }

private:
    double rate_;
};

/// Prefill rate of the engines themselves, in prompt tokens per second.
///
/// It is the inverse slope of a regression of the duration of prefill calls
/// over their tokens. The constant overhead of a call, such as that of a slow
/// link of the gateway, does not affect it.
class engine_prefill_rate_estimate
{
public:
    explicit engine_prefill_rate_estimate(double initial);

    void add(token_count tokens, double seconds);
    double tokens_per_second() const
    {
        return variance_ / covariance_;
    }

private:
    double mean_tokens_ = 0;
    double mean_seconds_ = 0;
    double variance_;   ///< Variance of tokens.
    double covariance_; ///< Of tokens and seconds; always positive.
};

/// Ratio of measured to expected queue wait, by rank.
///
/// Requests wait longer than the work ahead of them at their arrival takes,
/// because more urgent requests that arrive later are processed first.
class wait_correction
{
public:
    void add(std::size_t rank, double expected_wait, double wait);
    double factor(std::size_t rank) const
    {
        return factors_[rank];
    }

private:
    std::array<double, load_rank_count> factors_{1, 1, 1, 1};
};

/// Places requests on the engines of a service. Also keeps the estimates of the
/// service, to which the gateway adds its measurements. Placement itself uses
/// only prefill_rate; the gateway reads the other two. Not thread-safe.
class engine_placement
{
public:
    explicit engine_placement(const placement_settings& settings = {});

    /// Returns a split or an unsplit placement; empty when no usable engine can
    /// serve the request. Engines are chosen by cost, including penalties and
    /// load. The two placements are then compared by `total_seconds` alone,
    /// with `interference_factor` and `split_overhead_seconds`. Engines whose
    /// index is in `excluded` are not chosen.
    std::optional<placement_plan>
    plan(engine_span engines, const placed_request& request,
         std::span<const std::size_t> excluded) const;

    /// Chooses a decode engine for a request whose prefill ran on `source`.
    std::optional<placement_choice>
    choose_decode(engine_span engines, const placed_request& request,
                  const placed_engine& source,
                  std::span<const std::size_t> excluded) const;

    /// Chooses the prefill engine with the lowest expected time.
    std::optional<placement_choice>
    choose_prefill(engine_span engines, const placed_request& request,
                   std::span<const std::size_t> excluded) const
    {
        return choose_prefill(engines, request, excluded,
                              match_all(engines, request));
    }

    prefill_rate_estimate& prefill_rate()
    {
        return rate_;
    }
    engine_prefill_rate_estimate& engine_prefill_rate()
    {
        return engine_rate_;
    }
    wait_correction& correction()
    {
        return correction_;
    }

private:
    /// Prefix blocks of one prompt that the engines have cached.
    struct cached_blocks
    {
        std::vector<block_match> by_engine; ///< In the order of the engines.
        /// Indices of the usable engines that cache enough to fetch from;
        /// usually few.
        std::vector<std::size_t> sources;
    };

    cached_blocks match_all(engine_span engines,
                            const placed_request& request) const;
    std::optional<placement_choice>
    choose_prefill(engine_span engines, const placed_request& request,
                   std::span<const std::size_t> excluded,
                   const cached_blocks& cached) const;
    /// Chooses among prefill engines by expected time, with the work that peers
    /// have not reported yet.
    std::optional<placement_choice>
    choose_by_forecast(engine_span engines, const placed_request& request,
                       std::span<const std::size_t> excluded,
                       const cached_blocks& cached) const;
    /// Chooses a decode engine that also runs the prefill.
    std::optional<placement_choice>
    choose_unsplit(engine_span engines, const placed_request& request,
                   std::span<const std::size_t> excluded,
                   const cached_blocks& cached) const;
    /// Estimates prefill on engine `i`, where engines of speed 1 process
    /// `reference_rate` tokens per second, with the source of cached blocks
    /// that makes it end first, or without one.
    placement_choice estimate_prefill(engine_span engines, std::size_t i,
                                      const placed_request& request,
                                      const cached_blocks& blocks,
                                      double reference_rate) const;
    /// Probability that matched blocks are still cached.
    double cached_probability(const block_match& m) const;
    /// Expected time to transfer the KV cache of `tokens`.
    double transfer_seconds(token_count tokens, const placed_engine& from,
                            const placed_engine& to) const;
    /// Cost of a new stream on the engine, by its load and recent failures.
    double decode_cost_seconds(const placed_engine& e,
                               const placed_request& request) const;

    placement_settings settings_;
    prefill_rate_estimate rate_;
    engine_prefill_rate_estimate engine_rate_;
    wait_correction correction_;
};

} // namespace poplar::policy
