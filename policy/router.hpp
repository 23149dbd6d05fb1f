/// Choice of an engine for a request, at one entry.
#pragma once

#include "policy/prefix_index.hpp"
#include "policy/work.hpp"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace poplar::policy
{

/// Source of random bits, owned by the caller.
using random_source = std::mt19937_64;

struct router_settings
{
    engine_speed speed;
    unsigned random_candidates = 4;  ///< Engines drawn beside prefix holders.
    unsigned score_all_up_to = 24;   ///< Smaller groups are weighed whole.
    unsigned max_prefix_holders = 6; ///< Prefix holders that are weighed.
    std::size_t blocks_per_engine = 4096;
    /// Added for an engine in another failure domain than the entry.
    double other_domain_seconds = 0.002;
    /// Seconds per stream slot in use, so that streams spread out.
    double stream_utilization_seconds = 0.25;
    /// After this time without a report an engine is the last choice.
    duration report_timeout{std::chrono::seconds(6)};
};

struct engine_info
{
    instance_id instance;
    group_id group;
    failure_domain_id failure_domain;
    sheet::engine_role role = sheet::engine_role::mixed;
    bool available = true; ///< Active, ready and not changing.
};

/// Load of an engine as it reported it.
struct engine_report
{
    mono_time measured_at;
    token_count queued_prompt_tokens;
    unsigned streams = 0; ///< Running and waiting.
    std::int64_t kv_pieces_free = 1;
};

struct cache_change
{
    std::uint64_t sequence = 0;
    bool added = true;
    std::uint64_t block = 0;
};

enum class route_kind
{
    unsplit, ///< Prompt and stream on one mixed or decode engine.
    prefill, ///< Prompt only, on a prefill engine.
    decode   ///< Stream on a mixed or decode engine that imports the KV cache.
};

struct route_request
{
    group_id group;
    route_kind kind = route_kind::unsplit;
    token_count prompt;
    token_count expected_output;
    std::span<const std::uint64_t> blocks; ///< prompt_blocks of the prompt.
    failure_domain_id preferred_domain;    ///< Empty: no preference.
    /// Engines not to choose: those that failed this request.
    std::vector<engine_index> excluded;
};

struct route
{
    engine_index engine = 0;
    token_count cached; ///< Prompt tokens expected in the engine's cache.
    duration expected_start{};
};

class router
{
public:
    explicit router(const router_settings& settings = {});

    /// Adds an engine or changes its role, domain or availability. A change
    /// of role forgets its cached blocks.
    engine_index set_engine(const engine_info& info);
    void remove_engine(const instance_id& instance);
    std::optional<engine_index> find(const instance_id& instance) const;
    const engine_info& info(engine_index engine) const;

    /// What the report shows beyond this entry's own work at `measured_at` is
    /// the work of others; own work is counted as it is now.
    void report(engine_index engine, const engine_report& r, mono_time now);
    /// Applies events in order of sequence; a gap, or `lost`, clears what is
    /// known of the engine's cache first.
    void cache_events(engine_index engine, std::span<const cache_change> events,
                      bool lost);

    std::optional<route> choose(const route_request& request, mono_time now,
                                random_source& random) const;

    /// Records a dispatch: own load, and cached blocks.
    void dispatched(engine_index engine, const route_request& request,
                    token_count uncached, mono_time now);
    /// A dispatched prompt is computed (or will not be): `uncached` as given
    /// to dispatched.
    void prompt_computed(engine_index engine, token_count uncached,
                         mono_time now);
    /// A dispatched stream ended; not for route_kind::prefill.
    void finished(engine_index engine, mono_time now);

    std::size_t engines() const
    {
        return by_instance_.size();
    }
    std::size_t memory_bytes() const;

private:
    /// Change of this entry's own work at an engine.
    struct load_change
    {
        mono_time at;
        std::int64_t prompt = 0;
        int streams = 0;
    };
    struct engine_state
    {
        engine_info info;
        bool present = false;
        engine_report reported;
        mono_time report_received_at;
        std::deque<load_change>
            changes_since_report; ///< Since the last report's measurement.
        std::int64_t own_prompt = 0;
        int own_streams = 0;
        std::int64_t foreign_prompt = 0;
        int foreign_streams = 0;
        std::uint64_t next_sequence = 0;
        std::uint32_t list_position = 0; ///< In the list of its group and role.
    };
    struct role_lists
    {
        std::vector<engine_index> prefill_engines; ///< Role prefill.
        std::vector<engine_index> stream_engines;  ///< Roles decode and mixed.
    };

    std::vector<engine_index>* role_list(const engine_info& info);
    void add_to_list(engine_index engine);
    void remove_from_list(engine_index engine);
    void record_load_change(engine_index engine, const load_change& change);
    std::vector<engine_index> candidates(
        const route_request& request, const std::vector<engine_index>& list,
        const std::vector<engine_index>& holders, random_source& random) const;
    /// Leading blocks of the request that the engine is known to hold.
    std::size_t cached_blocks(engine_index engine, const route_request& request,
                              std::size_t longest_prefix,
                              const std::vector<engine_index>& holders) const;
    double estimate_start_seconds(const engine_state& e, const route_request& r,
                                  token_count cached, mono_time now) const;
    /// Start time and the costs that decide between engines, in seconds.
    double score(const engine_state& e, const route_request& r,
                 double start) const;

    router_settings settings_;
    std::vector<engine_state> engines_;
    std::vector<engine_index> free_indexes_;
    absl::flat_hash_map<instance_id, engine_index> by_instance_;
    absl::flat_hash_map<group_id, role_lists> groups_;
    prefix_index index_;
};

} // namespace poplar::policy
