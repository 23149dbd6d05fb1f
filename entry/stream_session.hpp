/// State machine of one streamed request, from the choice of an engine to the
/// end of the answer. Time and received messages are its input; the actions
/// that the caller of the state machine must perform are its output. It keeps
/// all output received so far, so that another engine can resume the stream.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "base/units.hpp"
#include "entry/failure.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace poplar::entry
{

/// The work that one attempt asks of an engine.
enum class attempt_kind
{
    unsplit, ///< Prefill and decode on the same engine.
    prefill, ///< Prefill only; the response identifies the KV cache.
    decode   ///< Decode after importing the KV cache of a prefill.
};

struct session_limits
{
    /// Flow-control window: bytes of text that an agent may send before
    /// they are written to the HTTP answer.
    std::uint32_t window_bytes = 64 << 10;
    /// Attempts after which the refusal of a new unsplit request is final,
    /// and failed attempts after which any request fails.
    unsigned max_attempts = 8;
    /// Time to wait for the connection to the agent to come back before the
    /// stream is resumed on another engine.
    duration attach_wait = std::chrono::seconds(3);
    /// Time to look for an engine that can resume an interrupted stream.
    duration resume_patience = std::chrono::seconds(5);
};

/// The parts of a request that are sent to the engines.
struct generation_request
{
    request_id id;
    tenant_id tenant;
    rank_index rank;
    int priority = 0;
    model_id model;
    adapter_id adapter;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    bool split = false; ///< Prefill on one engine, decode on another.
    mono_time deadline;
};

/// The engine chosen for an attempt and its connection.
struct placement
{
    instance_id instance;
    std::uint64_t connection = 0;
};

/// The attempt cannot be sent: no engine is usable, or the retry budget is
/// exhausted.
struct no_placement
{
    failure_kind kind = failure_kind::no_upstream;
    std::string message;
    duration retry_after{};
};

/// Result of a choose_upstream action.
using placement_result = std::variant<placement, no_placement>;

/// Choose an engine and pass the result to stream_session::placed().
struct choose_upstream
{
    attempt_kind kind = attempt_kind::unsplit;
    std::vector<instance_id> avoid; ///< Engines that must not be chosen.
    bool is_retry = false;          ///< Counts against the retry budget.
};

using stream_message = std::variant<fb::open_streamT, fb::attachT,
                                    fb::window_updateT, fb::cancelT>;

/// Send a message to an agent over the given connection.
struct send_message
{
    instance_id to;
    std::uint64_t connection = 0;
    stream_message message;
};

/// Pass text on to the caller. Tokens arrive in order and without
/// duplicates.
struct deliver_text
{
    std::string text;
    std::uint32_t tokens = 0;
};

/// Complete the answer. Both counts are reported to the caller as usage.
struct end_answer
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
};

/// End the answer with a failure.
struct fail_answer
{
    failure why;
};

/// Events of a stream that are recorded.
enum class stream_event
{
    dispatched,
    attached,
    resumed,
    retried,
    prefill_failed,
    upstream_lost,
    handed_back,
    frame_dropped
};

/// Record an event in the decision log and in the metrics.
struct record_event
{
    stream_event what = stream_event::dispatched;
    instance_id instance;
    std::string detail;
};

using stream_action = std::variant<choose_upstream, send_message, deliver_text,
                                   end_answer, fail_answer, record_event>;
using stream_actions = std::vector<stream_action>;

/// Each input function returns the actions to perform, in order. Not
/// thread-safe.
class stream_session
{
public:
    /// `next_number` returns stream numbers that are unique in this process.
    stream_session(generation_request request, session_limits limits,
                   std::function<std::uint64_t()> next_number);

    /// Applies the admission decision; must be called before start().
    /// `split` overrides whether the prompt is computed on a prefill engine;
    /// without a value, the request's own setting stays.
    void admit(int priority_boost, std::optional<bool> split);
    /// Requests the first placement, or fails if the deadline has passed.
    stream_actions start(mono_time now);
    /// Takes the result of a choose_upstream action.
    stream_actions placed(mono_time now, const placement_result& result);
    /// Handles text from an agent; late and repeated frames are dropped.
    stream_actions data(mono_time now, std::uint64_t connection,
                        const fb::stream_dataT& frame);
    /// Handles the end of a stream as reported by an agent.
    stream_actions end(mono_time now, std::uint64_t connection,
                       const fb::stream_endT& frame);
    /// A connection to an agent was closed. A prefill is abandoned; other
    /// streams wait for the agent to reconnect.
    stream_actions connection_lost(mono_time now, std::uint64_t connection);
    /// A new connection to the agent is ready: attaches to the stream again.
    stream_actions connection_ready(mono_time now, const instance_id& instance,
                                    std::uint64_t connection);
    /// A connection attempt failed; the agent's process is taken as ended.
    stream_actions agent_unreachable(mono_time now,
                                     const instance_id& instance);
    /// This many bytes of the delivered text were written to the HTTP answer.
    stream_actions caller_read(std::size_t bytes);
    /// Cancels the stream at the engine and ends the session.
    stream_actions caller_disconnected();
    /// Handles the deadline and timeouts that have passed.
    stream_actions tick(mono_time now);

    /// Latest time at which tick() must be called.
    mono_time next_tick() const;
    bool has_ended() const
    {
        return state_ == state::ended;
    }
    /// Output tokens received so far.
    std::uint32_t output_tokens() const
    {
        return next_offset_;
    }
    /// Stream number of the current attempt; 0 when there is none.
    std::uint64_t stream() const
    {
        return current_.stream;
    }
    /// Instance of the current attempt; empty when there is none.
    const instance_id& instance() const
    {
        return current_.instance;
    }

private:
    enum class state
    {
        choosing,
        active,
        detached, ///< Connection lost; waiting for the agent.
        waiting,  ///< No engine can resume the stream yet.
        ended
    };
    struct upstream_attempt
    {
        attempt_kind kind = attempt_kind::unsplit;
        instance_id instance;
        std::uint64_t connection = 0;
        std::uint64_t stream = 0;
        bool has_kv = false;
    };

    bool is_current(std::uint64_t connection, std::uint64_t stream,
                    std::uint32_t attempt) const;
    std::uint32_t free_window() const;
    fb::open_streamT make_open(mono_time now) const;
    void send(stream_actions& out, stream_message message) const;
    void record(stream_actions& out, stream_event what,
                std::string detail) const;
    void choose(stream_actions& out, attempt_kind kind, bool is_retry);
    void request_missing_tokens(mono_time now, stream_actions& out);
    void placement_failed(mono_time now, const no_placement& why,
                          stream_actions& out);
    void wait_for_upstream(mono_time now);
    void accept(const fb::stream_dataT& frame, stream_actions& out);
    void complete(mono_time now, const fb::stream_endT& frame,
                  stream_actions& out);
    void ended_early(mono_time now, const fb::stream_endT& frame,
                     stream_actions& out);
    void refused(mono_time now, const fb::stream_endT& frame,
                 stream_actions& out);
    void abandon_upstream(mono_time now, stream_event why, bool avoid,
                          stream_actions& out);
    void cancel_upstream(stream_actions& out);
    void fail(failure_kind kind, std::string message, duration retry_after,
              stream_actions& out);
    fb::ran_state ran() const;

    generation_request request_;
    session_limits limits_;
    std::function<std::uint64_t()> next_number_;

    state state_ = state::choosing;
    upstream_attempt current_;
    attempt_kind requested_kind_ = attempt_kind::unsplit;
    std::uint32_t attempt_ = 0;
    std::optional<fb::kv_sourceT> kv_;
    std::vector<instance_id> avoid_;
    std::string output_;
    std::uint32_t next_offset_ = 0; ///< Offset of the next expected token.
    std::size_t unread_bytes_ = 0;  ///< Delivered, not yet written.
    /// Bytes written to the HTTP answer since the last window update or
    /// attach request.
    std::size_t read_since_update_ = 0;
    /// The request may have been executed by an earlier attempt.
    bool may_have_executed_ = false;
    unsigned failed_attempts_ = 0; ///< Attempts that ended with a failure.
    /// Attach requests since the last new token, reconnection or placement.
    unsigned attach_requests_ = 0;
    mono_time attach_requested_at_;
    /// Start of the wait for the agent; see connection_lost().
    mono_time disconnected_at_;
    mono_time reconnected_at_; ///< Time of the last reconnection.
    /// No frame of this attempt has arrived since its connection was first
    /// lost.
    bool has_no_data_since_loss_ = false;
    /// Time of the first abandoned attempt since the last new token.
    std::optional<mono_time> resuming_since_;
    /// The end of the stream has arrived, but some tokens before it have not.
    bool is_missing_tokens_ = false;
    mono_time next_placement_at_;
};

} // namespace poplar::entry
