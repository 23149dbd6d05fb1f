/// Chooses engines for requests of known prompt parts, where each engine either
/// reads prompts (prefill) or runs streams (decode).
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

/// Groups of priorities that are told apart in loads; 0 is the most urgent.
inline constexpr std::size_t load_rank_count = 4;

/// Rank of a priority; all from the last on count as one.
constexpr std::size_t load_rank(unsigned priority)
{
    return priority < load_rank_count ? priority : load_rank_count - 1;
}

/// Work at one engine that has not ended.
struct placed_load
{
    /// Prompt tokens to be read, by rank.
    std::array<token_count, load_rank_count> prefill_tokens{};
    token_count kv_tokens; ///< Tokens in memory of running streams.
    unsigned in_flight = 0;

    /// Prompt tokens that go before those of a request of this rank.
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
    /// Added to each estimate, for an engine that fails requests.
    double penalty_seconds = 0;
    token_count kv_capacity;
    unsigned slots = 1;
    placed_load own_load;  ///< Put there by this gateway.
    placed_load peer_load; ///< Put there by the other gateways.
    block_cache cache;
};

using engine_span = std::span<const placed_engine* const>;

struct placed_request
{
    token_count input;
    token_count output; ///< Expected.
    std::size_t rank = 0;
    mono_time now{};
    std::span<const prefix_block> blocks;
};

struct placement_settings
{
    /// Prompt tokens that a prefill engine reads in a second, until measured.
    double prefill_rate = 50'000;
    /// Of a decode engine, in relation to a prefill engine: it reads in smaller
    /// chunks between the tokens of its streams.
    double decode_prefill_factor = 0.5;
    /// Cost of reading beside streams, which it delays, in relation to reading
    /// at a prefill engine.
    double interference_factor = 2;
    /// Cost of the second call that a prompt read apart takes.
    double split_overhead_seconds = 0.005;
    /// Parts that are ready later than this are not waited for.
    double max_hold_seconds = 0.6;
    /// Fetching less than this costs more than reading it.
    token_count min_fetch{256};
    /// Seconds that a stream adds to each step of the streams beside it, over
    /// its life.
    double stream_cost_seconds = 0.004;
    /// Part of the memory that streams may fill before an engine is avoided.
    double max_kv_utilization = 0.8;
    /// Seconds to move the KV cache of 1000 tokens within a failure domain;
    /// twice as much between two.
    double transfer_seconds_per_1k = 0.0008;
};

struct placement_choice
{
    std::size_t engine = 0; ///< Index into the engines.
    /// Engine to fetch KV cache of the prompt from; empty: none.
    std::optional<std::size_t> source;
    token_count fetched;  ///< From the source.
    token_count uncached; ///< To be read.
    /// Until the parts that are used have been read for another request; the
    /// call is to be sent then, since an engine reads again what it has not
    /// finished.
    double hold_seconds = 0;
    double wait_seconds = 0;    ///< Until the engine begins with the prompt.
    double prefill_seconds = 0; ///< From then on, with fetching.
    double total_seconds = 0;   ///< Until the prompt has been read.
};

struct placement_plan
{
    /// Reads the prompt; empty when the decode engine does.
    std::optional<placement_choice> prefill;
    placement_choice decode;
};

/// Prompt tokens per second as a gateway's callers get them, its own delay
/// included, from readings that found no other work. Answers to gateways that
/// are loaded more than the engines: expected times and refusals follow it.
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

/// Prompt tokens per second of the engines themselves: the slope of the time of
/// readings over their tokens. What each reading takes besides, as on a
/// gateway's slow link, does not count.
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
    double variance_;   ///< Of tokens.
    double covariance_; ///< Of tokens and seconds; positive.
};

/// How much longer requests of a rank wait than the work before them says:
/// more urgent ones that come later go before them too.
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

class engine_placement
{
public:
    explicit engine_placement(const placement_settings& settings = {});

    /// Empty when no usable engine can run the request. Engines whose index is
    /// in `excluded` are not chosen.
    std::optional<placement_plan>
    plan(engine_span engines, const placed_request& request,
         std::span<const std::size_t> excluded) const;

    /// A decode engine for a prompt that `source` has read.
    std::optional<placement_choice>
    choose_decode(engine_span engines, const placed_request& request,
                  const placed_engine& source,
                  std::span<const std::size_t> excluded) const;

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
    /// What the engines keep of a prompt.
    struct cached_blocks
    {
        std::vector<block_match> by_engine; ///< In their order.
        /// Usable engines that keep enough to be fetched; few of many.
        std::vector<std::size_t> sources;
    };

    cached_blocks match_all(engine_span engines,
                            const placed_request& request) const;
    std::optional<placement_choice>
    choose_prefill(engine_span engines, const placed_request& request,
                   std::span<const std::size_t> excluded,
                   const cached_blocks& cached) const;
    /// A decode engine that reads the prompt itself.
    std::optional<placement_choice>
    choose_unsplit(engine_span engines, const placed_request& request,
                   std::span<const std::size_t> excluded,
                   const cached_blocks& cached) const;
    /// Expected reading at an engine that fetches what another keeps.
    placement_choice estimate_prefill(engine_span engines, std::size_t i,
                                      const placed_request& request,
                                      const cached_blocks& blocks,
                                      double rate) const;
    double transfer_seconds(token_count tokens, const placed_engine& from,
                            const placed_engine& to) const;
    double decode_cost_seconds(const placed_engine& e,
                               const placed_request& request) const;

    placement_settings settings_;
    prefill_rate_estimate rate_;
    engine_prefill_rate_estimate engine_rate_;
    wait_correction correction_;
};

} // namespace poplar::policy
