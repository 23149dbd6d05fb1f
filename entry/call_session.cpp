#include "entry/call_session.hpp"

#include <algorithm>
#include <utility>

namespace poplar::entry
{

namespace
{

/// Pause between attempts while a shard moves to another owner.
constexpr duration handover_interval = std::chrono::milliseconds(50);
/// A redirect to the owner that a refusal names is followed without a pause up
/// to this number of attempts; later ones wait for `handover_interval`.
constexpr unsigned max_immediate_redirects = 3;

duration retry_time(const fb::call_resultT& r)
{
    return duration(static_cast<std::int64_t>(r.retry_after_us));
}

ip_address owner_address(const fb::call_resultT& r)
{
    try
    {
        return r.owner_address.empty() ? ip_address()
                                       : parse_ip_address(r.owner_address);
    }
    catch (const parse_error&)
    {
        return {};
    }
}

fb::callT make_call(const service_call& c)
{
    fb::callT call;
    call.request = std::make_unique<fb::request_id>(c.id.high, c.id.low);
    call.service = c.service.value;
    call.tenant = c.tenant.value;
    call.rank = static_cast<std::uint32_t>(c.rank.value);
    call.method = c.method;
    call.path = c.path;
    for (const net::header& h : c.headers)
    {
        auto field = std::make_unique<fb::header_fieldT>();
        field->name = h.name;
        field->value = h.value;
        call.headers.push_back(std::move(field));
    }
    call.body.assign(c.body.begin(), c.body.end());
    call.repeatable = !c.is_once;
    call.idempotency_key = c.key.value;
    call.shard = c.shard;
    return call;
}

} // namespace

call_session::call_session(service_call call, call_limits limits,
                           std::function<std::uint64_t()> next_number)
    : call_(std::move(call)), limits_(limits),
      next_number_(std::move(next_number))
{
}

void call_session::choose(call_actions& out, bool is_retry)
{
    state_ = state::choosing;
    out.emplace_back(find_instance{avoid_, hint_, is_retry});
}

bool call_session::may_await_handover(mono_time now) const
{
    return now - started_ < limits_.handover_timeout;
}

void call_session::choose_later(mono_time now, duration wait, call_actions& out)
{
    // A retry after the deadline cannot succeed, so the call fails now.
    if (now + wait >= call_.deadline)
        return fail(failure_kind::no_upstream,
                    "the owner of this key cannot be reached", wait, out);
    state_ = state::waiting;
    next_choice_ = now + wait;
}

call_actions call_session::start(mono_time now)
{
    call_actions out;
    started_ = now;
    if (call_.deadline <= now)
        fail(failure_kind::deadline, "the deadline has passed", {}, out);
    else
        choose(out, false);
    return out;
}

call_actions call_session::routed(mono_time now, const owner_route& route)
{
    call_actions out;
    if (state_ != state::choosing)
        return out;
    switch (route.action)
    {
    case owner_route::action_kind::none:
        fail(failure_kind::no_upstream,
             "no instance of " + call_.service.value + " takes calls",
             std::chrono::seconds(1), out);
        break;
    case owner_route::action_kind::wait:
        choose_later(now, std::max(route.wait, handover_interval), out);
        break;
    case owner_route::action_kind::send:
        instance_ = route.instance;
        connection_ = route.connection;
        take_over_ = route.take_over;
        send(now, out);
        break;
    }
    return out;
}

void call_session::send(mono_time now, call_actions& out)
{
    ++attempts_;
    is_confirmed_not_executed_ = false;
    state_ = state::sent;
    stream_ = next_number_();
    fb::callT call = make_call(call_);
    call.stream = stream_;
    call.take_over = take_over_;
    call.deadline_us =
        static_cast<std::uint64_t>((call_.deadline - now).count());
    out.emplace_back(
        note_call{has_lost_attempt_ ? call_event::repeated : call_event::sent,
                  instance_, take_over_ ? "takes the shard over" : ""});
    out.emplace_back(send_call{instance_, connection_, std::move(call)});
}

call_actions call_session::result(mono_time now, std::uint64_t connection,
                                  const fb::call_resultT& r)
{
    call_actions out;
    if (state_ != state::sent || connection != connection_ ||
        r.stream != stream_)
        return out;
    switch (r.state)
    {
    case fb::call_state::done:
        state_ = state::ended;
        out.emplace_back(answer_call{r});
        break;
    case fb::call_state::not_run:
    case fb::call_state::not_started:
        handle_not_executed(now, r, out);
        break;
    case fb::call_state::in_progress:
        fail(failure_kind::in_progress,
             "a call with the same key is still running; ask again with the "
             "same key",
             retry_time(r), out);
        break;
    default:
        fail_unknown(out);
        break;
    }
    return out;
}

void call_session::handle_not_executed(mono_time now, const fb::call_resultT& r,
                                       call_actions& out)
{
    if (has_lost_attempt_)
        return fail_unknown(out);
    const duration wait = retry_time(r);
    out.emplace_back(note_call{call_event::not_executed, instance_,
                               fb::EnumNamerefusal(r.refusal)});
    state_ = state::choosing; // No attempt is in flight any more.
    is_confirmed_not_executed_ = r.state == fb::call_state::not_run;
    switch (r.refusal)
    {
    case fb::refusal::key_reused:
        return fail(failure_kind::key_reused,
                    "the key was used with another body", {}, out);
    case fb::refusal::ledger_unavailable:
        return fail(failure_kind::ledger_unavailable,
                    "the ledger cannot be reached; ask again with the same key",
                    wait, out);
    case fb::refusal::invalid_request:
        return fail(failure_kind::refused_by_upstream, r.message, {}, out);
    case fb::refusal::deadline_too_short:
        return fail(failure_kind::deadline, r.message, {}, out);
    default:
        return retry_or_fail(now, r, out);
    }
}

void call_session::retry_or_fail(mono_time now, const fb::call_resultT& r,
                                 call_actions& out)
{
    if (!call_.is_once)
    {
        avoid_.push_back(instance_);
        if (attempts_ < limits_.max_attempts)
            return choose(out, true);
        return fail(failure_kind::overloaded, r.message, retry_time(r), out);
    }
    hint_ = owner_address(r);
    const bool is_redirect = r.refusal == fb::refusal::wrong_owner;
    if (is_redirect && !hint_.empty() && attempts_ <= max_immediate_redirects)
        return choose(out, false);
    if (may_await_handover(now) && r.refusal != fb::refusal::overloaded)
        return choose_later(now, handover_interval, out);
    fail(failure_kind::no_upstream,
         "the owner of this key refuses: " + r.message,
         std::max(retry_time(r), duration(std::chrono::seconds(1))), out);
}

call_actions call_session::not_sent(mono_time now, std::uint64_t connection)
{
    call_actions out;
    if (state_ != state::sent || connection != connection_)
        return out;
    if (has_lost_attempt_)
    {
        state_ = state::detached;
        return out;
    }
    choose_later(now, handover_interval, out);
    return out;
}

call_actions call_session::connection_lost(mono_time now,
                                           std::uint64_t connection)
{
    call_actions out;
    if (state_ != state::sent || connection != connection_)
        return out;
    out.emplace_back(note_call{call_event::agent_lost, instance_, ""});
    if (!call_.is_once)
    {
        fail_unknown(out);
        return out;
    }
    state_ = state::detached;
    if (!has_lost_attempt_)
        detached_at_ = now;
    has_lost_attempt_ = true;
    return out;
}

call_actions call_session::connection_ready(mono_time now,
                                            const instance_id& instance,
                                            std::uint64_t connection)
{
    call_actions out;
    if (state_ != state::detached || instance != instance_)
        return out;
    connection_ = connection;
    take_over_ = false;
    send(now, out);
    return out;
}

call_actions call_session::agent_unreachable(const instance_id& instance)
{
    call_actions out;
    if (state_ == state::detached && instance == instance_)
        fail_unknown(out);
    return out;
}

call_actions call_session::tick(mono_time now)
{
    call_actions out;
    if (state_ == state::ended)
        return out;
    if (now >= call_.deadline)
        fail(failure_kind::deadline,
             execution_state() == fb::ran_state::no
                 ? "the deadline has passed"
                 : "the deadline has passed; ask again with the same key",
             {}, out);
    else if (state_ == state::detached &&
             now - detached_at_ >= limits_.attach_wait)
        fail_unknown(out);
    else if (state_ == state::waiting && now >= next_choice_)
        choose(out, false);
    return out;
}

mono_time call_session::next_tick() const
{
    mono_time at = call_.deadline;
    if (state_ == state::detached)
        at = std::min(at, detached_at_ + limits_.attach_wait);
    if (state_ == state::waiting)
        at = std::min(at, next_choice_);
    return at;
}

fb::ran_state call_session::execution_state() const
{
    const bool is_in_flight =
        state_ == state::sent || state_ == state::detached;
    if (is_in_flight || has_lost_attempt_)
        return fb::ran_state::unknown;
    // An earlier request with the same key may have executed; only the ledger
    // can rule that out.
    return call_.is_once && !is_confirmed_not_executed_ ? fb::ran_state::unknown
                                                        : fb::ran_state::no;
}

void call_session::fail_unknown(call_actions& out)
{
    fail(failure_kind::upstream_lost,
         call_.is_once ? "the outcome is unknown; ask again with the same key"
                       : "the instance was lost after the call was sent",
         {}, out);
}

void call_session::fail(failure_kind kind, std::string message,
                        duration retry_after, call_actions& out)
{
    const fb::ran_state has_run = execution_state();
    state_ = state::ended;
    out.emplace_back(
        fail_call{{kind, std::move(message), has_run, retry_after}});
}

} // namespace poplar::entry
