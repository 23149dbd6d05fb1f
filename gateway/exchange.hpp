/// One request of a caller, from its routing to its final answer.
#pragma once

#include "gateway/answer_writer.hpp"
#include "gateway/event_stream.hpp"
#include "gateway/load_guard.hpp"
#include "gateway/retry_rules.hpp"
#include "gateway/state.hpp"
#include "policy/engine_admission.hpp"

#include <memory>
#include <string>
#include <vector>

namespace poplar::gateway
{

struct caller_request
{
    request_head head;
    std::shared_ptr<const std::string> body;
    mono_time received; ///< First byte.
};

class exchange
{
public:
    exchange(gateway_state& state, caller_request request, answer_writer& out);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /// Gives exactly one final answer, unless the caller leaves.
    asio::awaitable<void> run();

    /// The caller closed its connection: ends the work at upstreams.
    void on_caller_disconnected();

private:
    enum class stream_step
    {
        proceed,
        replan,       ///< From the placement on.
        retry_decode, ///< With the prompt that has been read, elsewhere.
        finished      ///< The final answer has been given.
    };
    /// Where one run of a stream is placed.
    struct stream_placement
    {
        policy::placement_plan plan;
        upstream_ptr prefill_engine; ///< Null: the runner reads the prompt.
        upstream_ptr decode_engine;
        kv_handle kv;
        bool is_moved = false; ///< A runner rejected the KV cache before.
    };
    /// Largest answer that is collected before it is passed on.
    static constexpr std::size_t max_buffered_answer = 4 << 20; // bytes
    /// Largest event of a stream; it is held until it is whole.
    static constexpr std::size_t max_event_size = 1 << 20; // bytes
    struct buffered_answer
    {
        call_status status = call_status::ok;
        answer_head head;
        answer_info info;
        std::string body;
        std::string failure; ///< Unless the status is ok.
    };
    struct stream_outcome
    {
        attempt_result result = attempt_result::lost;
        bool is_complete = false;
        buffered_answer answer; ///< Of an upstream that did not stream.
    };

    bool find_route();
    asio::awaitable<void> serve_call();
    asio::awaitable<void> serve_stream();
    asio::awaitable<stream_step> place_and_prefill(stream_placement& placement);
    asio::awaitable<stream_step> prefill_split(stream_placement& placement);
    asio::awaitable<stream_step> attempt_decode(stream_placement& placement);
    /// Another runner for KV cache that was not taken, if one is left.
    bool move_decode(stream_placement& placement, attempt_result result) const;
    asio::awaitable<void> finish_stream(stream_outcome end, next_step step);

    asio::awaitable<buffered_answer> attempt_buffered(upstream_ptr u,
                                                      send_options options);
    asio::awaitable<stream_outcome> attempt_stream(upstream_ptr u,
                                                   send_options options,
                                                   load_guard& prefill_guard);
    asio::awaitable<call_status> forward_events(upstream_call& call,
                                                load_guard& prefill_guard,
                                                tracked_attempt& tracked);
    /// When the upstream is given up unless it completes another event.
    mono_time next_event_deadline() const;
    asio::awaitable<void> forward_piece(upstream_call& call,
                                        std::string events);

    /// Has the prompt read; empty when it could not be.
    asio::awaitable<kv_handle>
    run_prefill(upstream_ptr u, const policy::placement_choice& choice);
    kv_handle accept_prefill(upstream& u, buffered_answer a);
    void release(const kv_handle& kv);
    policy::placed_load prefill_load(token_count tokens) const;
    /// Records here and at the other gateways what the engine reads.
    void record_blocks(upstream& u, std::span<const policy::cached_part> blocks,
                       duration ready_in);
    void record_shared_blocks(upstream& u, duration ready_in);
    /// Waits until parts that the plan uses have been read.
    asio::awaitable<void> wait_for_blocks(double seconds);

    policy::placed_request placed_request() const;
    std::optional<policy::placement_plan> plan_engines();
    upstream_ptr choose_decode_engine(const upstream& prefill_engine) const;
    void record_demand(const stream_placement& placement);
    policy::admission_decision admit(const policy::placement_plan& plan) const;
    upstream_ptr choose_call_upstream();
    std::vector<std::size_t> excluded_indices() const;
    call_request make_call(const upstream_ptr& u,
                           const send_options& options) const;
    send_options options_for(const upstream& u) const;
    duration remaining_time() const;

    /// Ends a call that later ones have overtaken, if another try may follow.
    void give_up_stalled(const upstream& u, upstream_call& call,
                         bool prefill_only) const;
    /// Whether another try may follow when the present one is given up.
    bool may_give_up(bool prefill_only) const;
    /// After which callers of the route leave a stream without an event.
    duration patience() const;
    static attempt_result result_of(call_status status);
    attempt_result classify(const buffered_answer& answer) const;
    /// Of an answer that would be passed on.
    attempt_result classify_for_caller(const buffered_answer& answer) const;
    next_step finish_attempt(attempt_result result, const upstream_ptr& u,
                             const std::string& failure);
    void record_health(attempt_result result, upstream& u) const;
    void log_placed(const stream_placement& placement) const;
    void log_ended(const std::string& outcome, unsigned status);

    /// Says that the request has not run; fails it where it may have.
    asio::awaitable<void> refuse(const std::string& reason);
    asio::awaitable<void> refuse(const std::string& reason, duration pause);
    /// All upstreams that this request may go to leave or are paused.
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
    service_id service_;
    service_fleet* fleet_ = nullptr;
    std::vector<policy::cached_part> blocks_;
    mono_time deadline_{};

    attempt_history history_;
    std::vector<upstream_id> failed_upstreams_;
    upstream_call* call_ = nullptr; ///< In progress.
    event_stream events_;
    unsigned block_waits_ = 0;
    bool answer_started_ = false;
    bool caller_disconnected_ = false;
    std::string last_upstream_;
    duration prefill_latency_{}; ///< Since the request came; 0: was not.
    duration first_event_latency_{};
    mono_time last_event_at_{};
    duration longest_pause_{}; ///< Between events.
};

} // namespace poplar::gateway
