/// Settings of the stand-in engine.
#pragma once

#include "base/address.hpp"
#include "base/time.hpp"
#include "settings/reader.hpp"

#include <string>
#include <vector>

namespace poplar::standin
{

/// What an engine runs, as orders change it.
struct engine_setup
{
    std::string role = "mixed"; ///< prefill, decode or mixed.
    std::string model;
    std::string version;
    std::vector<std::string> adapters;

    bool operator==(const engine_setup&) const = default;
};

struct engine_settings
{
    ip_address listen;
    engine_setup setup;
    double prefill_tokens_per_s = 0;
    std::int64_t prefill_chunk = 0; ///< Prompt tokens per step at most.
    /// The same for a step that also decodes; keeps token intervals short.
    std::int64_t shared_prefill_chunk = 0;
    duration decode_step{}; ///< Time of a step with decode streams.
    duration decode_step_per_stream{};
    std::size_t max_batch = 0;
    std::int64_t kv_pieces = 0;
    std::int64_t piece_tokens = 0;
    std::size_t cache_blocks = 0;  ///< Blocks of 16 tokens kept for prefixes.
    std::int64_t short_prompt = 0; ///< Decode engines prefill up to this.
    std::int64_t kv_bytes_per_token = 0; ///< Size of an exported KV cache.
    duration kv_hold{};                  ///< An exported cache is kept so long.
    duration role_change_time{};
    duration model_load_time{};
    ip_address weights; ///< Weight store; empty: models load without it.
    duration load_report_lag{};
    duration cache_event_delay{};
    double cache_event_gap_rate = 0; ///< Share of events never published.
    bool checks_fencing = true;
    std::uint64_t seed = 0;
};

/// Throws settings_error.
engine_settings parse_engine_settings(settings::reader& all);

bool is_engine_role(const std::string& role);

} // namespace poplar::standin
