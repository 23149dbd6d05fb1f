#include "gateway/exchange.hpp"
#include "gateway/interval_timer.hpp"
#include "gateway/load_guard.hpp"
#include "observe/log.hpp"
#include "policy/call_placement.hpp"

namespace poplar::gateway
{

namespace
{

using observe::event;
using std::chrono::milliseconds;

/// A stream without an event for this share of the caller's patience is tried
/// at another engine; the rest is reserved for that engine's first event.
constexpr double stalled_patience_fraction = 0.75;
/// Interval of checks whether a silent stream may be tried elsewhere.
constexpr duration silence_check_interval = milliseconds(100);

} // namespace

bool exchange::has_alternative(const upstream& u) const
{
    std::vector<std::size_t> excluded = excluded_indices();
    for (std::size_t i = 0; i < fleet_->members.size(); ++i)
        if (fleet_->members[i]->record.id == u.record.id)
            excluded.push_back(i);
    const auto instances = engines_of(*fleet_, now());
    if (info_.engine_prompt && has_engines(*fleet_))
        return fleet_->placement.plan(instances, placed_request(), excluded)
            .has_value();
    return policy::choose_instance({}, instances,
                                   state_.settings.failure_domain, excluded, 0)
        .has_value();
}

/// The prefill of a split request is repeated with its decode call.
unsigned exchange::retries_for_another(bool prefill_only) const
{
    return !prefill_only && history_.prefill_calls > 0 ? 2 : 1;
}

bool exchange::reserve_retries(bool prefill_only)
{
    const unsigned n = retries_for_another(prefill_only);
    while (reserved_retries_ < n && fleet_->retries.try_retry())
        ++reserved_retries_;
    return reserved_retries_ >= n;
}

bool exchange::take_retry()
{
    if (reserved_retries_ == 0)
        return fleet_->retries.try_retry();
    --reserved_retries_;
    return true;
}

/// Time without an event after which a stream may be tried elsewhere.
duration exchange::silence_limit() const
{
    return policy::from_seconds(policy::seconds(patience()) *
                                stalled_patience_fraction);
}

/// Bytes of an incomplete event do not count as progress, since a failing
/// engine may send a byte now and then.
duration exchange::check_silence(const upstream& u, upstream_call& call)
{
    const duration limit = silence_limit();
    const duration silent = now() - last_progress_at_;
    if (silent < limit)
        return limit - silent;
    if (may_give_up(u, false) && reserve_retries(false))
        call.interrupt();
    return silence_check_interval;
}

void exchange::suspend(const upstream_ptr& u,
                       std::unique_ptr<upstream_call> call)
{
    suspended_ = std::make_shared<suspended_attempt>();
    suspended_->engine = u;
    suspended_->call = std::move(call);
    suspended_->events = events_;
    await_suspended();
}

void exchange::await_suspended()
{
    suspended_->call->notify_when_readable(
        [this, attempt = std::weak_ptr(suspended_)]
        {
            if (const auto it = attempt.lock(); it && it == suspended_)
                on_suspended_readable();
        });
}

/// Ends the attempt at the other engine once the silent one has sent an event
/// or the end of the stream. Bytes of an incomplete event are no reason to end
/// it, nor is a connection that breaks off.
void exchange::on_suspended_readable()
{
    suspended_attempt& it = *suspended_;
    std::string bytes;
    bool is_end = false;
    const call_status status = it.call->read_available(bytes, is_end);
    it.received += it.events.append(bytes);
    const std::string& partial = it.events.partial_event();
    const bool is_broken =
        status != call_status::ok || partial.size() > max_event_size ||
        it.events.has_foreign_event() || (is_end && !partial.empty());
    if (is_broken)
        return drop_suspended();
    it.is_speaking = !it.received.empty() || is_end;
    if (!it.is_speaking)
        await_suspended();
    else if (call_)
        call_->give_up_stalled();
}

void exchange::drop_suspended()
{
    observe::log(event::gateway_try_failed,
                 {{"request", info_.id.value},
                  {"upstream", suspended_->engine->record.id.value},
                  {"result", to_string(attempt_result::lost)},
                  {"failure", suspended_->call->failure()},
                  {"left_ms", to_milliseconds(remaining_time())}});
    suspended_.reset();
}

asio::awaitable<exchange::stream_step> exchange::continue_suspended()
{
    const std::shared_ptr<suspended_attempt> attempt = std::move(suspended_);
    const upstream_ptr& u = attempt->engine;
    upstream_call& call = *attempt->call;
    observe::log(event::gateway_stream_continued,
                 {{"request", info_.id.value},
                  {"upstream", u->record.id.value},
                  {"after_event", attempt->events.last_id().value_or(0)}});
    events_ = attempt->events;
    last_upstream_ = u->record.id.value;
    load_guard decode_guard(u, {.in_flight = 1});
    scoped_current_call current(call_, call);
    // Counted when the attempt was suspended.
    --history_.attempts;
    --history_.executions;
    if (!attempt->received.empty())
    {
        last_progress_at_ = now();
        co_await forward_piece(*u, std::move(attempt->received));
    }
    const call_status status = co_await forward_events(*u, call, [] {});
    stream_outcome end;
    end.result = result_of(status);
    end.is_complete = status == call_status::ok;
    end.keeps_connection = call.keeps_connection();
    note_broken_off(u, end.result, end.keeps_connection);
    if (caller_disconnected_)
        co_return stream_step::replan;
    if (status == call_status::interrupted)
        suspend(u, std::move(attempt->call));
    const next_step step = finish_attempt(end.result, u, "");
    if (step == next_step::retry)
    {
        events_.restart();
        co_return stream_step::replan;
    }
    co_await finish_stream(std::move(end), step);
    co_return stream_step::finished;
}

} // namespace poplar::gateway
