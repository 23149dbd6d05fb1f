/// Admission control and dispatch order for one group of engines at one entry.
/// Used by entries of groups whose engines have roles.
///
/// Compares the expected work in tokens with what the group can serve by each
/// request's target. Each request is dispatched, queued, or refused with a
/// retry time on arrival.
///
/// Terms:
/// - Guaranteed share of a rank: fraction of the group's engine time and stream
///   slots that the rank can claim at any time, whatever the other ranks have
///   queued. Requests on it are dispatched before all others.
/// - Lent slot: stream slot of a request that was dispatched while slots were
///   free, but not on the guaranteed share of its rank.
/// - Credit of a rank: engine seconds that its guaranteed share has earned over
///   time minus the cost of its dispatched requests, limited to share_burst. A
///   request is dispatched on the share while the credit is positive and a
///   guaranteed slot is free.
/// - Margin: fraction of the time to the first-token deadline that forecasts
///   leave unused (admission_settings::target_margin).
/// - Split request: prefilled by a prefill engine and decoded by another
///   engine. An unsplit request does both on one mixed or decode engine.
///
/// The wait of a request is forecast once on the rank's guaranteed share and
/// once on the capacity that other ranks leave; the shorter one counts.
#pragma once

#include "policy/fair_queue.hpp"
#include "policy/retry_reservations.hpp"
#include "policy/work.hpp"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace poplar::policy
{

/// This entry's fraction of a group's capacity, and the load of the whole group
/// from all entries. Rates cover active engines that are not changing role,
/// model or stage.
struct group_load
{
    mono_time measured_at;
    double prefill_rate = 0; ///< Prompt tokens/s of prefill engines.
    /// Prompt tokens/s of mixed and decode engines while they decode.
    double shared_prefill_rate = 0;
    double decode_rate = 0; ///< Output tokens/s of all streams together.
    unsigned stream_slots = 0;
    // Load of the engines at `measured_at`, from all entries.
    /// Prompt tokens queued at prefill engines.
    token_count queued_prefill_tokens;
    /// Prompt tokens queued at mixed and decode engines.
    token_count queued_shared_tokens;
    unsigned streams = 0;
};

/// Load of one engine, an input of sum_group_load.
struct engine_load
{
    sheet::engine_role role = sheet::engine_role::unassigned;
    bool available = true; ///< Active, ready and not changing.
    token_count queued_prompt_tokens;
    unsigned streams = 0; ///< Running and waiting.
};

/// Sums the capacity and load of a group's engines. `fraction` is this entry's
/// share of the capacity: 1 divided by the number of entries that share the
/// group. `measured_at` is the time of the oldest load measurement.
group_load sum_group_load(std::span<const engine_load> engines,
                          const engine_speed& speed, mono_time measured_at,
                          double fraction = 1);

struct admission_settings
{
    std::vector<sheet::rank> ranks;
    engine_speed speed;
    /// Prompts of at least this length go to prefill engines that have
    /// capacity; shorter ones only while much of it is unused. Other prompts go
    /// to an engine that runs streams if that meets the target, and to a
    /// prefill engine with capacity if it doesn't.
    token_count split_threshold{2048};
    /// Limit of the prompt work that waits at the engines, in seconds at their
    /// prefill rate. Long prompts may exceed it, up to one prompt per engine.
    /// It is large enough to keep engines busy between two calls of next, and
    /// small enough that this class, not the engine, determines the order.
    double prompt_window = 0.25;
    /// Limit of a rank's credit and of its debt (negative credit), in seconds
    /// of its guaranteed share.
    double share_burst = 1.0;
    /// Fraction of the time to the first-token deadline that is reserved for
    /// dispatch and the engine's first step.
    double target_margin = 0.25;
    duration min_retry_after{std::chrono::milliseconds(100)};
    duration max_retry_after{std::chrono::minutes(10)};
};

/// A request offered to admission.
struct admission_request
{
    request_id id;
    tenant_id tenant;
    double tenant_weight = 1;
    rank_index rank;
    work expected;
    /// Result of compute_first_token_deadline.
    mono_time first_token_deadline;
};

/// Returns the latest time for the first token of an answer that meets its
/// target and is complete by the caller's deadline. A check of the target alone
/// would admit answers that are cut off at the deadline. At most half of the
/// caller's time is reserved for the output.
mono_time compute_first_token_deadline(mono_time arrived, mono_time target,
                                       mono_time deadline, token_count output,
                                       const engine_speed& speed);

/// Outcome of an admission decision.
enum class admission_verdict
{
    dispatch,
    queued,
    refused
};

enum class refusal_cause
{
    none,
    no_capacity,    ///< No engine of the group accepts work.
    too_long,       ///< Prefill alone takes longer than the target.
    prompt_backlog, ///< Prefill would end too late.
    stream_backlog, ///< No stream slot becomes free in time.
    /// The request was queued but can no longer meet its target, because of
    /// more urgent work or a loss of capacity.
    target_passed
};

struct admission_decision
{
    admission_verdict verdict = admission_verdict::refused;
    refusal_cause cause = refusal_cause::none;
    /// Expected time until prefill can start and a stream slot is free.
    duration expected_wait{};
    /// For dispatches: a prefill engine prefills the prompt.
    bool split = false;
    duration retry_after{}; ///< For refusals: time from now to the retry.
    /// The request is dispatched on the rank's guaranteed share. The caller
    /// must give it a higher priority at the engine than all requests that are
    /// not guaranteed. When all slots are taken, the engine then pauses streams
    /// on lent slots, so that the rank gets its share at once.
    bool guaranteed = false;
};

/// A request that left the queue, either for dispatch or with a refusal.
struct queue_decision
{
    admission_request request;
    admission_decision decision;
};

/// Tokens accepted and refused in one rank since the last call of take_demand.
struct rank_work
{
    work accepted;
    work refused;
};

/// Decides which requests are admitted to a group, and dispatches queued
/// requests in the order of guaranteed shares, ranks and tenant weights.
///
/// Order of calls for a request: offer; if it is queued, next returns it later
/// with a dispatch or a refusal, unless cancel removes it first. After a
/// dispatch, first_token and then finished, or finished alone. The functions
/// take no lock, so calls must not overlap.
class admission
{
public:
    explicit admission(admission_settings settings);

    /// Applies a load report. The part that exceeds this entry's own load at
    /// `measured_at` is attributed to other entries; this entry's present load
    /// is added to that part.
    void update(const group_load& load, mono_time now);

    /// Applies new rank targets and shares of an accepted sheet. Queued and
    /// dispatched requests of removed ranks move to the least urgent rank. An
    /// empty list changes nothing.
    void set_ranks(std::vector<sheet::rank> ranks);

    /// Decides on a new request, and queues it if the verdict is queued.
    admission_decision offer(const admission_request& request, mono_time now);

    /// Returns the next queued request to dispatch or refuse, or none if there
    /// is nothing to decide now. Call it after every event and every 20 ms,
    /// until it returns none. It checks the forecasts of queued requests after
    /// a load report, and otherwise at most every 50 ms.
    std::optional<queue_decision> next(mono_time now);

    /// Reports that a dispatched request has sent its first token, so its
    /// prefill is complete.
    void first_token(const request_id& id, mono_time now);
    /// Reports that a dispatched request has ended, or that the caller of this
    /// class didn't dispatch it after all.
    void finished(const request_id& id, mono_time now);
    /// Removes a queued request whose caller has disconnected.
    void cancel(const request_id& id);

    /// Returns and resets the work accepted and refused, by rank.
    std::vector<rank_work> take_demand();

    /// Returns the number of queued requests.
    std::size_t queued() const;
    /// Returns the number of dispatched requests that have not ended.
    std::size_t dispatched() const
    {
        return dispatched_.size();
    }
    /// Returns the expected work queued in a rank.
    work backlog(rank_index rank) const;

private:
    /// Two sets of engines that prefill: without and with streams.
    enum pool
    {
        prefill_pool, ///< Engines with role prefill.
        shared_pool,  ///< Engines that run streams.
        pools
    };
    enum resource
    {
        prompt, ///< Prompt tokens of both pools.
        output, ///< Output tokens of all streams.
        resources
    };
    using amounts = std::array<double, resources>;
    using pool_amounts = std::array<double, pools>;

    struct dispatched_request
    {
        std::size_t rank = 0;
        bool guaranteed = false; ///< Dispatched on the guaranteed share.
        pool at = shared_pool;
        work expected;
        bool prefilling = true; ///< True until the first token.
    };
    /// Sample of the load that this entry dispatched.
    struct own_load
    {
        mono_time time;
        pool_amounts prefill_tokens{};
        double streams = 0;
    };
    struct rank_state
    {
        explicit rank_state(double quantum) : queue(quantum) {}

        fair_queue queue;
        retry_reservations reservations;
        amounts queued{}; ///< Tokens in the queue.
        /// Prompt tokens in prefill: index 0 on lent slots, 1 on guaranteed
        /// slots.
        std::array<pool_amounts, 2> prefill_tokens{};
        /// Number of prompts in prefill, with the same indices.
        std::array<pool_amounts, 2> prefill_requests{};
        amounts dispatch_rate{}; ///< Dispatched tokens/s, moving average.
        double credit = 0;       ///< Balance of the share, engine seconds.
        unsigned streams = 0;
        unsigned guaranteed_streams = 0;
        rank_work demand;
    };
    struct forecast
    {
        double prefill_wait = 0; ///< Seconds until prefill starts.
        double stream_wait = 0;  ///< Seconds until a stream slot is free.

        double wait() const
        {
            return std::max(prefill_wait, stream_wait);
        }
    };

    std::size_t rank_of(rank_index rank) const;
    double share(std::size_t rank) const;
    static amounts to_amounts(const work& w);
    double rate(resource kind) const;
    double pool_rate(pool at) const;
    /// Prefill rate of one engine in tokens/s; 0 if the pool has no engine.
    double pool_speed(pool at) const;
    /// Prefill time on the fastest available engine, in seconds.
    double min_prefill_seconds(const work& w) const;
    double cost(const work& w) const; ///< In engine seconds.
    double capacity() const;          ///< In engine seconds per second.

    /// Sums `prefill_tokens` or `prefill_requests` over the prompts at the
    /// engines that have priority over a request of this rank.
    double sum_ahead(std::array<pool_amounts, 2> rank_state::*member,
                     std::size_t rank, bool guaranteed, pool at) const;
    double prefill_tokens_ahead(std::size_t rank, bool guaranteed,
                                pool at) const;
    double streams() const;
    double free_slots() const;
    /// Tells whether the next request of the rank can be dispatched on its
    /// guaranteed share.
    bool within_share(std::size_t rank) const;
    bool has_guaranteed_slot(std::size_t rank) const;
    bool pool_has_capacity(std::size_t rank, bool guaranteed, pool at) const;
    bool meets_deadline(std::size_t rank, bool guaranteed, const work& w,
                        mono_time first_token_deadline, pool at) const;
    bool has_spare_capacity(pool at) const;
    /// Returns a pool that can take the request now, if any.
    std::optional<pool> select_pool(std::size_t rank, const work& w,
                                    mono_time first_token_deadline) const;
    /// Updates credits, moving averages and own load samples to `now`.
    void advance(mono_time now);
    void sample_own_load(mono_time now);

    double available_rate(std::size_t rank, resource kind) const;
    double drain_rate(std::size_t rank) const;
    double forecast_prefill_wait(std::size_t rank, double fraction_ahead) const;
    double forecast_stream_wait(std::size_t rank, double fraction_ahead,
                                double own) const;
    forecast make_forecast(std::size_t rank, const work& w,
                           double fraction_ahead) const;
    admission_decision decide(const admission_request& r, bool has_reservation,
                              mono_time now) const;
    admission_decision refuse(const admission_request& r, refusal_cause cause,
                              double seconds_late, mono_time now);
    admission_decision dispatch_now(const admission_request& r, pool at);
    void enqueue(const admission_request& r, mono_time now);
    admission_request dequeue(std::size_t rank, queued_request q);
    std::optional<request_id> find_late_request(std::size_t rank,
                                                mono_time now);
    std::optional<queue_decision> refuse_next_late(std::size_t rank,
                                                   mono_time now);
    struct dispatch_choice
    {
        std::size_t rank = 0;
        pool at = shared_pool;
    };
    std::optional<dispatch_choice> choose_next_dispatch();

    admission_settings settings_;
    group_load load_;
    /// Load from other entries, as of the last load report.
    pool_amounts peer_prefill_tokens_{};
    double peer_streams_ = 0;
    std::vector<rank_state> ranks_;
    absl::flat_hash_map<request_id, dispatched_request> dispatched_;
    std::deque<own_load> own_load_history_; ///< Oldest first.
    mono_time last_advance_;
    /// Time of the last periodic forecast check of queued requests.
    mono_time last_forecast_check_;
    bool forecast_check_due_ = false;
};

} // namespace poplar::policy
