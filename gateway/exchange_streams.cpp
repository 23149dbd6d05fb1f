#include "gateway/exchange.hpp"
#include "gateway/placed_work.hpp"
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

/// From the end of reading to the first event, with the move of the KV cache.
constexpr duration first_event_time = milliseconds(30);
/// Times that one request waits for parts that are being read.
constexpr unsigned most_holds = 3;
/// A caller gives up a stream without an event after the longest of these:
/// a fixed time, four targets of the first event, eight pauses.
constexpr duration shortest_patience = std::chrono::seconds(2);
constexpr int patience_in_targets = 4;
constexpr int patience_in_pauses = 8;
/// A stream that pauses for this part of the patience goes on at another
/// engine; the rest is left for that engine's first event.
constexpr double stalled_share = 0.75;

/// Whether a run has left the KV cache where it was.
bool is_rejected(try_result run)
{
    return run == try_result::not_run || run == try_result::not_sent;
}

} // namespace

policy::placed_request exchange::placed_request() const
{
    policy::placed_request r;
    r.input = info_.work->input;
    r.output = info_.work->output;
    r.rank = policy::load_rank(route_->priority);
    r.blocks = parts_;
    r.now = now();
    return r;
}

std::optional<policy::placement_plan> exchange::plan_engines()
{
    const auto engines = engines_of(*fleet_);
    return fleet_->placement.plan(engines, placed_request(), excluded());
}

/// Chosen when the prompt has been read: until then engines may have left.
upstream_ptr exchange::choose_runner(const upstream& reader) const
{
    const auto engines = engines_of(*fleet_);
    const auto choice = fleet_->placement.choose_decode(
        engines, placed_request(), reader.placed, excluded());
    return choice ? fleet_->members[choice->engine] : nullptr;
}

duration exchange::patience() const
{
    return std::max({shortest_patience, patience_in_targets * route_->target,
                     patience_in_pauses * route_->pause_target});
}

/// Counts a request once, whether it is admitted or not: the stages answer to
/// what callers ask for.
void exchange::note_demand(const stream_run& run)
{
    if (history_.tries > 0 || holds_ > 0)
        return;
    const policy::placement_choice& first =
        run.plan.prefill ? *run.plan.prefill : run.plan.decode;
    policy::stage_demand work;
    work.prefill = double(first.uncached.value) /
                   fleet_->placement.engine_prefill_rate().tokens_per_second();
    if (run.plan.prefill)
        work.decode = run.plan.decode.total_seconds; // moves the KV cache
    fleet_->demand.add(work, now());
}

/// A request that another engine failed was admitted before.
policy::engine_admission_decision
exchange::admit(const policy::placement_plan& plan) const
{
    if (history_.tries > 0)
        return {};
    const policy::placement_choice& first =
        plan.prefill ? *plan.prefill : plan.decode;
    policy::engine_admission_request r;
    const double factor = fleet_->placement.correction().factor(
        policy::load_rank(route_->priority));
    r.wait = policy::from_seconds(
        std::max(first.hold_seconds, first.wait_seconds * factor));
    r.expected =
        r.wait + policy::from_seconds(first.prefill_seconds) + first_event_time;
    r.elapsed = now() - request_.received;
    r.target = route_->target;
    r.patience = patience();
    r.remaining_time = time_left();
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
                      {"peers", state_.loads.heard_peers()}});
    return decision;
}

asio::awaitable<void> exchange::run_streams()
{
    while (!caller_left_)
    {
        stream_run run;
        const loop_step prepared = co_await prepare(run);
        if (prepared == loop_step::again)
            continue;
        if (prepared == loop_step::ended)
            co_return;
        loop_step served = co_await serve(run);
        while (served == loop_step::run_again)
            served = co_await serve(run);
        if (served == loop_step::ended)
            co_return;
    }
    log_ended("caller_left", 0);
}

/// Places the request and has its prompt read.
asio::awaitable<exchange::loop_step> exchange::prepare(stream_run& run)
{
    const auto plan = plan_engines();
    if (!plan)
    {
        co_await refuse_without_upstream("no_usable_engine");
        co_return loop_step::ended;
    }
    run.plan = *plan;
    if (plan->prefill)
        run.reader = fleet_->members[plan->prefill->engine];
    run.runner = fleet_->members[plan->decode.engine];
    note_demand(run);
    const auto admission = admit(*plan);
    if (!admission.is_admitted)
    {
        co_await refuse("overloaded", admission.retry_after);
        co_return loop_step::ended;
    }
    const double hold_seconds =
        (plan->prefill ? *plan->prefill : plan->decode).hold_seconds;
    if (hold_seconds > 0 && holds_ < most_holds)
    {
        co_await hold(hold_seconds);
        co_return loop_step::again;
    }
    log_placed(run);
    if (!run.reader)
        co_return loop_step::go_on;
    co_return co_await prepare_apart(run);
}

/// Has a prefill engine read the prompt, then chooses the engine of the stream.
asio::awaitable<exchange::loop_step> exchange::prepare_apart(stream_run& run)
{
    run.kv = co_await read_prompt(run.reader, *run.plan.prefill);
    if (caller_left_)
    {
        release(run.kv);
        co_return loop_step::again;
    }
    if (now() >= ends_at_)
    {
        release(run.kv);
        co_await fail(try_result::timed_out);
        co_return loop_step::ended;
    }
    if (run.kv.empty())
    {
        if (history_.tries < most_tries && may_read_again(history_) &&
            fleet_->retries.try_retry())
            co_return loop_step::again;
        co_await refuse("prompt_not_read");
        co_return loop_step::ended;
    }
    run.runner = choose_runner(*run.reader);
    if (run.runner)
        co_return loop_step::go_on;
    release(run.kv);
    co_await refuse_without_upstream("no_usable_engine");
    co_return loop_step::ended;
}

/// A prompt is read once: a runner that has no room has not taken its KV cache.
/// One that is rejected twice may be gone.
bool exchange::move_run(stream_run& run, try_result result) const
{
    if (run.kv.empty() || run.is_moved || !is_rejected(result))
        return false;
    upstream_ptr other = choose_runner(*run.reader);
    if (!other)
        return false;
    run.runner = std::move(other);
    run.is_moved = true;
    return true;
}

/// Runs the stream at its engine.
asio::awaitable<exchange::loop_step> exchange::serve(stream_run& run)
{
    const policy::placement_choice& decode = run.plan.decode;
    send_options options = options_for(*run.runner);
    options.kv = run.kv;
    if (!run.reader && decode.source)
        options.fetch_from = fleet_->members[*decode.source]->record.address;
    if (answer_begun_)
        options.resume_after = events_.last_id();
    const token_count uncached = run.reader ? token_count(0) : decode.uncached;
    placed_work reading(run.runner, reading_load(uncached));
    placed_work running(
        run.runner,
        {.kv_tokens = info_.work->input + info_.work->output, .in_flight = 1});
    note_shared_parts(*run.runner,
                      run.reader ? duration{}
                                 : policy::from_seconds(decode.total_seconds));
    stream_end end =
        co_await try_stream(run.runner, std::move(options), reading);
    if (answer_begun_)
        note_parts(*run.runner, parts_, duration{});
    if (caller_left_)
        co_return loop_step::again;
    next_step step = next(end.result, run.runner, end.answer.failure);
    if (step == next_step::retry && move_run(run, end.result))
        co_return loop_step::run_again;
    if (is_rejected(end.result))
        release(run.kv);
    // The budget that the retry has taken is for its run; its reading is
    // another call.
    if (step == next_step::retry && run.reader && !fleet_->retries.try_retry())
        step = next_step::refuse;
    if (step == next_step::retry)
    {
        if (answer_begun_)
            observe::log(event::gateway_stream_resumed,
                         {{"request", info_.id.value},
                          {"from", run.runner->record.id.value},
                          {"after_event", events_.last_id().value_or(0)}});
        events_.restart();
        co_return loop_step::again;
    }
    co_await finish(std::move(end), step);
    co_return loop_step::ended;
}

asio::awaitable<void> exchange::finish(stream_end end, next_step step)
{
    if (end.is_whole_stream)
        co_return log_ended("answered", 200);
    if (answer_begun_ || step == next_step::fail)
        co_return co_await fail(end.result);
    if (step == next_step::deliver)
        co_return co_await deliver(std::move(end.answer));
    co_await refuse(to_string(end.result));
}

asio::awaitable<exchange::stream_end>
exchange::try_stream(upstream_ptr u, send_options options, placed_work& reading)
{
    upstream_call call(u->connections, make_call(u, options));
    current_call current(call_, call);
    last_upstream_ = u->record.id.value;
    ordered_try order(options.kv.empty() ? u->open_whole_runs : u->open_runs,
                      policy::load_rank(route_->priority),
                      [&] { give_up_stalled(*u, call, false); });
    stream_end end;
    end.answer.status = co_await call.start();
    if (end.answer.status != call_status::ok)
    {
        end.result = result_of(end.answer.status);
        end.answer.failure = call.failure();
        co_return end;
    }
    end.answer.info = call.info();
    if (call.info().status == 200 && !call.info().not_run &&
        call.info().is_signed)
    {
        end.answer.status = co_await forward_events(call, reading, order);
        end.is_whole_stream = end.answer.status == call_status::ok;
        end.result = result_of(end.answer.status);
        end.answer.failure = call.failure();
        co_return end;
    }
    end.answer.status =
        co_await call.read_all(end.answer.body, max_plain_answer);
    end.answer.head = platform::forwardable(call.head());
    end.result = judge_for_caller(end.answer);
    co_return end;
}

asio::awaitable<call_status> exchange::forward_events(upstream_call& call,
                                                      placed_work& reading,
                                                      ordered_try& order)
{
    std::string bytes;
    bool is_end = false;
    // Until its first event an engine may be reading, however long.
    mono_time limit = mono_time::max();
    while (!is_end)
    {
        bytes.clear();
        const call_status status =
            co_await call.read_some(bytes, is_end, limit);
        if (status != call_status::ok)
            co_return status;
        std::string events = events_.add(bytes);
        if (events_.partial_event().size() > max_event)
            co_return call_status::broken;
        if (events.empty())
            continue;
        reading.end();
        order.answered();
        co_await forward_piece(call, std::move(events));
        limit = next_event_limit();
    }
    if (events_.has_partial_event())
        co_return call_status::broken;
    if (!answer_begun_)
        co_await forward_piece(call, "");
    co_await out_.end();
    co_return call_status::ok;
}

/// Bytes of an event that is not complete do not count: an engine in trouble
/// may send one now and then.
mono_time exchange::next_event_limit() const
{
    if (!may_give_up(false))
        return mono_time::max();
    return now() +
           policy::from_seconds(policy::seconds(patience()) * stalled_share);
}

asio::awaitable<void> exchange::forward_piece(upstream_call& call,
                                              std::string events)
{
    if (!answer_begun_)
    {
        answer_begun_ = true;
        first_event_after_ = now() - request_.received;
        state_.metrics.record_first_event(service_.value, route_->priority,
                                          first_event_after_);
        co_await out_.begin(platform::forwardable(call.head()));
    }
    if (events.empty())
        co_return;
    if (last_event_ != mono_time{})
        longest_pause_ = std::max(longest_pause_, now() - last_event_);
    last_event_ = now();
    co_await out_.write(events);
}

void exchange::log_placed(const stream_run& run) const
{
    const policy::placement_choice& first =
        run.plan.prefill ? *run.plan.prefill : run.plan.decode;
    observe::log(
        event::gateway_request_placed,
        {{"request", info_.id.value},
         {"service", service_.value},
         {"priority", route_->priority},
         {"input", info_.work->input.value},
         {"uncached", first.uncached.value},
         {"fetched", first.fetched.value},
         {"fetched_from",
          first.source ? fleet_->members[*first.source]->record.id.value : ""},
         {"reader", run.reader ? run.reader->record.id.value : ""},
         {"runner", run.runner->record.id.value},
         {"holds", holds_},
         {"wait_ms", std::int64_t(first.wait_seconds * 1000)},
         {"read_ms", std::int64_t(first.total_seconds * 1000)},
         {"left_ms", to_milliseconds(time_left())}});
}

} // namespace poplar::gateway
