/// Admission and dispatch order for one group of engines at one entry.
///
/// Counts work in tokens against what the group can do by each request's
/// target. Decides on arrival: dispatch now, queue, or refuse with the time at
/// which to retry.
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

/// What this entry may use of a group, from load reports and roles. Rates
/// cover active engines that are not changing.
struct group_load
{
    mono_time measured_at;
    double prefill_rate = 0; ///< Tokens/s of the engines with role prefill.
    double shared_prefill_rate = 0; ///< Tokens/s beside decoding.
    double decode_rate = 0;         ///< Output tokens/s of all streams.
    unsigned stream_slots = 0;
    /// Load seen by the engines at `measured_at`, all entries together.
    token_count queued_prefill_tokens; ///< At prefill engines.
    token_count queued_shared_tokens;  ///< At mixed and decode engines.
    unsigned streams = 0;
};

/// One engine's part of group_load.
struct engine_load
{
    sheet::engine_role role = sheet::engine_role::unassigned;
    bool available = true; ///< Active, ready and not changing.
    token_count queued_prompt_tokens;
    unsigned streams = 0; ///< Running and waiting.
};

/// Sums the engines of a group. `part` is this entry's part of the group: 1
/// divided by the number of entries that share it. `measured_at` is the oldest
/// measurement among the engines.
group_load sum_group_load(std::span<const engine_load> engines,
                          const engine_speed& speed, mono_time measured_at,
                          double fraction = 1);

struct admission_settings
{
    std::vector<sheet::rank> ranks;
    engine_speed speed;
    /// Prompts of at least this length have first call on prefill engines;
    /// shorter ones use them while they have time to spare. When they have
    /// none, engines that run streams compute a prompt if that meets its
    /// target.
    token_count split_threshold{2048};
    /// Prompt work kept at the engines, in seconds of their speed: enough to
    /// keep them busy between events, little enough that order is decided here.
    double prompt_window = 0.25;
    /// Seconds of its guaranteed share that an idle rank can save up.
    double share_burst = 1.0;
    /// Part of the target left for dispatch and the engine's first step.
    double target_margin = 0.25;
    duration min_retry_after{std::chrono::milliseconds(100)};
    duration max_retry_after{std::chrono::minutes(10)};
};

struct admission_request
{
    request_id id;
    tenant_id tenant;
    double tenant_weight = 1;
    rank_index rank;
    work expected;
    /// Latest time for the first token: the rank's target or the caller's
    /// deadline, whichever is earlier.
    mono_time first_token_deadline;
};

/// Latest time for the first token of an answer that is to meet its target and
/// to be whole by the caller's deadline. Answers to requests that were admitted
/// by their first token alone and ended unfinished at the deadline.
mono_time compute_first_token_deadline(mono_time arrived, mono_time target,
                                       mono_time deadline, token_count output,
                                       const engine_speed& speed);

enum class admission_verdict
{
    dispatch,
    queued,
    refused
};

enum class refusal_cause
{
    none,
    no_capacity,    ///< No engine of the group takes work.
    too_long,       ///< The prompt alone takes longer than the target.
    prompt_backlog, ///< The prompt would be computed too late.
    stream_backlog, ///< No stream slot becomes free in time.
    target_passed   ///< Queued, then overtaken by more urgent work or a loss
                    ///< of capacity.
};

struct admission_decision
{
    admission_verdict verdict = admission_verdict::refused;
    refusal_cause cause = refusal_cause::none;
    duration expected_wait{}; ///< Until dispatch.
    /// With dispatch: a prefill engine computes the prompt.
    bool split = false;
    duration retry_after{}; ///< With refusals: from now.
    /// Dispatched on the rank's guaranteed share. Pass the engine a priority
    /// above that of all requests that are not, so that it pauses streams on
    /// lent slots when all slots are taken: this returns a lent share at once.
    bool guaranteed = false;
};

/// A queued request whose turn has come, or that is refused now.
struct queue_decision
{
    admission_request request;
    admission_decision decision;
};

/// Tokens accepted and refused since the last call, per rank.
struct rank_work
{
    work accepted;
    work refused;
};

class admission
{
public:
    explicit admission(admission_settings settings);

    /// Takes a load report into account; work that this entry dispatched after
    /// `measured_at` is added to it.
    void update(const group_load& load, mono_time now);

    /// Applies new rank targets and shares of an accepted sheet. Queued
    /// requests of removed ranks move to the least urgent rank.
    void set_ranks(std::vector<sheet::rank> ranks);

    admission_decision offer(const admission_request& request, mono_time now);

    /// Next queued request to dispatch or to refuse; none when nothing can be
    /// decided now. Call until empty after every event and every 20 ms.
    std::optional<queue_decision> next(mono_time now);

    /// The prompt of a dispatched request is computed (first token seen).
    void first_token(const request_id& id, mono_time now);
    /// A dispatched request has ended, or was handed back undispatched.
    void finished(const request_id& id, mono_time now);
    /// A queued request's caller went away.
    void cancel(const request_id& id);

    std::vector<rank_work> take_demand();

    std::size_t queued() const;
    std::size_t dispatched() const
    {
        return dispatched_.size();
    }
    /// Work waiting in the queue of a rank.
    work backlog(rank_index rank) const;

private:
    /// Engines that compute a prompt.
    enum pool
    {
        prefill_pool, ///< Engines with role prefill.
        shared_pool,  ///< Engines that run streams.
        pools
    };
    enum resource
    {
        prompt, ///< Prompt tokens of both pools.
        output, ///< Output tokens, in stream slots.
        resources
    };
    using amounts = std::array<double, resources>;
    using pool_amounts = std::array<double, pools>;

    struct dispatched_request
    {
        std::size_t rank = 0;
        bool guaranteed = false;
        pool at = shared_pool;
        work expected;
        bool prefilling = true; ///< Before the first token.
    };
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
        amounts queued{};
        /// Prompt tokens at the engines, on lent and on guaranteed slots.
        std::array<pool_amounts, 2> prefill_tokens{};
        std::array<pool_amounts, 2>
            prefill_requests{};  ///< Number of these prompts.
        amounts dispatch_rate{}; ///< Tokens/s dispatched, decaying average.
        double credit = 0;       ///< Engine seconds of the guaranteed share.
        unsigned streams = 0;
        unsigned guaranteed_streams = 0;
        rank_work demand;
    };
    struct forecast
    {
        double prefill_wait = 0; ///< Seconds until the prompt is taken up.
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
    /// Of one engine, in tokens/s; 0 when the pool has no engine.
    double pool_speed(pool at) const;
    /// Seconds that the prompt takes on the fastest engines there are.
    double min_prefill_seconds(const work& w) const;
    double cost(const work& w) const;
    double capacity() const;

    /// Prompts at the engines that go before a request of this rank: the sum
    /// of `computing` or of `prompts`.
    double sum_ahead(std::array<pool_amounts, 2> rank_state::*member,
                     std::size_t rank, bool guaranteed, pool at) const;
    double prefill_tokens_ahead(std::size_t rank, bool guaranteed,
                                pool at) const;
    double streams() const;
    double free_slots() const;
    /// The next request of the rank can run on its guaranteed share.
    bool within_share(std::size_t rank) const;
    bool has_guaranteed_slot(std::size_t rank) const;
    bool pool_has_capacity(std::size_t rank, bool guaranteed, pool at) const;
    bool meets_deadline(std::size_t rank, bool guaranteed, const work& w,
                        mono_time first_token_deadline, pool at) const;
    bool has_spare_capacity(pool at) const;
    /// Pool that can take the request now.
    std::optional<pool> select_pool(std::size_t rank, const work& w,
                                    mono_time first_token_deadline) const;
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
    /// Load of other entries.
    pool_amounts peer_prefill_tokens_{};
    double peer_streams_ = 0;
    std::vector<rank_state> ranks_;
    absl::flat_hash_map<request_id, dispatched_request> dispatched_;
    std::deque<own_load> own_load_history_; ///< Own load at recent times.
    mono_time last_advance_;
    mono_time
        last_forecast_check_; ///< Last check of queued requests' forecasts.
    bool forecast_check_due_ = false;
};

} // namespace poplar::policy
