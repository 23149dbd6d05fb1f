/// Handles one request of a caller, from its routing to its final answer:
/// chooses upstreams, retries failed attempts and forwards the answer.
#pragma once

#include "gateway/answer_writer.hpp"
#include "gateway/event_stream.hpp"
#include "gateway/load_guard.hpp"
#include "gateway/retry_rules.hpp"
#include "gateway/state.hpp"
#include "policy/engine_admission.hpp"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace poplar::gateway
{

/// A request as received from a caller.
struct caller_request
{
    request_head head;
    std::shared_ptr<const std::string> body;
    mono_time received; ///< Time of the first byte.
};

/// Serves one request. Requests to engines are streams: an engine runs the
/// prefill and the same or another engine decodes. All others are calls to one
/// upstream.
class exchange
{
public:
    exchange(gateway_state& state, caller_request request, answer_writer& out);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /// Sends exactly one final answer, unless the caller disconnects.
    asio::awaitable<void> run();

    /// Cancels the work at upstreams, since the caller closed its connection.
    void on_caller_disconnected();

    /// Sends the final answer as soon as possible, since the process is about
    /// to end; an answer that has begun goes on.
    void end_for_shutdown();

private:
    /// What `serve_stream` does next.
    enum class stream_step
    {
        proceed,
        replan,       ///< Place again, unless the caller disconnected.
        retry_decode, ///< Decode elsewhere, using the same prefill.
        finished      ///< The final answer has been sent.
    };
    /// Engines of one attempt to serve a stream.
    struct stream_placement
    {
        policy::placement_plan plan;
        upstream_ptr prefill_engine; ///< Null if unsplit.
        upstream_ptr decode_engine;
        kv_handle kv;
        bool is_moved = false; ///< Another decode engine rejected the call.
    };
    /// Largest answer that is buffered before it is forwarded.
    static constexpr std::size_t max_buffered_answer = 4 << 20; // bytes
    /// Largest event of a stream; events are buffered until they are complete.
    static constexpr std::size_t max_event_size = 1 << 20; // bytes
    /// An answer that is read in full before it is forwarded.
    struct buffered_answer
    {
        call_status status = call_status::ok;
        answer_head head;
        answer_info info;
        std::string body;
        std::string failure; ///< Error message, unless the status is ok.
    };
    /// Attempt to decode a stream whose engine has fallen silent. Its call
    /// stays open until another engine has sent an event.
    struct suspended_attempt
    {
        upstream_ptr engine;
        std::unique_ptr<upstream_call> call;
        event_stream events;
        std::string received;     ///< Events that were not forwarded yet.
        bool is_speaking = false; ///< The engine goes on.
    };
    struct fatal_reason
    {
        std::string name; ///< As in the log.
        duration hold{};
    };
    /// Result of an attempt to decode a stream.
    struct stream_outcome
    {
        attempt_result result = attempt_result::lost;
        bool is_complete = false;
        bool keeps_connection = false; ///< The engine's process goes on.
        /// Set if the upstream did not answer with a stream.
        buffered_answer answer;
    };

    bool find_route();
    /// False if the request needs a key and carries none that is known.
    bool find_account();
    asio::awaitable<void> refuse_unknown_key();
    /// For the queues of engines: of the account, then of the route.
    unsigned priority() const;
    /// The same for placement, which distinguishes fewer.
    std::size_t rank() const;
    /// Counts the request, which began to run at `began`, for its account;
    /// further calls have no effect.
    void count_usage(mono_time began);
    /// Counts a call if an upstream ran it or may have run it.
    void count_call(attempt_result result, mono_time sent);
    std::uint64_t make_fingerprint() const;
    /// A request under which upstreams crashed is not tried again at once.
    void limit_attempts_of_suspect();
    crash_suspects suspects() const;
    /// Why and for how long the request is not to be sent, since it would crash
    /// its upstream; empty if it may be sent.
    std::optional<fatal_reason> fatal_hold() const;
    /// True if the request was refused for that reason.
    asio::awaitable<bool> refuse_if_fatal();
    /// Has the upstream checked if the attempt may have broken off because its
    /// process crashed.
    void note_broken_off(const upstream_ptr& u, attempt_result result,
                         bool keeps_connection);
    void note_completed();
    /// Finds the software version that began the stream which the caller takes
    /// up again, if it does; false if the request has been answered.
    asio::awaitable<bool> find_stream_version();
    void note_stream_begun(const upstream& u);
    bool may_serve_stream(const upstream& u) const;
    std::string reason_without_engine() const;
    asio::awaitable<void> serve_call();
    asio::awaitable<void> serve_stream();
    asio::awaitable<stream_step> place_and_prefill(stream_placement& placement);
    asio::awaitable<stream_step> prefill_split(stream_placement& placement);
    asio::awaitable<stream_step> serve_placed(stream_placement& placement);
    asio::awaitable<stream_step> attempt_decode(stream_placement& placement);
    /// Goes on with the suspended attempt, since no other engine has taken over
    /// the stream.
    asio::awaitable<stream_step> continue_suspended();
    /// Chooses another decode engine if the KV cache was not fetched; returns
    /// false if there is none.
    bool move_decode(stream_placement& placement, attempt_result result) const;
    asio::awaitable<void> finish_stream(stream_outcome end, next_step step);

    asio::awaitable<buffered_answer> attempt_buffered(upstream_ptr u,
                                                      send_options options);
    asio::awaitable<stream_outcome> attempt_stream(upstream_ptr u,
                                                   send_options options,
                                                   load_guard& prefill_guard);
    /// Calls `on_event` after each event.
    asio::awaitable<call_status>
    forward_events(const upstream& u, upstream_call& call,
                   const std::function<void()>& on_event);
    duration silence_limit() const;
    /// Interrupts the call if its engine is silent and another attempt may
    /// follow; returns the time until the next check.
    duration check_silence(const upstream& u, upstream_call& call);
    asio::awaitable<void> forward_piece(const upstream& u, std::string events);
    void suspend(const upstream_ptr& u, std::unique_ptr<upstream_call> call);
    void await_suspended();
    void on_suspended_readable();
    void drop_suspended();
    bool is_suspended_speaking() const
    {
        return suspended_ && suspended_->is_speaking;
    }

    /// Runs the prefill at `u`; returns an empty handle on failure.
    asio::awaitable<kv_handle>
    run_prefill(upstream_ptr u, const policy::placement_choice& choice);
    kv_handle accept_prefill(const upstream_ptr& u, buffered_answer a);
    void release(const kv_handle& kv);
    policy::placed_load prefill_load(token_count tokens) const;
    /// Records, here and at peer gateways, blocks that the engine will have
    /// cached after `ready_in`.
    void record_blocks(upstream& u,
                       std::span<const policy::prefix_block> blocks,
                       duration ready_in);
    void record_shared_blocks(upstream& u, duration ready_in);
    /// Waits `seconds`, until the engine should have cached the blocks.
    asio::awaitable<void> wait_for_blocks(double seconds);

    policy::placed_request placed_request() const;
    std::optional<policy::placement_plan> plan_engines();
    upstream_ptr choose_decode_engine(const upstream& prefill_engine) const;
    void record_demand(const stream_placement& placement);
    policy::engine_admission_decision
    admit(const policy::placement_plan& plan) const;
    upstream_ptr choose_call_upstream();
    std::vector<std::size_t> excluded_indices() const;
    call_request make_call(const upstream_ptr& u,
                           const send_options& options) const;
    send_options options_for(const upstream& u) const;
    duration remaining_time() const;

    /// Ends a call that later ones have overtaken, if another attempt may
    /// follow.
    void give_up_stalled(const upstream& u, upstream_call& call,
                         bool prefill_only);
    /// Whether another attempt may follow if the current one is given up.
    bool may_give_up(const upstream& u, bool prefill_only) const;
    bool has_alternative(const upstream& u) const;
    /// Retries that another attempt consumes if the current one is given up.
    unsigned retries_for_another(bool prefill_only) const;
    /// Takes retries from the budget before an attempt is given up; the next
    /// calls of `take_retry` use them. Calls that stall together would
    /// otherwise all be given up for the same retry.
    bool reserve_retries(bool prefill_only);
    bool take_retry();
    /// How long callers of the route wait for an event before they disconnect.
    duration patience() const;
    static attempt_result result_of(call_status status);
    attempt_result classify(const buffered_answer& answer) const;
    /// Like `classify`, for an answer that would be forwarded to the caller.
    attempt_result classify_for_caller(const buffered_answer& answer) const;
    next_step finish_attempt(attempt_result result, const upstream_ptr& u,
                             const std::string& failure);
    void record_health(attempt_result result, upstream& u) const;
    void log_placed(const stream_placement& placement) const;
    void log_ended(const std::string& outcome, unsigned status);
    /// Logs that the connection was closed before the end of the answer.
    void log_unanswered();

    /// Tells the caller that the request was not executed; calls `fail` instead
    /// if it may have been.
    asio::awaitable<void> refuse(const std::string& reason);
    asio::awaitable<void> refuse(const std::string& reason, duration pause);
    /// Refuses the request because no upstream is usable, for instance because
    /// all are leaving or paused.
    asio::awaitable<void> refuse_without_upstream(const std::string& reason);
    asio::awaitable<void> fail(attempt_result result);
    asio::awaitable<void> reject(unsigned status, const std::string& reason);
    asio::awaitable<void> deliver(buffered_answer answer);

    gateway_state& state_;
    caller_request request_;
    answer_writer& out_;
    request_info info_;
    std::shared_ptr<const routing> routing_;
    const route* route_ = nullptr;
    /// Null if the request carries no known key; owned by `routing_`.
    const account_table::account* account_ = nullptr;
    bool is_usage_counted_ = false;
    service_id service_;
    service_fleet* fleet_ = nullptr;
    std::vector<policy::prefix_block> blocks_;
    /// Digests of all blocks but the last, which is specific to this request.
    std::vector<std::uint64_t> shared_digests_;
    /// Digest by which the request is recognized when its caller repeats it.
    std::uint64_t fingerprint_ = 0;
    mono_time deadline_{};

    attempt_history history_;
    std::vector<upstream_id> failed_upstreams_;
    unsigned reserved_retries_ = 0;
    upstream_call* call_ = nullptr; ///< Call in progress, if any.
    std::shared_ptr<suspended_attempt> suspended_;
    event_stream events_;
    /// Of the upstream that sent the first event.
    std::optional<software_version> stream_version_;
    answer_head stream_head_; ///< Of a stream that has not begun.
    unsigned block_waits_ = 0;
    asio::steady_timer* block_wait_ = nullptr; ///< Wait in progress, if any.
    bool answer_started_ = false;
    bool is_answer_cut_ = false; ///< Ended after a part of the answer.
    bool caller_disconnected_ = false;
    bool is_shutting_down_ = false;
    /// The last prefill call did not reach its engine, so that another one is
    /// no retry.
    bool is_prefill_unsent_ = false;
    std::string last_upstream_;
    duration
        prefill_latency_{}; ///< From receipt to the end of prefill; 0: none.
    duration first_event_latency_{};
    mono_time last_event_at_{};
    mono_time last_progress_at_{}; ///< Last event of the call in progress.
    duration longest_pause_{};     ///< Between two events.
};

} // namespace poplar::gateway
