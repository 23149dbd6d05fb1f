#include "gateway/exchange.hpp"
#include "gateway/interval_timer.hpp"
#include "gateway/load_guard.hpp"
#include "observe/log.hpp"
#include "platform/wire.hpp"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>

namespace poplar::gateway
{

namespace
{

using observe::event;
using std::chrono::milliseconds;

/// Time from the end of prefill to the first event, including the transfer of
/// the KV cache.
constexpr duration first_event_delay = milliseconds(30);
/// How often one request waits for blocks whose prefill is in progress.
constexpr unsigned max_block_waits = 3;
/// A caller disconnects from a stream without an event after the longest of
/// these: a fixed time, four times the target of the first event, eight times
/// the pause target.
constexpr duration min_patience = std::chrono::seconds(2);
constexpr int patience_per_target = 4;
constexpr int patience_per_pause_target = 8;
/// Whether the decode engine rejected the attempt before it fetched the KV
/// cache.
bool is_rejected(attempt_result result)
{
    return result == attempt_result::not_run ||
           result == attempt_result::not_sent;
}

constexpr beast::string_view event_stream_type = "text/event-stream";

/// Whether the answer may go on with a stream that another engine began.
bool may_resume(const answer_head& head)
{
    const auto type = head[http::field::content_type];
    return type.empty() ||
           beast::iequals(type.substr(0, event_stream_type.size()),
                          event_stream_type);
}

} // namespace

policy::placed_request exchange::placed_request() const
{
    policy::placed_request r;
    r.input = info_.engine_prompt->input;
    r.output = info_.engine_prompt->max_output;
    r.rank = rank();
    r.blocks = blocks_;
    r.now = now();
    return r;
}

std::optional<policy::placement_plan> exchange::plan_engines()
{
    const auto engines = engines_of(*fleet_, now());
    return fleet_->placement.plan(engines, placed_request(),
                                  excluded_indices());
}

/// Called after the prefill, since engines may have started to drain during it.
upstream_ptr
exchange::choose_decode_engine(const upstream& prefill_engine) const
{
    const auto engines = engines_of(*fleet_, now());
    const auto choice = fleet_->placement.choose_decode(
        engines, placed_request(), prefill_engine.placed, excluded_indices());
    return choice ? fleet_->members[choice->engine] : nullptr;
}

duration exchange::patience() const
{
    return std::max({min_patience, patience_per_target * route_->target,
                     patience_per_pause_target * route_->pause_target});
}

/// Counts each request once, whether admitted or not: engines are assigned to
/// stages by the demand of callers.
void exchange::record_demand(const stream_placement& placement)
{
    if (history_.attempts > 0 || block_waits_ > 0)
        return;
    const policy::placement_choice& first = placement.plan.prefill
                                                ? *placement.plan.prefill
                                                : placement.plan.decode;
    policy::stage_demand work;
    work.prefill = double(first.uncached.value) /
                   fleet_->placement.engine_prefill_rate().tokens_per_second();
    if (placement.plan.prefill)
        work.decode =
            placement.plan.decode.total_seconds; // includes KV transfer
    fleet_->demand.add(work, now());
}

/// Admits a retry without a check, since its first attempt was admitted.
policy::engine_admission_decision
exchange::admit(const policy::placement_plan& plan) const
{
    if (history_.attempts > 0)
        return {};
    const policy::placement_choice& first =
        plan.prefill ? *plan.prefill : plan.decode;
    policy::engine_admission_request r;
    const double factor = fleet_->placement.correction().factor(rank());
    r.wait = policy::from_seconds(
        std::max(first.hold_seconds, first.wait_seconds * factor));
    r.expected = r.wait + policy::from_seconds(first.prefill_seconds) +
                 first_event_delay;
    r.elapsed = now() - request_.received;
    r.target = route_->target;
    r.patience = patience();
    r.remaining_time = remaining_time();
    const auto decision = policy::admit({}, r);
    if (!decision.is_admitted)
        observe::log(event::gateway_request_refused,
                     {{"request", info_.id.value},
                      {"expected_ms", to_milliseconds(r.expected)},
                      {"wait_ms", std::int64_t(first.wait_seconds * 1000)},
                      {"correction_percent", int(factor * 100)},
                      {"uncached", first.uncached.value},
                      {"target_ms", to_milliseconds(r.target)},
                      {"patience_ms", to_milliseconds(r.patience)},
                      {"left_ms", to_milliseconds(r.remaining_time)},
                      {"peers", state_.loads.peer_count()}});
    return decision;
}

asio::awaitable<void> exchange::serve_stream()
{
    while (!caller_disconnected_)
    {
        stream_placement placement;
        stream_step step = co_await place_and_prefill(placement);
        if (step == stream_step::proceed)
            step = co_await serve_placed(placement);
        while (step == stream_step::finished && suspended_)
            step = co_await continue_suspended();
        if (step == stream_step::finished)
            co_return;
    }
    log_unanswered();
}

asio::awaitable<exchange::stream_step>
exchange::serve_placed(stream_placement& placement)
{
    stream_step step = co_await attempt_decode(placement);
    while (step == stream_step::retry_decode)
        step = co_await attempt_decode(placement);
    co_return step;
}

/// Places the request and, for a split request, runs its prefill.
asio::awaitable<exchange::stream_step>
exchange::place_and_prefill(stream_placement& placement)
{
    if (is_suspended_speaking())
        co_return stream_step::finished;
    if (co_await refuse_if_fatal())
        co_return stream_step::finished;
    if (is_shutting_down_ && !answer_started_)
    {
        co_await refuse("shutting_down");
        co_return stream_step::finished;
    }
    const auto plan = plan_engines();
    if (!plan)
    {
        co_await refuse_without_upstream(reason_without_engine());
        co_return stream_step::finished;
    }
    placement.plan = *plan;
    if (plan->prefill)
        placement.prefill_engine = fleet_->members[plan->prefill->engine];
    placement.decode_engine = fleet_->members[plan->decode.engine];
    record_demand(placement);
    const auto admission = admit(*plan);
    if (!admission.is_admitted)
    {
        co_await refuse("overloaded", admission.retry_after);
        co_return stream_step::finished;
    }
    const double hold_seconds =
        (plan->prefill ? *plan->prefill : plan->decode).hold_seconds;
    if (hold_seconds > 0 && block_waits_ < max_block_waits)
    {
        co_await wait_for_blocks(hold_seconds);
        co_return stream_step::replan;
    }
    log_placed(placement);
    if (!placement.prefill_engine)
        co_return stream_step::proceed;
    co_return co_await prefill_split(placement);
}

/// Runs the prefill at its engine, then chooses the decode engine.
asio::awaitable<exchange::stream_step>
exchange::prefill_split(stream_placement& placement)
{
    placement.kv =
        co_await run_prefill(placement.prefill_engine, *placement.plan.prefill);
    if (caller_disconnected_)
    {
        release(placement.kv);
        co_return stream_step::replan;
    }
    if (is_suspended_speaking())
    {
        release(placement.kv);
        co_return stream_step::finished;
    }
    if (is_shutting_down_ && !answer_started_)
    {
        release(placement.kv);
        co_return stream_step::replan; // Refused there.
    }
    if (now() >= deadline_)
    {
        release(placement.kv);
        co_await fail(attempt_result::timed_out);
        co_return stream_step::finished;
    }
    if (placement.kv.empty())
    {
        if (history_.attempts < max_total_attempts &&
            may_prefill_again(history_) && (is_prefill_unsent_ || take_retry()))
            co_return stream_step::replan;
        co_await refuse("prompt_not_read");
        co_return stream_step::finished;
    }
    if (fatal_hold())
    {
        release(placement.kv);
        co_await refuse_if_fatal();
        co_return stream_step::finished;
    }
    placement.decode_engine = choose_decode_engine(*placement.prefill_engine);
    if (placement.decode_engine)
        co_return stream_step::proceed;
    release(placement.kv);
    co_await refuse_without_upstream("no_usable_engine");
    co_return stream_step::finished;
}

/// Reuses the prefill: a decode engine without free capacity has not fetched
/// the KV cache. After two rejections the KV cache may no longer exist.
bool exchange::move_decode(stream_placement& placement,
                           attempt_result result) const
{
    if (placement.kv.empty() || placement.is_moved || !is_rejected(result) ||
        fatal_hold())
        return false;
    upstream_ptr other = choose_decode_engine(*placement.prefill_engine);
    if (!other)
        return false;
    placement.decode_engine = std::move(other);
    placement.is_moved = true;
    return true;
}

/// Decodes the stream at its engine and forwards the events.
asio::awaitable<exchange::stream_step>
exchange::attempt_decode(stream_placement& placement)
{
    const policy::placement_choice& decode = placement.plan.decode;
    send_options options = options_for(*placement.decode_engine);
    options.kv = placement.kv;
    if (!placement.prefill_engine && decode.source)
        options.fetch_from = fleet_->members[*decode.source]->record.address;
    if (answer_started_)
        options.resume_after = events_.last_id();
    const token_count uncached =
        placement.prefill_engine ? token_count(0) : decode.uncached;
    load_guard prefill_guard(placement.decode_engine, prefill_load(uncached));
    load_guard decode_guard(placement.decode_engine,
                            {.kv_tokens = info_.engine_prompt->input +
                                          info_.engine_prompt->max_output,
                             .in_flight = 1});
    record_shared_blocks(*placement.decode_engine,
                         placement.prefill_engine
                             ? duration{}
                             : policy::from_seconds(decode.total_seconds));
    stream_outcome end = co_await attempt_stream(
        placement.decode_engine, std::move(options), prefill_guard);
    if (answer_started_)
        record_blocks(*placement.decode_engine, blocks_, duration{});
    note_broken_off(placement.decode_engine, end.result, end.keeps_connection);
    if (caller_disconnected_)
        co_return stream_step::replan;
    if (is_suspended_speaking())
    {
        ++history_.attempts;
        if (is_rejected(end.result))
            release(placement.kv);
        else
            ++history_.executions;
        co_return stream_step::finished;
    }
    next_step step =
        finish_attempt(end.result, placement.decode_engine, end.answer.failure);
    if (step == next_step::retry && move_decode(placement, end.result))
        co_return stream_step::retry_decode;
    if (is_rejected(end.result))
        release(placement.kv);
    // Repeating the prefill is a call of its own and consumes retry budget, in
    // addition to any that the retry of the decode call consumed.
    if (step == next_step::retry && placement.prefill_engine && !take_retry())
        step = next_step::refuse;
    if (step == next_step::retry)
    {
        if (answer_started_)
            observe::log(event::gateway_stream_resumed,
                         {{"request", info_.id.value},
                          {"from", placement.decode_engine->record.id.value},
                          {"version", stream_version_->value},
                          {"after_event", events_.last_id().value_or(0)}});
        events_.restart();
        co_return stream_step::replan;
    }
    co_await finish_stream(std::move(end), step);
    co_return stream_step::finished;
}

asio::awaitable<void> exchange::finish_stream(stream_outcome end,
                                              next_step step)
{
    if (end.is_complete)
    {
        note_completed();
        co_return log_ended("answered", 200);
    }
    if (answer_started_ || step == next_step::fail)
        co_return co_await fail(end.result);
    if (step == next_step::deliver)
        co_return co_await deliver(std::move(end.answer));
    co_await refuse(to_string(end.result));
}

asio::awaitable<exchange::stream_outcome>
exchange::attempt_stream(upstream_ptr u, send_options options,
                         load_guard& prefill_guard)
{
    auto call =
        std::make_unique<upstream_call>(u->connections, make_call(u, options));
    scoped_current_call current(call_, *call);
    last_upstream_ = u->record.id.value;
    tracked_attempt tracked(options.kv.empty() ? u->open_unsplit_requests
                                               : u->open_decodes,
                            rank(), [&] { give_up_stalled(*u, *call, false); });
    const auto on_event = [&]
    {
        prefill_guard.end();
        tracked.answered();
    };
    stream_outcome end;
    end.answer.status = co_await call->start();
    if (end.answer.status != call_status::ok)
    {
        end.result = result_of(end.answer.status);
        end.answer.failure = call->failure();
        co_return end;
    }
    end.answer.info = call->info();
    // Read before the body, whose trailer the parser adds to the head.
    end.answer.head = platform::forwardable(call->head());
    if (call->info().status == 200 && !call->info().not_executed &&
        call->info().is_signed &&
        (!answer_started_ || may_resume(call->head())))
    {
        if (!answer_started_)
            stream_head_ = std::move(end.answer.head);
        end.answer.status = co_await forward_events(*u, *call, on_event);
        end.is_complete = end.answer.status == call_status::ok;
        end.result = result_of(end.answer.status);
        end.answer.failure = call->failure();
        end.keeps_connection = call->keeps_connection();
        if (end.answer.status == call_status::interrupted)
            suspend(u, std::move(call));
        co_return end;
    }
    end.answer.status =
        co_await call->read_all(end.answer.body, max_buffered_answer);
    end.result = classify_for_caller(end.answer);
    if (answer_started_ && end.result == attempt_result::answered &&
        end.answer.info.status / 100 == 2)
    {
        end.result = attempt_result::lost;
        end.keeps_connection = call->keeps_connection();
    }
    co_return end;
}

asio::awaitable<call_status>
exchange::forward_events(const upstream& u, upstream_call& call,
                         const std::function<void()>& on_event)
{
    // Before its first event an engine may be in prefill, which has no time
    // limit of its own.
    interval_timer silence(state_.loop, [&] { return check_silence(u, call); });
    std::string bytes;
    bool is_end = false;
    while (!is_end)
    {
        bytes.clear();
        const call_status status = co_await call.read_some(bytes, is_end);
        if (status != call_status::ok)
            co_return status;
        // A silent engine has gone on, so this call has been closed.
        if (is_suspended_speaking())
            co_return call_status::stalled;
        std::string events = events_.append(bytes);
        if (!events.empty())
        {
            on_event();
            suspended_.reset();
            last_progress_at_ = now();
            co_await forward_piece(u, std::move(events));
            silence.start(silence_limit());
        }
        if (events_.has_foreign_event() ||
            events_.partial_event().size() > max_event_size)
            co_return call_status::broken;
    }
    if (events_.has_partial_event() ||
        (events_.awaits_event() && call.ends_with_connection()))
        co_return call_status::broken;
    suspended_.reset();
    if (!answer_started_)
        co_await forward_piece(u, "");
    co_await out_.end();
    co_return call_status::ok;
}

asio::awaitable<void> exchange::forward_piece(const upstream& u,
                                              std::string events)
{
    if (!answer_started_)
    {
        note_stream_begun(u);
        answer_started_ = true;
        first_event_latency_ = now() - request_.received;
        state_.metrics.record_first_event(service_.value, priority(),
                                          first_event_latency_);
        co_await out_.begin(std::move(stream_head_));
    }
    if (events.empty())
        co_return;
    count_usage(now());
    // Without an id no engine can tell where to go on.
    history_.is_repeatable =
        history_.is_repeatable && events_.last_id().has_value();
    if (last_event_at_ != mono_time{})
        longest_pause_ = std::max(longest_pause_, now() - last_event_at_);
    last_event_at_ = now();
    co_await out_.write(events);
}

} // namespace poplar::gateway
