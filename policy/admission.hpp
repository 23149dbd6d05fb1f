/// Admission and dispatch order for one group of engines at one entry.
///
/// Counts work in tokens against what the group can do by each request's
/// target. Decides on arrival: dispatch now, queue, or refuse with the time at
/// which to retry.
#pragma once

#include "policy/fair_queue.hpp"
#include "policy/work.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <array>
#include <deque>
#include <optional>
#include <vector>

namespace poplar::policy
{

/// What this entry may use of a group, from load reports and roles. Rates
/// cover active engines that are not changing.
struct group_load
{
    mono_time measured_at{};
    double prefill_rate = 0; ///< Tokens/s of the engines with role prefill.
    double shared_prefill_rate = 0; ///< Tokens/s beside decoding.
    double decode_rate = 0;         ///< Output tokens/s of all streams.
    unsigned stream_slots = 0;
    /// Load seen by the engines at `measured_at`, all entries together.
    token_count queued_prefill_tokens; ///< At prefill engines.
    token_count queued_shared_tokens;  ///< At mixed and decode engines.
    unsigned streams = 0;
};

struct admission_settings
{
    std::vector<sheet::rank> ranks;
    engine_speed speed;
    token_count split_threshold{2048};
    /// Prompt work kept at the engines, in seconds of their speed: enough to
    /// keep them busy between events, little enough that order is decided here.
    double prompt_window = 0.15;
    /// Part of each unused guaranteed share of stream slots that stays free,
    /// so that a rank's first requests after a pause start at once.
    double unlent = 0.1;
    /// Seconds of its guaranteed share that an idle rank can save up.
    double share_burst = 1.0;
    /// Part of the target left for dispatch and the engine's first step.
    double target_margin = 0.15;
    duration shortest_retry{std::chrono::milliseconds(100)};
    duration longest_retry{std::chrono::minutes(10)};
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
    mono_time first_token_by{};
};

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
    prompt_backlog, ///< The prompt would be computed too late.
    stream_backlog, ///< No stream slot becomes free in time.
    target_passed   ///< Queued, then overtaken by a loss of capacity.
};

struct admission_decision
{
    admission_verdict verdict = admission_verdict::refused;
    refusal_cause cause = refusal_cause::none;
    duration expected_wait{}; ///< Until dispatch.
    duration retry_after{};   ///< With refusals: from now.
};

/// A queued request whose turn has come, or that is refused now.
struct admission_turn
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

    /// Applies new rank targets and shares of an accepted sheet.
    void set_ranks(std::vector<sheet::rank> ranks);

    admission_decision offer(const admission_request& request, mono_time now);

    /// Next queued request to dispatch or to refuse; none when nothing can be
    /// decided now. Call until empty after every event and every 20 ms.
    std::optional<admission_turn> next(mono_time now);

    /// The prompt of a dispatched request is computed (first token seen).
    void first_token(const request_id& id, mono_time now);
    /// A dispatched request has ended, or was handed back undispatched.
    void finished(const request_id& id, mono_time now);
    /// A queued request's caller went away.
    void cancel(const request_id& id);

    std::vector<rank_work> take_demand();

    std::size_t queued() const;
    std::size_t running() const
    {
        return running_.size();
    }
    /// Work waiting in the queue of a rank.
    work backlog(rank_index rank) const;
    /// Expected time until dispatch of such a request if it were queued now.
    duration expected_wait(const admission_request& request,
                           mono_time now) const;

private:
    enum pool
    {
        prefill_pool,
        shared_pool,
        pools
    };
    struct running_request
    {
        rank_index rank;
        pool at = shared_pool;
        work expected;
        bool computing = true; ///< Before the first token.
        mono_time dispatched{};
    };
    struct own_load
    {
        mono_time at{};
        std::array<std::int64_t, pools> prompt{};
        unsigned streams = 0;
    };
    struct rank_state
    {
        fair_queue queue;
        std::array<double, pools> queued_prompt{};
        double queued_output = 0;
        double credit = 0; ///< Engine seconds of its guaranteed share.
        unsigned streams = 0;
        double recent_use = 0; ///< Part of the group, decaying average.
        rank_work demand;
    };

    pool pool_of(const work& w) const;
    double pool_rate(pool at) const;
    double capacity_rate() const;
    double cost(const work& w) const;
    double prompt_outstanding(pool at) const;
    double streams_outstanding() const;
    unsigned slots_for(std::size_t rank) const;
    bool has_room(std::size_t rank, const work& w) const;
    void advance(mono_time now);
    void note_own_load(mono_time now);
    double share_for(std::size_t rank) const;
    double prompt_wait(std::size_t rank, const work& w) const;
    double stream_wait(std::size_t rank, const work& w) const;
    admission_decision judge(const admission_request& r, mono_time now) const;
    admission_decision refusal(refusal_cause cause, double wait,
                               double slack) const;
    void start(const admission_request& r, mono_time now);
    void leave_queue(const admission_request& r);
    std::optional<admission_turn> next_late(mono_time now);
    std::optional<admission_turn> next_of(std::size_t rank, mono_time now);

    admission_settings settings_;
    group_load load_;
    std::array<double, pools> foreign_prompt_{};
    double foreign_streams_ = 0;
    std::vector<rank_state> ranks_;
    absl::flat_hash_map<request_id, running_request> running_;
    own_load own_;
    std::deque<own_load> history_; ///< Own load at recent times.
    mono_time advanced_{};
};

} // namespace poplar::policy
