/// Selects an engine for each request at one entry. Gateways use
/// engine_placement.hpp instead.
///
/// The router estimates the load of each engine from the engine's reports and
/// from the work that this entry has dispatched since. It scores a bounded
/// number of candidates, including engines that cache a prefix of the prompt,
/// and chooses the one with the lowest score, in seconds.
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

/// Parameters of candidate selection and scoring.
struct router_settings
{
    engine_speed speed;
    /// Randomly chosen candidates, in addition to the prefix holders.
    unsigned random_candidates = 4;
    /// Up to this many engines of a role, every engine is scored.
    unsigned score_all_up_to = 24;
    /// Largest number of prefix holders that become candidates.
    unsigned max_prefix_holders = 6;
    /// Largest number of prefix blocks recorded for one engine.
    std::size_t blocks_per_engine = 4096;
    /// Score added for an engine in another failure domain than the preferred
    /// one, in seconds.
    double other_domain_seconds = 0.002;
    /// Score added for the stream slots in use, in seconds at full use and
    /// proportional to the used fraction, so that streams spread out.
    double stream_utilization_seconds = 0.25;
    /// When the last report of an engine is older than this, the engine gets a
    /// score penalty that makes it the last choice. An engine that has never
    /// reported gets none.
    duration report_timeout{std::chrono::seconds(6)};
};

/// Identity, location and role of an engine.
struct engine_info
{
    instance_id instance;
    group_id group;
    failure_domain_id failure_domain;
    sheet::engine_role role = sheet::engine_role::mixed;
    bool available = true; ///< Active, ready and not changing its role.
};

/// Load that an engine reported.
struct engine_report
{
    mono_time measured_at; ///< When the engine measured its load.
    token_count queued_prompt_tokens;
    unsigned streams = 0; ///< Running and waiting streams.
    std::int64_t kv_pieces_free = 1;
};

/// Addition or removal of one prefix block in an engine's KV cache.
struct cache_change
{
    std::uint64_t sequence = 0;
    bool added = true;       ///< False: the engine evicted the block.
    std::uint64_t block = 0; ///< Digest, see prompt_blocks.
};

/// Part of a request that an engine is selected for.
enum class route_kind
{
    unsplit, ///< Prefill and decode on one mixed or decode engine.
    prefill, ///< Prefill of a split request, on a prefill engine.
    /// Decode of a split request, on a mixed or decode engine that imports the
    /// KV cache.
    decode
};

/// Request for which an engine is selected.
struct route_request
{
    group_id group;
    route_kind kind = route_kind::unsplit;
    token_count prompt;
    token_count expected_output;
    std::span<const std::uint64_t> blocks; ///< prompt_blocks of the prompt.
    failure_domain_id preferred_domain;    ///< Empty: no preference.
    /// Engines that are not chosen, because they failed this request.
    std::vector<engine_index> excluded;
};

/// Selected engine, with the estimates behind the selection.
struct route
{
    engine_index engine = 0;
    token_count cached; ///< Prompt tokens expected in the engine's cache.
    /// Estimated time until prefill of the queued prompts and of this one ends,
    /// with the penalty for overdue reports.
    duration expected_start{};
};

/// Table of the engines known to an entry, with their load and cached
/// prefixes. After `choose`, call `dispatched` with the selected engine, then
/// `prompt_computed` if the engine had prompt tokens to compute, and `finished`
/// unless the kind is route_kind::prefill. Not thread-safe.
class router
{
public:
    explicit router(const router_settings& settings = {});

    /// Adds an engine or changes its role, domain or availability. A change
    /// of role removes the engine's blocks from the prefix index.
    engine_index set_engine(const engine_info& info);
    void remove_engine(const instance_id& instance);
    std::optional<engine_index> find(const instance_id& instance) const;
    const engine_info& info(engine_index engine) const;

    /// Records a load report. The reported load minus the work that this
    /// entry had at the engine at `measured_at` is attributed to other entries;
    /// this entry's own work is counted at its current value. Reports older
    /// than the last one are ignored.
    void report(engine_index engine, const engine_report& r, mono_time now);
    /// Applies cache events in order of sequence; events already applied are
    /// skipped. After a gap in the sequence, or if `lost` is set, the recorded
    /// blocks of the engine are cleared first.
    void cache_events(engine_index engine, std::span<const cache_change> events,
                      bool lost);

    /// Selects the candidate with the lowest score; nullopt if the group has
    /// no available engine for this kind of request that isn't excluded.
    std::optional<route> choose(const route_request& request, mono_time now,
                                random_source& random) const;

    /// Records that a request was dispatched to an engine: adds it to this
    /// entry's own load and its blocks to the prefix index. `uncached` is the
    /// number of prompt tokens that the engine has to compute.
    void dispatched(engine_index engine, const route_request& request,
                    token_count uncached, mono_time now);
    /// Records that a dispatched prompt has been computed or won't be.
    /// `uncached` is the value that was passed to dispatched.
    void prompt_computed(engine_index engine, token_count uncached,
                         mono_time now);
    /// Records that a dispatched stream ended; not called for
    /// route_kind::prefill.
    void finished(engine_index engine, mono_time now);

    std::size_t engines() const
    {
        return by_instance_.size();
    }
    std::size_t memory_bytes() const;

private:
    /// Change of this entry's own load at an engine.
    struct load_change
    {
        mono_time at;
        std::int64_t prompt = 0; ///< Tokens.
        int streams = 0;
    };
    struct engine_state
    {
        engine_info info;
        bool present = false;
        engine_report reported;
        mono_time report_received_at;
        /// Changes of own load after the measurement of the last report.
        std::deque<load_change> changes_since_report;
        /// Load from this entry: prompt tokens not yet computed, open streams.
        std::int64_t own_prompt = 0;
        int own_streams = 0;
        /// Load from other entries, as of the last report.
        std::int64_t foreign_prompt = 0;
        int foreign_streams = 0;
        std::uint64_t next_sequence = 0; ///< Of cache events; 0: none applied.
        /// Position in the list of the engine's group and role.
        std::uint32_t list_position = 0;
    };
    /// Available engines of a group, by role.
    struct role_lists
    {
        std::vector<engine_index> prefill_engines; ///< With role prefill.
        std::vector<engine_index>
            stream_engines; ///< With role decode or mixed.
    };

    /// List that an engine belongs to; null if it can't be chosen.
    std::vector<engine_index>* role_list(const engine_info& info);
    void add_to_list(engine_index engine);
    void remove_from_list(engine_index engine);
    void record_load_change(engine_index engine, const load_change& change);
    /// Engines to score: all of a short list, otherwise a random sample and
    /// some of the prefix holders. Excluded engines are left out.
    std::vector<engine_index> candidates(
        const route_request& request, const std::vector<engine_index>& list,
        const std::vector<engine_index>& holders, random_source& random) const;
    /// Number of leading blocks of the request that the engine is known to
    /// have cached. `holders` are the engines that hold `longest_prefix`
    /// blocks.
    std::size_t cached_blocks(engine_index engine, const route_request& request,
                              std::size_t longest_prefix,
                              const std::vector<engine_index>& holders) const;
    /// Time to compute the engine's queued prompts and the uncached tokens of
    /// this one, with a penalty if the engine's reports are overdue.
    double estimate_start_seconds(const engine_state& e, const route_request& r,
                                  token_count cached, mono_time now) const;
    /// `start` (the result of estimate_start_seconds) plus the penalties for
    /// stream load and for another failure domain, in seconds; the lowest score
    /// wins.
    double score(const engine_state& e, const route_request& r,
                 double start) const;

    router_settings settings_;
    std::vector<engine_state> engines_;
    std::vector<engine_index> free_indexes_; ///< Of removed engines, reused.
    absl::flat_hash_map<instance_id, engine_index> by_instance_;
    absl::flat_hash_map<group_id, role_lists> groups_;
    prefix_index index_;
};

} // namespace poplar::policy
