/// One request of a caller, from its routing to its final answer.
#pragma once

#include "gateway/answer_writer.hpp"
#include "gateway/event_stream.hpp"
#include "gateway/placed_work.hpp"
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
    void caller_left();

private:
    enum class loop_step
    {
        go_on,
        again,     ///< From the placement on.
        run_again, ///< With the prompt that has been read, elsewhere.
        ended      ///< The final answer has been given.
    };
    /// Where one run of a stream is placed.
    struct stream_run
    {
        policy::placement_plan plan;
        upstream_ptr reader; ///< Null: the runner reads the prompt.
        upstream_ptr runner;
        kv_handle kv;
        bool is_moved = false; ///< A runner rejected the KV cache before.
    };
    /// Largest answer that is collected before it is passed on.
    static constexpr std::size_t max_plain_answer = 4 << 20; // bytes
    /// Largest event of a stream; it is held until it is whole.
    static constexpr std::size_t max_event = 1 << 20; // bytes
    struct plain_answer
    {
        call_status status = call_status::ok;
        answer_head head;
        answer_info info;
        std::string body;
        std::string failure; ///< Unless the status is ok.
    };
    struct stream_end
    {
        try_result result = try_result::lost;
        bool is_whole_stream = false;
        plain_answer answer; ///< Of an upstream that did not stream.
    };

    bool find_route();
    asio::awaitable<void> run_calls();
    asio::awaitable<void> run_streams();
    asio::awaitable<loop_step> prepare(stream_run& run);
    asio::awaitable<loop_step> prepare_apart(stream_run& run);
    asio::awaitable<loop_step> serve(stream_run& run);
    /// Another runner for KV cache that was not taken, if one is left.
    bool move_run(stream_run& run, try_result result) const;
    asio::awaitable<void> finish(stream_end end, next_step step);

    asio::awaitable<plain_answer> try_plain(upstream_ptr u,
                                            send_options options);
    asio::awaitable<stream_end> try_stream(upstream_ptr u, send_options options,
                                           placed_work& reading);
    asio::awaitable<call_status> forward_events(upstream_call& call,
                                                placed_work& reading,
                                                ordered_try& order);
    /// When the upstream is given up unless it completes another event.
    mono_time next_event_limit() const;
    asio::awaitable<void> forward_piece(upstream_call& call,
                                        std::string events);

    /// Has the prompt read; empty when it could not be.
    asio::awaitable<kv_handle>
    read_prompt(upstream_ptr u, const policy::placement_choice& choice);
    kv_handle take_reading(upstream& u, plain_answer a);
    void release(const kv_handle& kv);
    policy::placed_load reading_load(token_count tokens) const;
    /// Records here and at the other gateways what the engine reads.
    void note_parts(upstream& u, std::span<const policy::prefix_block> parts,
                    duration ready_in);
    void note_shared_parts(upstream& u, duration ready_in);
    /// Waits until parts that the plan uses have been read.
    asio::awaitable<void> hold(double seconds);

    policy::placed_request placed_request() const;
    std::optional<policy::placement_plan> plan_engines();
    upstream_ptr choose_runner(const upstream& reader) const;
    void note_demand(const stream_run& run);
    policy::engine_admission_decision
    admit(const policy::placement_plan& plan) const;
    upstream_ptr choose_call_instance();
    std::vector<std::size_t> excluded() const;
    call_request make_call(const upstream_ptr& u,
                           const send_options& options) const;
    send_options options_for(const upstream& u) const;
    duration time_left() const;

    /// Ends a call that later ones have overtaken, if another try may follow.
    void give_up_stalled(const upstream& u, upstream_call& call,
                         bool reads_only) const;
    /// Whether another try may follow when the present one is given up.
    bool may_give_up(bool reads_only) const;
    /// After which callers of the route leave a stream without an event.
    duration patience() const;
    static try_result result_of(call_status status);
    try_result judge(const plain_answer& answer) const;
    /// Of an answer that would be passed on.
    try_result judge_for_caller(const plain_answer& answer) const;
    next_step next(try_result result, const upstream_ptr& u,
                   const std::string& failure);
    void record_health(try_result result, upstream& u) const;
    void log_placed(const stream_run& run) const;
    void log_ended(const std::string& outcome, unsigned status);

    /// Says that the request has not run; fails it where it may have.
    asio::awaitable<void> refuse(const std::string& reason);
    asio::awaitable<void> refuse(const std::string& reason, duration pause);
    /// All upstreams that this request may go to leave or are paused.
    asio::awaitable<void> refuse_without_upstream(const std::string& reason);
    asio::awaitable<void> fail(try_result result);
    asio::awaitable<void> reject(unsigned status, const std::string& reason);
    asio::awaitable<void> deliver(plain_answer answer);

    gateway_state& state_;
    caller_request request_;
    answer_writer& out_;
    request_info info_;
    std::shared_ptr<const routing> routing_;
    const route* route_ = nullptr;
    service_id service_;
    service_fleet* fleet_ = nullptr;
    std::vector<policy::prefix_block> parts_;
    mono_time ends_at_{};

    try_history history_;
    std::vector<upstream_id> failed_at_;
    upstream_call* call_ = nullptr; ///< In progress.
    event_stream events_;
    unsigned holds_ = 0;
    bool answer_begun_ = false;
    bool caller_left_ = false;
    std::string last_upstream_;
    duration prompt_read_after_{}; ///< Since the request came; 0: was not.
    duration first_event_after_{};
    mono_time last_event_{};
    duration longest_pause_{}; ///< Between events.
};

} // namespace poplar::gateway
