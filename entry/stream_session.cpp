#include "entry/stream_session.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace poplar::entry
{

namespace
{

/// Time after which an attach request for missing tokens is repeated.
constexpr duration attach_interval = std::chrono::milliseconds(500);
/// Attach requests without a new token before the attempt is abandoned.
constexpr unsigned max_attach_requests = 4;
/// An agent that exceeds this many windows of unread bytes is at fault. One
/// window is not enough, because an agent cannot split a token and may
/// therefore exceed the window by one frame.
constexpr std::size_t max_unread_windows = 2;
/// Interval between searches for an engine that can resume the stream.
constexpr duration placement_retry_interval = std::chrono::milliseconds(100);
/// A window update is sent each time that the window divided by this number has
/// been written to the HTTP answer.
constexpr std::uint32_t window_update_divisor = 4;

std::unique_ptr<fb::request_id> wire_id(const request_id& id)
{
    return std::make_unique<fb::request_id>(id.high, id.low);
}

} // namespace

stream_session::stream_session(generation_request request,
                               session_limits limits,
                               std::function<std::uint64_t()> next_number)
    : request_(std::move(request)), limits_(limits),
      next_number_(std::move(next_number))
{
}

bool stream_session::is_current(std::uint64_t connection, std::uint64_t stream,
                                std::uint32_t attempt) const
{
    return state_ == state::active && current_.connection == connection &&
           current_.stream == stream && attempt_ == attempt;
}

void stream_session::send(stream_actions& out, stream_message message) const
{
    out.emplace_back(send_message{current_.instance, current_.connection,
                                  std::move(message)});
}

void stream_session::record(stream_actions& out, stream_event what,
                            std::string detail) const
{
    out.emplace_back(record_event{what, current_.instance, std::move(detail)});
}

void stream_session::choose(stream_actions& out, attempt_kind kind,
                            bool is_retry)
{
    state_ = state::choosing;
    requested_kind_ = kind;
    out.emplace_back(choose_upstream{kind, avoid_, is_retry});
}

stream_actions stream_session::start(mono_time now)
{
    stream_actions out;
    if (request_.deadline <= now)
        fail(failure_kind::deadline, "the deadline has passed", {}, out);
    else
        choose(out,
               request_.split ? attempt_kind::prefill : attempt_kind::unsplit,
               false);
    return out;
}

std::uint32_t stream_session::free_window() const
{
    const std::size_t used =
        std::min<std::size_t>(unread_bytes_, limits_.window_bytes);
    return limits_.window_bytes - static_cast<std::uint32_t>(used);
}

void stream_session::admit(int priority_boost, std::optional<bool> split)
{
    request_.priority += priority_boost;
    request_.split = split.value_or(request_.split);
}

fb::open_streamT stream_session::make_open(mono_time now) const
{
    fb::open_streamT open;
    open.stream = current_.stream;
    open.request = wire_id(request_.id);
    open.attempt = attempt_;
    open.tenant = request_.tenant.value;
    open.rank = static_cast<std::uint32_t>(request_.rank.value);
    open.priority = request_.priority;
    open.model = request_.model.value;
    open.adapter = request_.adapter.value;
    open.prompt = request_.prompt;
    open.max_tokens = request_.max_tokens;
    open.resume_text = output_;
    open.resume_tokens = next_offset_;
    open.deadline_us =
        static_cast<std::uint64_t>((request_.deadline - now).count());
    open.window_bytes = free_window();
    open.prefill_only = current_.kind == attempt_kind::prefill;
    if (current_.has_kv)
        open.kv = std::make_unique<fb::kv_sourceT>(*kv_);
    return open;
}

stream_actions stream_session::placed(mono_time now,
                                      const placement_result& result)
{
    stream_actions out;
    if (state_ != state::choosing)
        return out;
    if (const auto* none = std::get_if<no_placement>(&result))
    {
        placement_failed(now, *none, out);
        return out;
    }
    const auto& chosen = std::get<placement>(result);
    ++attempt_;
    current_ = {requested_kind_, chosen.instance, chosen.connection,
                next_number_(),
                requested_kind_ == attempt_kind::decode && kv_.has_value()};
    state_ = state::active;
    has_no_data_since_loss_ = false;
    attach_requests_ = 0;
    is_missing_tokens_ = false;
    read_since_update_ = 0;
    record(out,
           resuming_since_ ? stream_event::resumed : stream_event::dispatched,
           "attempt " + std::to_string(attempt_));
    send(out, make_open(now));
    return out;
}

void stream_session::placement_failed(mono_time now, const no_placement& why,
                                      stream_actions& out)
{
    if (requested_kind_ != attempt_kind::unsplit)
    {
        choose(out, attempt_kind::unsplit, false);
        return;
    }
    // A stream with an abandoned attempt waits for another engine; a new
    // request is refused immediately.
    if (resuming_since_ && now - *resuming_since_ < limits_.resume_patience)
        return wait_for_upstream(now);
    fail(why.kind, why.message, why.retry_after, out);
}

void stream_session::wait_for_upstream(mono_time now)
{
    state_ = state::waiting;
    next_placement_at_ = now + placement_retry_interval;
    avoid_.clear();
}

void stream_session::request_missing_tokens(mono_time now, stream_actions& out)
{
    if (attach_requests_ > 0 && now - attach_requested_at_ < attach_interval)
        return;
    if (attach_requests_ >= max_attach_requests)
    {
        abandon_upstream(now, stream_event::upstream_lost, true, out);
        return;
    }
    ++attach_requests_;
    attach_requested_at_ = now;
    read_since_update_ = 0;
    fb::attachT attach;
    attach.stream = current_.stream;
    attach.request = wire_id(request_.id);
    attach.attempt = attempt_;
    attach.next_offset = next_offset_;
    attach.window_bytes = free_window();
    record(out, stream_event::attached,
           "from token " + std::to_string(next_offset_));
    send(out, std::move(attach));
}

void stream_session::accept(const fb::stream_dataT& frame, stream_actions& out)
{
    output_ += frame.text;
    next_offset_ += frame.tokens;
    unread_bytes_ += frame.text.size();
    attach_requests_ = 0;
    resuming_since_.reset();
    out.emplace_back(deliver_text{frame.text, frame.tokens});
}

stream_actions stream_session::data(mono_time now, std::uint64_t connection,
                                    const fb::stream_dataT& frame)
{
    stream_actions out;
    const bool is_late = !is_current(connection, frame.stream, frame.attempt);
    const std::uint64_t end_offset = std::uint64_t(frame.offset) + frame.tokens;
    if (!is_late)
        has_no_data_since_loss_ = false;
    if (is_late || current_.kind == attempt_kind::prefill ||
        end_offset <= next_offset_)
    {
        record(out, stream_event::frame_dropped, "late or repeated");
        return out;
    }
    // More tokens than requested, or more unread text than
    // `max_unread_windows` allow: the engine or its agent is at fault.
    const bool overflows = unread_bytes_ + frame.text.size() >
                           max_unread_windows * limits_.window_bytes;
    if (end_offset > request_.max_tokens ||
        (frame.offset == next_offset_ && overflows))
        abandon_upstream(now, stream_event::upstream_lost, true, out);
    else if (frame.offset != next_offset_)
        request_missing_tokens(now, out);
    else
        accept(frame, out);
    return out;
}

void stream_session::complete(mono_time now, const fb::stream_endT& frame,
                              stream_actions& out)
{
    if (current_.kind == attempt_kind::prefill)
    {
        may_have_executed_ = true;
        if (frame.kv)
            kv_ = *frame.kv;
        choose(out, frame.kv ? attempt_kind::decode : attempt_kind::unsplit,
               false);
        return;
    }
    is_missing_tokens_ = frame.output_tokens > next_offset_;
    if (is_missing_tokens_)
        return request_missing_tokens(now, out);
    if (frame.output_tokens < next_offset_)
        return abandon_upstream(now, stream_event::upstream_lost, true, out);
    state_ = state::ended;
    out.emplace_back(end_answer{frame.prompt_tokens, next_offset_});
}

void stream_session::refused(mono_time now, const fb::stream_endT& frame,
                             stream_actions& out)
{
    record(out, stream_event::retried, fb::EnumNamerefusal(frame.refusal));
    state_ = state::choosing;
    avoid_.push_back(current_.instance);
    if (frame.refusal == fb::refusal::deadline_too_short)
        return fail(failure_kind::deadline, frame.message, {}, out);
    if (resuming_since_)
        return choose(out, attempt_kind::unsplit, false);
    if (current_.kind == attempt_kind::prefill)
        return choose(out, attempt_kind::unsplit, false);
    const duration wait(static_cast<std::int64_t>(frame.retry_after_us));
    no_placement final_refusal{failure_kind::overloaded,
                               "refused by the engines: " + frame.message,
                               wait};
    if (attempt_ >= limits_.max_attempts)
        return placement_failed(now, final_refusal, out);
    // Only retries after an overload refusal count against the retry budget.
    // Retries after other refusals, such as those of a draining engine, do not
    // add to an overload, and a drain must not cause requests to be refused.
    choose(out, current_.kind, frame.refusal == fb::refusal::overloaded);
}

void stream_session::abandon_upstream(mono_time now, stream_event why,
                                      bool avoid, stream_actions& out)
{
    record(out, why, "at token " + std::to_string(next_offset_));
    cancel_upstream(out);
    state_ = state::choosing;
    may_have_executed_ = true;
    if (avoid)
        avoid_.push_back(current_.instance);
    kv_.reset();
    current_ = {};
    // Engines may hand a stream back any number of times during planned
    // changes. Failures are limited, because the request itself may be what
    // makes the engines fail.
    if (why != stream_event::handed_back &&
        ++failed_attempts_ >= limits_.max_attempts)
        return fail(failure_kind::upstream_lost,
                    "the engines failed repeatedly", {}, out);
    if (!resuming_since_)
        resuming_since_ = now;
    choose(out, attempt_kind::unsplit, false);
}

void stream_session::cancel_upstream(stream_actions& out)
{
    if (state_ != state::active)
        return;
    fb::cancelT cancel;
    cancel.stream = current_.stream;
    send(out, cancel);
}

stream_actions stream_session::end(mono_time now, std::uint64_t connection,
                                   const fb::stream_endT& frame)
{
    stream_actions out;
    if (!is_current(connection, frame.stream, frame.attempt))
    {
        record(out, stream_event::frame_dropped, "late or repeated end");
        return out;
    }
    if (frame.reason == fb::end_reason::complete)
        complete(now, frame, out);
    else
        ended_early(now, frame, out);
    return out;
}

void stream_session::ended_early(mono_time now, const fb::stream_endT& frame,
                                 stream_actions& out)
{
    // The agent has already released the stream, so no cancel is sent.
    state_ = state::choosing;
    switch (frame.reason)
    {
    case fb::end_reason::refused:
        return refused(now, frame, out);
    case fb::end_reason::handed_back:
        return abandon_upstream(now, stream_event::handed_back, true, out);
    case fb::end_reason::unknown_stream:
        return abandon_upstream(now, stream_event::upstream_lost, false, out);
    case fb::end_reason::invalid:
        // The separate prefill or the import of its KV cache may have failed,
        // so try on one engine.
        if (current_.has_kv || current_.kind == attempt_kind::prefill)
            return abandon_upstream(now, stream_event::prefill_failed, false,
                                    out);
        return fail(failure_kind::refused_by_upstream, frame.message, {}, out);
    case fb::end_reason::expired:
        may_have_executed_ =
            may_have_executed_ || frame.ran != fb::ran_state::no;
        return fail(failure_kind::deadline, "the deadline has passed", {}, out);
    default:
        return abandon_upstream(now, stream_event::upstream_lost, true, out);
    }
}

stream_actions stream_session::connection_lost(mono_time now,
                                               std::uint64_t connection)
{
    stream_actions out;
    if (state_ != state::active || current_.connection != connection)
        return out;
    state_ = state::detached;
    // If only frames towards the agent are lost, each new connection opens and
    // is lost again. The timeout therefore counts from the first loss, unless
    // the last connection stayed open for `attach_wait`.
    if (!has_no_data_since_loss_ ||
        now - reconnected_at_ >= limits_.attach_wait)
        disconnected_at_ = now;
    has_no_data_since_loss_ = true;
    if (current_.kind == attempt_kind::prefill)
        abandon_upstream(now, stream_event::prefill_failed, true, out);
    return out;
}

stream_actions stream_session::connection_ready(mono_time now,
                                                const instance_id& instance,
                                                std::uint64_t connection)
{
    stream_actions out;
    if (state_ != state::detached || current_.instance != instance)
        return out;
    state_ = state::active;
    reconnected_at_ = now;
    current_.connection = connection;
    attach_requests_ = 0;
    is_missing_tokens_ = false;
    request_missing_tokens(now, out);
    return out;
}

stream_actions stream_session::agent_unreachable(mono_time now,
                                                 const instance_id& instance)
{
    stream_actions out;
    if (state_ == state::detached && current_.instance == instance)
        abandon_upstream(now, stream_event::upstream_lost, true, out);
    return out;
}

stream_actions stream_session::caller_read(std::size_t bytes)
{
    stream_actions out;
    bytes = std::min(bytes, unread_bytes_);
    unread_bytes_ -= bytes;
    read_since_update_ += bytes;
    if (state_ != state::active || current_.kind == attempt_kind::prefill ||
        read_since_update_ < limits_.window_bytes / window_update_divisor)
        return out;
    fb::window_updateT update;
    update.stream = current_.stream;
    update.bytes = static_cast<std::uint32_t>(read_since_update_);
    read_since_update_ = 0;
    send(out, update);
    return out;
}

stream_actions stream_session::caller_disconnected()
{
    stream_actions out;
    cancel_upstream(out);
    state_ = state::ended;
    return out;
}

stream_actions stream_session::tick(mono_time now)
{
    stream_actions out;
    if (state_ == state::ended)
        return out;
    if (now >= request_.deadline)
        fail(failure_kind::deadline, "the deadline has passed", {}, out);
    else if (state_ == state::detached &&
             now - disconnected_at_ >= limits_.attach_wait)
        abandon_upstream(now, stream_event::upstream_lost, true, out);
    else if (state_ == state::waiting && now >= next_placement_at_)
        choose(out, attempt_kind::unsplit, false);
    else if (state_ == state::active && is_missing_tokens_ &&
             now - attach_requested_at_ >= attach_interval)
        request_missing_tokens(now, out);
    return out;
}

mono_time stream_session::next_tick() const
{
    mono_time at = request_.deadline;
    if (state_ == state::detached)
        at = std::min(at, disconnected_at_ + limits_.attach_wait);
    if (state_ == state::waiting)
        at = std::min(at, next_placement_at_);
    if (state_ == state::active && is_missing_tokens_)
        at = std::min(at, attach_requested_at_ + attach_interval);
    return at;
}

fb::ran_state stream_session::ran() const
{
    if (next_offset_ > 0)
        return fb::ran_state::yes;
    const bool is_dispatched =
        state_ == state::active || state_ == state::detached;
    return may_have_executed_ || is_dispatched ? fb::ran_state::unknown
                                               : fb::ran_state::no;
}

void stream_session::fail(failure_kind kind, std::string message,
                          duration retry_after, stream_actions& out)
{
    const fb::ran_state has_run = ran();
    cancel_upstream(out);
    state_ = state::ended;
    out.emplace_back(
        fail_answer{{kind, std::move(message), has_run, retry_after}});
}

} // namespace poplar::entry
