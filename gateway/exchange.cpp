#include "gateway/exchange.hpp"

#include "observe/log.hpp"
#include "platform/wire.hpp"
#include "policy/call_placement.hpp"

#include <algorithm>
#include <ranges>

namespace poplar::gateway
{

namespace
{

using observe::event;
using std::chrono::milliseconds;

/// Timeout of callers that state none.
constexpr duration default_caller_timeout = std::chrono::seconds(30);
/// The upstream receives the remaining time and ends the request itself; the
/// gateway waits this much longer for its answer to arrive.
constexpr duration answer_margin = milliseconds(120);
/// A pooled connection that was idle for longer may have been closed unnoticed;
/// requests that may execute only once do not use it.
constexpr duration max_idle_unrepeatable = milliseconds(1000);
/// A request with less remaining time is not retried.
constexpr duration min_attempt_time = milliseconds(40);
/// Retries that remain in the budget when a stalled request is retried.
constexpr double reserve_for_failures = 1;
/// Lower bound of the delay after which a refused caller is asked to retry,
/// except in refusals for overload.
constexpr duration min_retry_after = milliseconds(100);
/// Retry delay that a refusal asks for by default, as a share of the caller's
/// timeout; callers do not retry after a longer delay.
constexpr double retry_after_share = 0.25;

std::string text_of(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Whether a caller may take the status for a statement that its request was
/// not executed and never will be.
bool means_not_executed(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

exchange::exchange(gateway_state& state, caller_request request,
                   answer_writer& out)
    : state_(state), request_(std::move(request)), out_(out),
      info_(platform::decode_request(request_.head)),
      routing_(state.current_routing)
{
    if (info_.engine_prompt)
        for (const prefix_block& it : info_.engine_prompt->blocks)
            blocks_.push_back({it.digest.value, it.tokens});
    std::ranges::transform(
        blocks_ |
            std::views::take(std::max<std::size_t>(blocks_.size(), 1) - 1),
        std::back_inserter(shared_digests_), &policy::prefix_block::digest);
    ++state_.open_requests;
    state_.body_bytes += request_.body->size();
    state_.metrics.set_open_requests(state_.open_requests);
    if (info_.resume_after)
        events_.resume_after(*info_.resume_after);
}

exchange::~exchange()
{
    --state_.open_requests;
    state_.body_bytes -= request_.body->size();
    state_.metrics.set_open_requests(state_.open_requests);
}

void exchange::on_caller_disconnected()
{
    caller_disconnected_ = true;
    suspended_.reset();
    if (call_)
        call_->cancel();
}

void exchange::end_for_shutdown()
{
    is_shutting_down_ = true;
    if (answer_started_)
        return;
    deadline_ = now(); // No further attempt has time.
    if (block_wait_)
        block_wait_->cancel();
    if (call_)
        call_->give_up_stalled();
}

duration exchange::remaining_time() const
{
    return std::max<duration>(deadline_ - now(), milliseconds(1));
}

bool exchange::find_route()
{
    route_ = routing_->table.find(text_of(request_.head[http::field::host]),
                                  text_of(request_.head.target()));
    if (!route_)
        return false;
    const duration caller_timeout =
        info_.caller_timeout.value_or(default_caller_timeout);
    deadline_ = request_.received + std::min(caller_timeout, route_->timeout);
    std::uniform_real_distribution<double> unit(0, 1);
    service_ = choose_target(*route_, unit(state_.random));
    history_.max_executions = route_->max_attempts;
    history_.is_repeatable =
        route_->kind == call_kind::idempotent ||
        (route_->kind == call_kind::stream && route_->resumable);
    return true;
}

asio::awaitable<void> exchange::run()
{
    if (!routing_)
        co_return co_await refuse("no_configuration");
    if (!find_route())
        co_return co_await reject(404, "no_route");
    if (!find_account())
        co_return co_await refuse_unknown_key();
    if (state_.rejects_new_requests)
        co_return co_await refuse("shutting_down");
    fingerprint_ = make_fingerprint();
    limit_attempts_of_suspect();
    const gateway_limits& limits = state_.settings.limits;
    if (state_.open_requests > limits.max_open_requests ||
        state_.body_bytes > std::size_t(limits.max_body_bytes.value))
        co_return co_await refuse("gateway_full");
    fleet_ = state_.upstreams.find(service_);
    if (!fleet_ || fleet_->members.empty())
        co_return co_await refuse("no_upstream");
    fleet_->retries.record_first_attempt();
    if (!co_await find_stream_version())
        co_return;
    if (info_.engine_prompt && has_engines(*fleet_))
        co_await serve_stream();
    else
        co_await serve_call();
}

std::vector<std::size_t> exchange::excluded_indices() const
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < fleet_->members.size(); ++i)
        if (!may_serve_stream(*fleet_->members[i]) ||
            std::ranges::find(failed_upstreams_,
                              fleet_->members[i]->record.id) !=
                failed_upstreams_.end())
            indices.push_back(i);
    return indices;
}

upstream_ptr exchange::choose_call_upstream()
{
    const auto instances = engines_of(*fleet_, now());
    const auto i =
        policy::choose_instance({}, instances, state_.settings.failure_domain,
                                excluded_indices(), state_.random());
    return i ? fleet_->members[*i] : nullptr;
}

send_options exchange::options_for(const upstream& u) const
{
    send_options o;
    o.upstream = u.record.id;
    o.remaining_time = remaining_time();
    if (info_.engine_prompt)
        o.priority = priority();
    if (routing_->accounts)
    {
        o.replaces_account = true;
        if (account_)
            o.account = account_->name;
    }
    return o;
}

call_request exchange::make_call(const upstream_ptr& u,
                                 const send_options& options) const
{
    call_request c;
    c.head = platform::encode_request(request_.head, options);
    c.body = request_.body;
    c.id = info_.id;
    c.needs_new_connection = info_.id.empty();
    c.timeout = options.remaining_time + answer_margin;
    if (!history_.is_repeatable && !options.prefill_only)
        c.max_idle = max_idle_unrepeatable;
    c.hooks = state_.upstreams.begin_call(u);
    return c;
}

asio::awaitable<exchange::buffered_answer>
exchange::attempt_buffered(upstream_ptr u, send_options options)
{
    upstream_call call(u->connections, make_call(u, options));
    scoped_current_call current(call_, call);
    last_upstream_ = u->record.id.value;
    tracked_attempt tracked(
        options.prefill_only ? u->open_prefills : u->open_calls, rank(),
        [&] { give_up_stalled(*u, call, options.prefill_only); });
    buffered_answer a;
    a.status = co_await call.start();
    if (a.status == call_status::ok)
        tracked.answered();
    if (a.status == call_status::ok)
    {
        a.info = call.info();
        // Read before the body, whose trailer the parser adds to the head.
        a.head = platform::forwardable(call.head());
        a.status = co_await call.read_all(a.body, max_buffered_answer);
    }
    if (a.status != call_status::ok)
        a.failure = call.failure();
    co_return a;
}

/// Requires more than the last retry of the budget, which is reserved for
/// upstreams that fail immediately.
bool exchange::may_give_up(const upstream& u, bool prefill_only) const
{
    attempt_history after = history_;
    ++after.attempts;
    ++(prefill_only ? after.prefill_calls : after.executions);
    after.has_time = remaining_time() > min_attempt_time;
    const bool has_budget =
        fleet_->retries.available() >=
        retries_for_another(prefill_only) + reserve_for_failures;
    if (prefill_only)
        return has_budget && after.attempts < max_total_attempts &&
               may_prefill_again(after) && has_alternative(u);
    return decide_next_step(attempt_result::stalled, after,
                            [&] { return has_budget; }) == next_step::retry &&
           has_alternative(u);
}

void exchange::give_up_stalled(const upstream& u, upstream_call& call,
                               bool prefill_only)
{
    if (call.is_given_up() || !may_give_up(u, prefill_only) ||
        !reserve_retries(prefill_only))
        return;
    observe::log(event::gateway_try_stalled,
                 {{"request", info_.id.value},
                  {"upstream", u.record.id.value},
                  {"left_ms", to_milliseconds(remaining_time())}});
    call.give_up_stalled();
}

attempt_result exchange::result_of(call_status status)
{
    switch (status)
    {
    case call_status::ok:
        return attempt_result::answered;
    case call_status::not_connected:
        return attempt_result::not_sent;
    case call_status::stalled:
    case call_status::interrupted:
        return attempt_result::stalled;
    case call_status::timed_out:
        return attempt_result::timed_out;
    case call_status::broken:
    case call_status::canceled:
        break;
    }
    return attempt_result::lost;
}

attempt_result exchange::classify(const buffered_answer& answer) const
{
    if (answer.status != call_status::ok)
        return result_of(answer.status);
    if (answer.info.not_executed)
        return attempt_result::not_run;
    return answer.info.status >= 500 ? attempt_result::answered_error
                                     : attempt_result::answered;
}

/// Treats an unsigned success as lost, since it may be the end of an answer to
/// another request, and so a status that tells the caller that the request was
/// not executed if the upstream does not state that.
attempt_result
exchange::classify_for_caller(const buffered_answer& answer) const
{
    const attempt_result result = classify(answer);
    const bool is_unsigned =
        answer.info.status / 100 == 2 && !answer.info.is_signed;
    const bool is_answer = result == attempt_result::answered ||
                           result == attempt_result::answered_error;
    return is_answer && (is_unsigned || means_not_executed(answer.info.status))
               ? attempt_result::lost
               : result;
}

void exchange::record_health(attempt_result result, upstream& u) const
{
    switch (result)
    {
    case attempt_result::answered:
        u.health.record_success();
        break;
    case attempt_result::not_sent:
        u.health.record_unreachable(now());
        break;
    case attempt_result::answered_error:
    case attempt_result::lost:
    case attempt_result::stalled:
    case attempt_result::timed_out:
    case attempt_result::not_run:
        u.health.record_failure();
        break;
    }
    u.update_placed(now());
}

/// Records the result of an attempt and decides the next step.
next_step exchange::finish_attempt(attempt_result result, const upstream_ptr& u,
                                   const std::string& failure)
{
    ++history_.attempts;
    if (result != attempt_result::not_sent && result != attempt_result::not_run)
        ++history_.executions;
    record_health(result, *u);
    state_.metrics.record_attempt(service_.value, to_string(result));
    history_.has_time = deadline_ - now() > min_attempt_time;
    const next_step step =
        decide_next_step(result, history_, [&] { return take_retry(); });
    if (result != attempt_result::answered)
    {
        failed_upstreams_.push_back(u->record.id);
        observe::log(event::gateway_try_failed,
                     {{"request", info_.id.value},
                      {"upstream", u->record.id.value},
                      {"result", to_string(result)},
                      {"failure", failure},
                      {"try", history_.attempts},
                      {"runs", history_.executions},
                      {"retry", step == next_step::retry ? "yes" : "no"},
                      {"failure_percent", int(u->health.failure_share() * 100)},
                      {"left_ms", to_milliseconds(remaining_time())}});
    }
    return step;
}

asio::awaitable<void> exchange::serve_call()
{
    while (!caller_disconnected_)
    {
        if (co_await refuse_if_fatal())
            co_return;
        const upstream_ptr u = choose_call_upstream();
        if (!u)
            co_return co_await refuse_without_upstream("no_usable_upstream");
        const mono_time sent = now();
        buffered_answer a;
        {
            load_guard call_guard(u, {.in_flight = 1});
            a = co_await attempt_buffered(u, options_for(*u));
        }
        const attempt_result result = classify_for_caller(a);
        count_call(result, sent);
        note_broken_off(u, result, a.status == call_status::ok);
        if (caller_disconnected_)
            break;
        switch (finish_attempt(result, u, a.failure))
        {
        case next_step::deliver:
            if (route_->kind == call_kind::stream)
                note_stream_begun(*u);
            co_return co_await deliver(std::move(a));
        case next_step::retry:
            break;
        case next_step::refuse:
            co_return co_await refuse(to_string(result));
        case next_step::fail:
            co_return co_await fail(result);
        }
    }
    log_unanswered();
}

asio::awaitable<void> exchange::deliver(buffered_answer answer)
{
    const unsigned status = answer.info.status;
    // An upstream that gave up on a request may not have run it.
    if (status < 500)
        note_completed();
    co_await out_.send(std::move(answer.head), std::move(answer.body));
    log_ended("answered", status);
}

asio::awaitable<void> exchange::refuse(const std::string& reason)
{
    const duration timeout =
        info_.caller_timeout.value_or(default_caller_timeout);
    co_await refuse(reason,
                    std::max(min_retry_after,
                             duration(std::int64_t(double(timeout.count()) *
                                                   retry_after_share))));
}

asio::awaitable<void> exchange::refuse(const std::string& reason,
                                       duration pause)
{
    if (answer_started_ || history_.executions > 0)
        co_return co_await fail(attempt_result::lost);
    co_await out_.send(platform::make_refusal(503, info_.id, pause), "");
    log_ended("refused: " + reason, 503);
}

asio::awaitable<void>
exchange::refuse_without_upstream(const std::string& reason)
{
    const auto pause = fleet::shortest_pause(*fleet_, now());
    if (!pause || history_.attempts > 0)
        co_return co_await refuse(reason);
    co_await refuse(reason, std::max(min_retry_after, *pause));
}

asio::awaitable<void> exchange::reject(unsigned status,
                                       const std::string& reason)
{
    co_await out_.send(platform::make_failure(status, info_.id), "");
    log_ended("rejected: " + reason, status);
}

asio::awaitable<void> exchange::fail(attempt_result result)
{
    if (suspended_)
        co_return; // `serve_stream` goes on with that attempt.
    const unsigned status = result == attempt_result::timed_out ? 504 : 502;
    is_answer_cut_ = answer_started_;
    if (answer_started_)
        out_.abort();
    else
        co_await out_.send(platform::make_failure(status, info_.id), "");
    log_ended("failed: " +
                  (is_shutting_down_ ? "shutting_down" : to_string(result)),
              status);
}

void exchange::log_unanswered()
{
    if (!is_shutting_down_)
        return log_ended("caller_left", 0);
    is_answer_cut_ = answer_started_;
    log_ended("failed: shutting_down", 0);
}

void exchange::log_ended(const std::string& outcome, unsigned status)
{
    const duration taken = now() - request_.received;
    const unsigned priority = route_ ? this->priority() : 9;
    const std::string kind = outcome.substr(0, outcome.find(':'));
    state_.metrics.record_request(service_.value, priority, kind, taken);
    if (account_)
        state_.metrics.record_account(account_->name, kind, taken);
    observe::log(
        event::gateway_request_ended,
        {{"request", info_.id.value},
         {"service", service_.value},
         {"account", account_ ? account_->name.value : ""},
         {"priority", priority},
         {"outcome", outcome},
         {"status", status},
         {"cut", is_answer_cut_ ? "yes" : "no"},
         {"upstream", last_upstream_},
         {"tries", history_.attempts},
         {"prompt_read_ms", to_milliseconds(prefill_latency_)},
         {"first_event_ms", to_milliseconds(first_event_latency_)},
         {"longest_pause_ms", to_milliseconds(longest_pause_)},
         {"pause_target_ms",
          route_ ? to_milliseconds(route_->pause_target) : 0},
         {"taken_ms", to_milliseconds(taken)},
         {"target_ms", route_ ? to_milliseconds(route_->target) : 0},
         {"configuration", routing_ ? routing_->config.version.value : 0}});
}

} // namespace poplar::gateway
