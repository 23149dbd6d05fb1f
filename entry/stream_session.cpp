#include "entry/stream_session.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace poplar::entry
{

namespace
{

/// Repeats a request for missing tokens after this time.
constexpr duration ask_interval = std::chrono::milliseconds(500);
/// Requests for missing tokens before the engine is given up.
constexpr unsigned max_asks = 4;
/// Unread bytes above this many windows are a fault of the agent. It may pass
/// the window by one frame, since it cannot split a token.
constexpr std::size_t most_windows = 2;
/// Between attempts to find an engine that can resume.
constexpr duration choice_interval = std::chrono::milliseconds(100);
/// A window update is sent when this part of the window was read.
constexpr std::uint32_t grant_parts = 4;

std::unique_ptr<fb::request_id> wire_id(const request_id& id)
{
    return std::make_unique<fb::request_id>(id.high, id.low);
}

} // namespace

stream_session::stream_session(generation request, session_limits limits,
                               std::function<std::uint64_t()> next_number)
    : request_(std::move(request)), limits_(limits),
      next_number_(std::move(next_number))
{
}

bool stream_session::is_current(std::uint64_t connection, std::uint64_t stream,
                                std::uint32_t attempt) const
{
    return state_ == state::active && leg_.connection == connection &&
           leg_.stream == stream && attempt_ == attempt;
}

void stream_session::send(stream_actions& out, stream_message message) const
{
    out.emplace_back(
        send_message{leg_.instance, leg_.connection, std::move(message)});
}

void stream_session::note(stream_actions& out, stream_event what,
                          std::string detail) const
{
    out.emplace_back(note_event{what, leg_.instance, std::move(detail)});
}

void stream_session::choose(stream_actions& out, leg_kind kind, bool is_retry)
{
    state_ = state::choosing;
    wanted_ = kind;
    out.emplace_back(choose_upstream{kind, avoid_, is_retry});
}

stream_actions stream_session::start(mono_time now)
{
    stream_actions out;
    if (request_.deadline <= now)
        fail(failure_kind::deadline, "the deadline has passed", {}, out);
    else
        choose(out, request_.split ? leg_kind::prefill : leg_kind::whole,
               false);
    return out;
}

std::uint32_t stream_session::free_window() const
{
    const std::size_t used =
        std::min<std::size_t>(unread_, limits_.window_bytes);
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
    open.stream = leg_.stream;
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
    open.resume_tokens = next_;
    open.deadline_us =
        static_cast<std::uint64_t>((request_.deadline - now).count());
    open.window_bytes = free_window();
    open.prefill_only = leg_.kind == leg_kind::prefill;
    if (leg_.has_kv)
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
        not_placed(now, *none, out);
        return out;
    }
    const auto& at = std::get<placement>(result);
    ++attempt_;
    leg_ = {wanted_, at.instance, at.connection, next_number_(),
            wanted_ == leg_kind::decode && kv_.has_value()};
    state_ = state::active;
    is_unheard_ = false;
    asks_ = 0;
    lacks_tail_ = false;
    ungranted_ = 0;
    note(out,
         resuming_since_ ? stream_event::resumed : stream_event::dispatched,
         "attempt " + std::to_string(attempt_));
    send(out, make_open(now));
    return out;
}

void stream_session::not_placed(mono_time now, const no_placement& why,
                                stream_actions& out)
{
    if (wanted_ != leg_kind::whole)
    {
        choose(out, leg_kind::whole, false);
        return;
    }
    // A request that an engine had accepted waits for another one; a new one
    // is refused at once.
    if (resuming_since_ && now - *resuming_since_ < limits_.resume_patience)
        return wait_for_upstream(now);
    fail(why.kind, why.message, why.retry_after, out);
}

void stream_session::wait_for_upstream(mono_time now)
{
    state_ = state::waiting;
    next_choice_ = now + choice_interval;
    avoid_.clear();
}

void stream_session::ask_again(mono_time now, stream_actions& out)
{
    if (asks_ > 0 && now - asked_at_ < ask_interval)
        return;
    if (asks_ >= max_asks)
    {
        leave_upstream(now, stream_event::upstream_lost, true, out);
        return;
    }
    ++asks_;
    asked_at_ = now;
    ungranted_ = 0;
    fb::attachT attach;
    attach.stream = leg_.stream;
    attach.request = wire_id(request_.id);
    attach.attempt = attempt_;
    attach.next_offset = next_;
    attach.window_bytes = free_window();
    note(out, stream_event::attached, "from token " + std::to_string(next_));
    send(out, std::move(attach));
}

void stream_session::accept(const fb::stream_dataT& frame, stream_actions& out)
{
    output_ += frame.text;
    next_ += frame.tokens;
    unread_ += frame.text.size();
    asks_ = 0;
    resuming_since_.reset();
    out.emplace_back(deliver_text{frame.text, frame.tokens});
}

stream_actions stream_session::data(mono_time now, std::uint64_t connection,
                                    const fb::stream_dataT& frame)
{
    stream_actions out;
    const bool is_late = !is_current(connection, frame.stream, frame.attempt);
    const std::uint64_t last = std::uint64_t(frame.offset) + frame.tokens;
    if (!is_late)
        is_unheard_ = false;
    if (is_late || leg_.kind == leg_kind::prefill || last <= next_)
    {
        note(out, stream_event::frame_dropped, "late or repeated");
        return out;
    }
    // More than was asked for, or more than the window allows: the engine or
    // its agent is at fault.
    const bool overflows =
        unread_ + frame.text.size() > most_windows * limits_.window_bytes;
    if (last > request_.max_tokens || (frame.offset == next_ && overflows))
        leave_upstream(now, stream_event::upstream_lost, true, out);
    else if (frame.offset != next_)
        ask_again(now, out);
    else
        accept(frame, out);
    return out;
}

void stream_session::complete(mono_time now, const fb::stream_endT& frame,
                              stream_actions& out)
{
    if (leg_.kind == leg_kind::prefill)
    {
        may_have_run_ = true;
        if (frame.kv)
            kv_ = *frame.kv;
        choose(out, frame.kv ? leg_kind::decode : leg_kind::whole, false);
        return;
    }
    lacks_tail_ = frame.output_tokens > next_;
    if (lacks_tail_)
        return ask_again(now, out);
    if (frame.output_tokens < next_)
        return leave_upstream(now, stream_event::upstream_lost, true, out);
    state_ = state::ended;
    out.emplace_back(end_answer{frame.prompt_tokens, next_});
}

void stream_session::refused(mono_time now, const fb::stream_endT& frame,
                             stream_actions& out)
{
    note(out, stream_event::retried, fb::EnumNamerefusal(frame.refusal));
    state_ = state::choosing;
    avoid_.push_back(leg_.instance);
    if (frame.refusal == fb::refusal::deadline_too_short)
        return fail(failure_kind::deadline, frame.message, {}, out);
    if (resuming_since_)
        return choose(out, leg_kind::whole, false);
    if (leg_.kind == leg_kind::prefill)
        return choose(out, leg_kind::whole, false);
    const duration wait(static_cast<std::int64_t>(frame.retry_after_us));
    no_placement last{failure_kind::overloaded,
                      "refused by the engines: " + frame.message, wait};
    if (attempt_ >= limits_.max_attempts)
        return not_placed(now, last, out);
    // Refusals of a planned change do not feed an overload, so they take
    // nothing from the retry budget: a drain must not turn requests away.
    choose(out, leg_.kind, frame.refusal == fb::refusal::overloaded);
}

void stream_session::leave_upstream(mono_time now, stream_event why, bool avoid,
                                    stream_actions& out)
{
    note(out, why, "at token " + std::to_string(next_));
    cancel_upstream(out);
    state_ = state::choosing;
    may_have_run_ = true;
    if (avoid)
        avoid_.push_back(leg_.instance);
    kv_.reset();
    leg_ = {};
    // A planned change may hand a stream back any number of times; a request
    // on which engines fail again and again may be what makes them fail.
    if (why != stream_event::handed_back && ++losses_ >= limits_.max_attempts)
        return fail(failure_kind::upstream_lost,
                    "the engines failed repeatedly", {}, out);
    if (!resuming_since_)
        resuming_since_ = now;
    choose(out, leg_kind::whole, false);
}

void stream_session::cancel_upstream(stream_actions& out)
{
    if (state_ != state::active)
        return;
    fb::cancelT cancel;
    cancel.stream = leg_.stream;
    send(out, cancel);
}

stream_actions stream_session::end(mono_time now, std::uint64_t connection,
                                   const fb::stream_endT& frame)
{
    stream_actions out;
    if (!is_current(connection, frame.stream, frame.attempt))
    {
        note(out, stream_event::frame_dropped, "late or repeated end");
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
    // The agent has let go of the stream: there is nothing to cancel.
    state_ = state::choosing;
    switch (frame.reason)
    {
    case fb::end_reason::refused:
        return refused(now, frame, out);
    case fb::end_reason::handed_back:
        return leave_upstream(now, stream_event::handed_back, true, out);
    case fb::end_reason::unknown_stream:
        return leave_upstream(now, stream_event::upstream_lost, false, out);
    case fb::end_reason::invalid:
        // The cause may be the import of the KV cache.
        if (leg_.has_kv || leg_.kind == leg_kind::prefill)
            return leave_upstream(now, stream_event::prefill_failed, false,
                                  out);
        return fail(failure_kind::refused_by_upstream, frame.message, {}, out);
    case fb::end_reason::expired:
        may_have_run_ = may_have_run_ || frame.ran != fb::ran_state::no;
        return fail(failure_kind::deadline, "the deadline has passed", {}, out);
    default:
        return leave_upstream(now, stream_event::upstream_lost, true, out);
    }
}

stream_actions stream_session::connection_lost(mono_time now,
                                               std::uint64_t connection)
{
    stream_actions out;
    if (state_ != state::active || leg_.connection != connection)
        return out;
    state_ = state::detached;
    // Where only frames towards the agent vanish, each new connection opens
    // and is lost again: the wait goes on from the first loss.
    if (!is_unheard_ || now - attached_at_ >= limits_.attach_wait)
        detached_at_ = now;
    is_unheard_ = true;
    if (leg_.kind == leg_kind::prefill)
        leave_upstream(now, stream_event::prefill_failed, true, out);
    return out;
}

stream_actions stream_session::connection_ready(mono_time now,
                                                const instance_id& instance,
                                                std::uint64_t connection)
{
    stream_actions out;
    if (state_ != state::detached || leg_.instance != instance)
        return out;
    state_ = state::active;
    attached_at_ = now;
    leg_.connection = connection;
    asks_ = 0;
    lacks_tail_ = false;
    ask_again(now, out);
    return out;
}

stream_actions stream_session::agent_gone(mono_time now,
                                          const instance_id& instance)
{
    stream_actions out;
    if (state_ == state::detached && leg_.instance == instance)
        leave_upstream(now, stream_event::upstream_lost, true, out);
    return out;
}

stream_actions stream_session::caller_read(std::size_t bytes)
{
    stream_actions out;
    bytes = std::min(bytes, unread_);
    unread_ -= bytes;
    ungranted_ += bytes;
    if (state_ != state::active || leg_.kind == leg_kind::prefill ||
        ungranted_ < limits_.window_bytes / grant_parts)
        return out;
    fb::window_updateT update;
    update.stream = leg_.stream;
    update.bytes = static_cast<std::uint32_t>(ungranted_);
    ungranted_ = 0;
    send(out, update);
    return out;
}

stream_actions stream_session::caller_gone()
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
             now - detached_at_ >= limits_.attach_wait)
        leave_upstream(now, stream_event::upstream_lost, true, out);
    else if (state_ == state::waiting && now >= next_choice_)
        choose(out, leg_kind::whole, false);
    else if (state_ == state::active && lacks_tail_ &&
             now - asked_at_ >= ask_interval)
        ask_again(now, out);
    return out;
}

mono_time stream_session::next_tick() const
{
    mono_time at = request_.deadline;
    if (state_ == state::detached)
        at = std::min(at, detached_at_ + limits_.attach_wait);
    if (state_ == state::waiting)
        at = std::min(at, next_choice_);
    if (state_ == state::active && lacks_tail_)
        at = std::min(at, asked_at_ + ask_interval);
    return at;
}

fb::ran_state stream_session::ran() const
{
    if (next_ > 0)
        return fb::ran_state::yes;
    const bool is_out = state_ == state::active || state_ == state::detached;
    return may_have_run_ || is_out ? fb::ran_state::unknown : fb::ran_state::no;
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
