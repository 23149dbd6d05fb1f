/// One streamed request, from dispatch to its end, as a state machine: time
/// and messages in, actions out. It owns the output received so far, so that
/// another engine can resume it.
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

/// What an engine is asked to do in one dispatch.
enum class attempt_kind
{
    unsplit, ///< Prompt and output on one engine.
    prefill, ///< Prompt only; the answer names the KV cache.
    decode   ///< Output, after import of the KV cache.
};

struct session_limits
{
    std::uint32_t window_bytes = 64 << 10;
    unsigned max_attempts = 8;
    duration attach_wait = std::chrono::seconds(3);
    duration resume_patience = std::chrono::seconds(5);
};

/// The request as the engines need it.
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
    bool split = false; ///< Prefill on an engine of its own first.
    mono_time deadline;
};

/// An engine chosen for a dispatch.
struct placement
{
    instance_id instance;
    std::uint64_t connection = 0;
};

/// No engine can be used, or the retry budget is spent.
struct no_placement
{
    failure_kind kind = failure_kind::no_upstream;
    std::string message;
    duration retry_after{};
};

using placement_result = std::variant<placement, no_placement>;

/// Asks for a call of `placed`.
struct choose_upstream
{
    attempt_kind kind = attempt_kind::unsplit;
    std::vector<instance_id> avoid;
    bool is_retry = false; ///< Counts against the retry budget.
};

using stream_message = std::variant<fb::open_streamT, fb::attachT,
                                    fb::window_updateT, fb::cancelT>;

struct send_message
{
    instance_id to;
    std::uint64_t connection = 0;
    stream_message message;
};

/// Tokens in order, each once.
struct deliver_text
{
    std::string text;
    std::uint32_t tokens = 0;
};

struct end_answer
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
};

struct fail_answer
{
    failure why;
};

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

/// For the decision record and the counters.
struct record_event
{
    stream_event what = stream_event::dispatched;
    instance_id instance;
    std::string detail;
};

using stream_action = std::variant<choose_upstream, send_message, deliver_text,
                                   end_answer, fail_answer, record_event>;
using stream_actions = std::vector<stream_action>;

class stream_session
{
public:
    /// `next_number` gives stream numbers unique within this process.
    stream_session(generation_request request, session_limits limits,
                   std::function<std::uint64_t()> next_number);

    /// What admission decided; call it before start. `split` tells whether a
    /// prefill engine computes the prompt.
    void admit(int priority_boost, std::optional<bool> split);
    stream_actions start(mono_time now);
    /// Answers choose_upstream.
    stream_actions placed(mono_time now, const placement_result& result);
    stream_actions data(mono_time now, std::uint64_t connection,
                        const fb::stream_dataT& frame);
    stream_actions end(mono_time now, std::uint64_t connection,
                       const fb::stream_endT& frame);
    stream_actions connection_lost(mono_time now, std::uint64_t connection);
    /// The same agent can be reached again.
    stream_actions connection_ready(mono_time now, const instance_id& instance,
                                    std::uint64_t connection);
    /// The agent refuses connections: its process is gone.
    stream_actions agent_unreachable(mono_time now,
                                     const instance_id& instance);
    /// The caller took this many bytes of the text delivered.
    stream_actions caller_read(std::size_t bytes);
    stream_actions caller_disconnected();
    stream_actions tick(mono_time now);

    /// Time at which `tick` is needed at the latest.
    mono_time next_tick() const;
    bool has_ended() const
    {
        return state_ == state::ended;
    }
    std::uint32_t output_tokens() const
    {
        return next_offset_;
    }
    /// Number and agent of the present dispatch; 0 when there is none.
    std::uint64_t stream() const
    {
        return current_.stream;
    }
    const instance_id& instance() const
    {
        return current_.instance;
    }

private:
    enum class state
    {
        choosing,
        active,
        detached, ///< The connection to the agent is lost.
        waiting,  ///< No engine to resume on, for now.
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
    std::uint32_t next_offset_ = 0; ///< Offset of the next token wanted.
    std::size_t unread_bytes_ = 0;  ///< Bytes delivered and not yet read.
    std::size_t read_since_update_ =
        0; ///< Bytes read since the last window update.
    bool may_have_executed_ = false; ///< In a dispatch before the present one.
    unsigned failed_attempts_ = 0;   ///< Dispatches that ended with a failure.
    unsigned attach_requests_ = 0;   ///< Attach requests without progress.
    mono_time attach_requested_at_;
    mono_time disconnected_at_;
    mono_time reconnected_at_; ///< Of the last attach.
    /// No data of this leg since its connection was first lost.
    bool has_no_data_since_loss_ = false;
    /// Set from the loss of an engine until the next token arrives.
    std::optional<mono_time> resuming_since_;
    bool is_missing_tokens_ = false; ///< The end was seen, but not all tokens.
    mono_time next_placement_at_;
};

} // namespace poplar::entry
