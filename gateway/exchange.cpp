#include "gateway/exchange.hpp"

#include "observe/log.hpp"
#include "platform/wire.hpp"
#include "policy/call_placement.hpp"

#include <algorithm>

namespace poplar::gateway
{

namespace
{

using observe::event;
using std::chrono::milliseconds;

/// Longest wait when the caller states none.
constexpr duration default_time_left = std::chrono::seconds(30);
/// The upstream is told of the time left and ends by itself; its answer may
/// take this long to arrive.
constexpr duration answer_margin = milliseconds(120);
/// A kept connection that was idle for longer may have been closed unnoticed;
/// requests that may run only once do not use it.
constexpr duration max_idle_once = milliseconds(1000);
/// A request with less time left is not sent again.
constexpr duration shortest_try = milliseconds(40);
/// Retries that must be left for a stalled request to be sent again.
constexpr double least_retries_for_stalled = 2;
/// Least pause that a refused caller is asked for.
constexpr duration shortest_retry_after = milliseconds(100);
/// Part of the caller's time that the pause may take; callers do not come back
/// after a longer one.
constexpr double retry_after_share = 0.25;

std::string text_of(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

exchange::exchange(gateway_state& state, caller_request request,
                   answer_writer& out)
    : state_(state), request_(std::move(request)), out_(out),
      info_(platform::decode_request(request_.head)),
      routing_(state.current_routing)
{
    if (info_.work)
        for (const prompt_part& it : info_.work->parts)
            parts_.push_back({it.part.value, it.tokens});
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

void exchange::caller_left()
{
    caller_left_ = true;
    if (call_)
        call_->cancel();
}

duration exchange::time_left() const
{
    return std::max<duration>(ends_at_ - now(), milliseconds(1));
}

bool exchange::find_route()
{
    route_ = routing_->table.find(text_of(request_.head[http::field::host]),
                                  text_of(request_.head.target()));
    if (!route_)
        return false;
    const duration patience = info_.time_left.value_or(default_time_left);
    ends_at_ = request_.received + std::min(patience, route_->timeout);
    std::uniform_real_distribution<double> unit(0, 1);
    service_ = choose_target(*route_, unit(state_.random));
    history_.most_runs = route_->max_attempts;
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
    if (state_.rejects_new_requests)
        co_return co_await refuse("shutting_down");
    const gateway_limits& limits = state_.settings.limits;
    if (state_.open_requests > limits.max_open_requests ||
        state_.body_bytes > std::size_t(limits.max_body_bytes.value))
        co_return co_await refuse("gateway_full");
    fleet_ = state_.upstreams.find(service_);
    if (!fleet_ || fleet_->members.empty())
        co_return co_await refuse("no_upstream");
    fleet_->retries.record_first_attempt();
    if (info_.work && has_engines(*fleet_))
        co_await run_streams();
    else
        co_await run_calls();
}

std::vector<std::size_t> exchange::excluded() const
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < fleet_->members.size(); ++i)
        if (std::ranges::find(failed_at_, fleet_->members[i]->record.id) !=
            failed_at_.end())
            indices.push_back(i);
    return indices;
}

upstream_ptr exchange::choose_call_instance()
{
    const auto instances = engines_of(*fleet_);
    const auto i =
        policy::choose_instance({}, instances, state_.settings.failure_domain,
                                excluded(), state_.random());
    return i ? fleet_->members[*i] : nullptr;
}

send_options exchange::options_for(const upstream& u) const
{
    send_options o;
    o.upstream = u.record.id;
    o.time_left = time_left();
    if (info_.work)
        o.priority = std::min(route_->priority, 9U);
    return o;
}

call_request exchange::make_call(const upstream_ptr& u,
                                 const send_options& options) const
{
    call_request c;
    c.head = platform::encode_request(request_.head, options);
    c.body = request_.body;
    c.id = info_.id;
    c.time_limit = options.time_left + answer_margin;
    if (!history_.is_repeatable && !options.prefill_only)
        c.max_idle = max_idle_once;
    c.hooks = state_.upstreams.hooks_for(u);
    return c;
}

asio::awaitable<exchange::plain_answer>
exchange::try_plain(upstream_ptr u, send_options options)
{
    upstream_call call(u->connections, make_call(u, options));
    current_call current(call_, call);
    last_upstream_ = u->record.id.value;
    ordered_try order(options.prefill_only ? u->open_readings : u->open_calls,
                      policy::load_rank(route_->priority),
                      [&] { give_up_stalled(*u, call, options.prefill_only); });
    plain_answer a;
    a.status = co_await call.start();
    if (a.status == call_status::ok)
        order.answered();
    if (a.status == call_status::ok)
    {
        a.info = call.info();
        a.status = co_await call.read_all(a.body, max_plain_answer);
    }
    if (a.status != call_status::ok)
    {
        a.failure = call.failure();
        co_return a;
    }
    a.head = platform::forwardable(call.head());
    co_return a;
}

/// Not with the last of the budget, which is kept for upstreams that fail at
/// once.
bool exchange::may_give_up(bool reads_only) const
{
    try_history after = history_;
    ++after.tries;
    ++(reads_only ? after.readings : after.runs);
    after.has_time = time_left() > shortest_try;
    const bool has_budget =
        fleet_->retries.available() >= least_retries_for_stalled;
    if (reads_only)
        return has_budget && after.tries < most_tries && may_read_again(after);
    return after_try(try_result::stalled, after, [&] { return has_budget; }) ==
           next_step::retry;
}

void exchange::give_up_stalled(const upstream& u, upstream_call& call,
                               bool reads_only) const
{
    if (call.is_given_up() || !may_give_up(reads_only))
        return;
    observe::log(event::gateway_try_stalled,
                 {{"request", info_.id.value},
                  {"upstream", u.record.id.value},
                  {"left_ms", to_milliseconds(time_left())}});
    call.give_up_stalled();
}

try_result exchange::result_of(call_status status)
{
    switch (status)
    {
    case call_status::ok:
        return try_result::answered;
    case call_status::not_connected:
        return try_result::not_sent;
    case call_status::stalled:
        return try_result::stalled;
    case call_status::timed_out:
        return try_result::timed_out;
    case call_status::broken:
    case call_status::canceled:
        break;
    }
    return try_result::lost;
}

try_result exchange::judge(const plain_answer& answer) const
{
    if (answer.status != call_status::ok)
        return result_of(answer.status);
    if (answer.info.not_run)
        return try_result::not_run;
    return answer.info.status >= 500 ? try_result::answered_error
                                     : try_result::answered;
}

/// A success without signature may be the end of another answer.
try_result exchange::judge_for_caller(const plain_answer& answer) const
{
    const try_result result = judge(answer);
    const bool is_unsigned =
        answer.info.status / 100 == 2 && !answer.info.is_signed;
    return result == try_result::answered && is_unsigned ? try_result::lost
                                                         : result;
}

void exchange::record_health(try_result result, upstream& u) const
{
    switch (result)
    {
    case try_result::answered:
        u.health.record_success();
        break;
    case try_result::not_sent:
        u.health.record_unreachable(now());
        break;
    case try_result::answered_error:
    case try_result::lost:
    case try_result::stalled:
    case try_result::timed_out:
    case try_result::not_run:
        u.health.record_failure();
        break;
    }
    u.update_placed(now());
}

/// Counts a try and decides what comes next.
next_step exchange::next(try_result result, const upstream_ptr& u,
                         const std::string& failure)
{
    ++history_.tries;
    if (result != try_result::not_sent && result != try_result::not_run)
        ++history_.runs;
    record_health(result, *u);
    state_.metrics.record_attempt(service_.value, to_string(result));
    history_.has_time = ends_at_ - now() > shortest_try;
    const next_step step = after_try(
        result, history_, [&] { return fleet_->retries.try_retry(); });
    if (result != try_result::answered)
    {
        failed_at_.push_back(u->record.id);
        observe::log(event::gateway_try_failed,
                     {{"request", info_.id.value},
                      {"upstream", u->record.id.value},
                      {"result", to_string(result)},
                      {"failure", failure},
                      {"try", history_.tries},
                      {"runs", history_.runs},
                      {"retry", step == next_step::retry ? "yes" : "no"},
                      {"failure_percent", int(u->health.failure_share() * 100)},
                      {"left_ms", to_milliseconds(time_left())}});
    }
    return step;
}

asio::awaitable<void> exchange::run_calls()
{
    while (!caller_left_)
    {
        const upstream_ptr u = choose_call_instance();
        if (!u)
            co_return co_await refuse_without_upstream("no_usable_upstream");
        plain_answer a;
        {
            placed_work work(u, {.in_flight = 1});
            a = co_await try_plain(u, options_for(*u));
        }
        if (caller_left_)
            break;
        const try_result result = judge_for_caller(a);
        switch (next(result, u, a.failure))
        {
        case next_step::deliver:
            co_return co_await deliver(std::move(a));
        case next_step::retry:
            break;
        case next_step::refuse:
            co_return co_await refuse(to_string(result));
        case next_step::fail:
            co_return co_await fail(result);
        }
    }
    log_ended("caller_left", 0);
}

asio::awaitable<void> exchange::deliver(plain_answer answer)
{
    const unsigned status = answer.info.status;
    co_await out_.send(std::move(answer.head), std::move(answer.body));
    log_ended("answered", status);
}

asio::awaitable<void> exchange::refuse(const std::string& reason)
{
    const duration left = info_.time_left.value_or(default_time_left);
    co_await refuse(reason,
                    std::max(shortest_retry_after,
                             duration(std::int64_t(double(left.count()) *
                                                   retry_after_share))));
}

asio::awaitable<void> exchange::refuse(const std::string& reason,
                                       duration pause)
{
    if (answer_begun_ || history_.runs > 0)
        co_return co_await fail(try_result::lost);
    co_await out_.send(platform::make_refusal(503, info_.id, pause), "");
    log_ended("refused: " + reason, 503);
}

asio::awaitable<void>
exchange::refuse_without_upstream(const std::string& reason)
{
    const auto pause = fleet::shortest_pause(*fleet_, now());
    if (!pause || history_.tries > 0)
        co_return co_await refuse(reason);
    co_await refuse(reason, std::max(shortest_retry_after, *pause));
}

asio::awaitable<void> exchange::reject(unsigned status,
                                       const std::string& reason)
{
    co_await out_.send(platform::make_failure(status, info_.id), "");
    log_ended("rejected: " + reason, status);
}

asio::awaitable<void> exchange::fail(try_result result)
{
    const unsigned status = result == try_result::timed_out ? 504 : 502;
    if (answer_begun_)
        out_.abort();
    else
        co_await out_.send(platform::make_failure(status, info_.id), "");
    log_ended("failed: " + to_string(result), status);
}

void exchange::log_ended(const std::string& outcome, unsigned status)
{
    const duration taken = now() - request_.received;
    const unsigned priority = route_ ? route_->priority : 9;
    state_.metrics.record_request(service_.value, priority,
                                  outcome.substr(0, outcome.find(':')), taken);
    observe::log(
        event::gateway_request_ended,
        {{"request", info_.id.value},
         {"service", service_.value},
         {"priority", priority},
         {"outcome", outcome},
         {"status", status},
         {"upstream", last_upstream_},
         {"tries", history_.tries},
         {"prompt_read_ms", to_milliseconds(prompt_read_after_)},
         {"first_event_ms", to_milliseconds(first_event_after_)},
         {"longest_pause_ms", to_milliseconds(longest_pause_)},
         {"pause_target_ms",
          route_ ? to_milliseconds(route_->pause_target) : 0},
         {"taken_ms", to_milliseconds(taken)},
         {"target_ms", route_ ? to_milliseconds(route_->target) : 0},
         {"configuration", routing_ ? routing_->config.version.value : 0}});
}

} // namespace poplar::gateway
