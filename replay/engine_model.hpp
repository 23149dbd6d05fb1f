/// A simple engine: continuous batching, chunked prompts, a prefix cache in
/// limited KV memory, priorities, role changes.
#pragma once

#include "policy/router.hpp"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <list>
#include <span>
#include <vector>

namespace poplar::replay
{

/// Constants of the engine model. The policies know only `engine_speed`.
struct engine_constants
{
    double prefill_tokens_per_second = 4000;
    double step_base_ms = 20; ///< One decoding step without streams.
    double step_per_stream_ms = 0.25;
    unsigned max_batch = 24; ///< Streams in one step; others wait.
    /// Part of the time that prompts take from active streams.
    double prefill_time_share = 0.3;
    /// Small chunks between steps compute prompts less efficiently.
    double chunk_efficiency = 0.7;
    std::int64_t kv_pieces = 1000;
    std::int64_t piece_tokens = 64;
    duration change_time{std::chrono::seconds(4)};
    /// Time that open streams get before a change hands them back.
    duration change_drain{std::chrono::seconds(3)};
};

/// What the policies assume of these engines.
policy::engine_speed nominal_speed(const engine_constants& c);

/// One request's work at an engine.
struct engine_job
{
    std::size_t attempt = 0;
    int priority = 0; ///< Lower goes first.
    std::vector<std::uint64_t> blocks;
    std::int64_t prompt = 0;    ///< Tokens to have in the KV cache.
    std::int64_t shared = 0;    ///< Of these, held once for all streams.
    std::int64_t output = 0;    ///< Of the whole answer.
    double generated = 0;       ///< Tokens of the answer so far.
    double left_to_compute = 0; ///< Prompt tokens.
    bool prefill_only = false;
};

enum class engine_signal
{
    prompt_done, ///< prefill_only: the KV cache can be exported.
    first_token,
    finished
};

struct engine_output
{
    engine_signal signal = engine_signal::first_token;
    engine_job job; ///< Complete for prompt_done; attempt only, otherwise.
};

class engine_model
{
public:
    engine_model(const engine_constants& constants, sheet::engine_role role);

    void submit_prompt(engine_job job);
    /// The KV cache is imported.
    void submit_stream(engine_job job);
    void step(mono_time now, duration dt, std::vector<engine_output>& out);

    /// Removes all open work, and the cache with `lose_cache`.
    std::vector<engine_job> take_all(bool lose_cache);

    sheet::engine_role role() const
    {
        return role_;
    }
    void set_role(sheet::engine_role role)
    {
        role_ = role;
    }
    bool idle() const
    {
        return prompts_.empty() && streams_.empty();
    }
    policy::engine_report report(mono_time now) const;
    std::int64_t cached_tokens() const;
    std::vector<policy::cache_change> take_cache_changes();

private:
    std::size_t active_streams() const;
    /// KV pieces that the stream holds alone.
    std::int64_t pieces_of(const engine_job& job) const;
    void compute_prompts(double budget, std::vector<engine_output>& out);
    void decode(std::size_t active, double tokens,
                std::vector<engine_output>& out);
    std::size_t cached_blocks(const engine_job& job);
    void store(const engine_job& job);
    void trim_cache();
    void log(bool added, std::uint64_t block);

    engine_constants constants_;
    sheet::engine_role role_;
    std::vector<engine_job> prompts_; ///< By priority.
    std::vector<engine_job> streams_; ///< By priority.
    std::list<std::uint64_t> recent_; ///< Cached blocks, newest first.
    absl::flat_hash_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        cache_;
    std::vector<policy::cache_change> changes_;
    std::uint64_t next_sequence_ = 1;
    std::int64_t stream_pieces_ = 0;
};

} // namespace poplar::replay
