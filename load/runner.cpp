#include "load/runner.hpp"

#include <algorithm>

namespace poplar::load
{

namespace
{

using nlohmann::json;

/// Pause after a refusal that names no time, so that refusals of requests
/// kept open do not follow each other without end.
constexpr duration refusal_pause = std::chrono::milliseconds(100);

/// Requests kept open begin one after the other by this much.
constexpr duration ramp_step = std::chrono::milliseconds(1);

constexpr std::size_t kept_raw_bytes = 4096;
constexpr unsigned connections_per_target = 100'000;

std::string chat_body(const open_request& r, const work_class& c)
{
    const json messages =
        json::array({{{"role", "user"}, {"content", r.chat.prompt}}});
    return json{{"model", c.model},
                {"messages", messages},
                {"max_tokens", r.chat.max_tokens},
                {"stream", c.stream}}
        .dump();
}

std::string engine_body(const open_request& r, const work_class& c)
{
    return json{{"request_id", r.key},
                {"model", c.model},
                {"prompt", r.chat.prompt},
                {"max_tokens", r.chat.max_tokens},
                {"priority", 0}}
        .dump();
}

void add_header(net::client_request& request, const char* name,
                const std::string& value)
{
    if (!value.empty())
        request.headers.push_back({name, value});
}

void add_headers(net::client_request& request, const work_class& c,
                 const std::string& key)
{
    add_header(request, "Content-Type", "application/json");
    add_header(request, "Poplar-Tenant", c.tenant);
    add_header(request, "Poplar-Rank", c.rank);
    if (c.deadline > duration::zero())
        add_header(request, "Poplar-Deadline-Ms",
                   std::to_string(to_milliseconds(c.deadline)));
    if (c.keyed)
        add_header(request, "Idempotency-Key", key);
}

} // namespace

runner::runner(workload w) : workload_(std::move(w)), start_(now())
{
    for (const work_class& c : workload_.classes)
    {
        reports_.emplace_back(c);
        sources_.emplace_back(c, workload_.seed);
    }
    for (unsigned i = 0; i < workload_.clients; ++i)
        clients_.push_back(
            std::make_unique<net::http_client>(connections_per_target));
}

runner::~runner()
{
    clients_.clear();
}

const work_class& runner::class_of(const open_request& r) const
{
    return workload_.classes[r.class_index];
}

void runner::schedule(mono_time at, action a)
{
    absl::MutexLock lock(&mutex_);
    actions_.emplace(at, std::move(a));
    changed_.Signal();
}

void runner::start_classes()
{
    for (std::size_t i = 0; i < workload_.classes.size(); ++i)
    {
        const work_class& c = workload_.classes[i];
        mono_time at = start_ + c.start;
        if (c.rate > 0)
            plan_arrival(i, at);
        for (unsigned n = 0; n < c.open; ++n, at += ramp_step)
            schedule(at, [this, i] { start_new(i); });
    }
}

bool runner::is_over(std::size_t class_index) const
{
    const duration passed = now() - start_;
    return passed >= workload_.length ||
           passed >= workload_.classes[class_index].stop;
}

void runner::plan_arrival(std::size_t class_index, mono_time last)
{
    // Counted from the planned time of the last arrival, so that a late
    // thread does not lower the rate.
    const mono_time at = last + sources_[class_index].next_gap();
    schedule(at, [this, class_index, at] { arrive(class_index, at); });
}

void runner::arrive(std::size_t class_index, mono_time at)
{
    if (is_over(class_index))
        return;
    plan_arrival(class_index, at);
    start_new(class_index);
}

void runner::start_new(std::size_t class_index)
{
    if (is_over(class_index))
        return;
    auto r = std::make_shared<open_request>(workload_.protocol);
    r->class_index = class_index;
    request_source& source = sources_[class_index];
    r->key = source.next_key();
    r->call_body = "call " + r->key;
    if (class_of(*r).kind == work_kind::chat)
        r->chat = source.next_chat();
    {
        absl::MutexLock lock(&mutex_);
        ++reports_[class_index].sent;
        ++open_;
    }
    r->sent = now();
    r->last_event = r->sent;
    send(r);
}

net::client_request runner::make_request(const open_request& r)
{
    const work_class& c = class_of(r);
    net::client_request request;
    {
        absl::MutexLock lock(&mutex_);
        request.to =
            workload_.targets[next_target_++ % workload_.targets.size()];
    }
    request.timeout = c.timeout;
    request.method = "POST";
    add_headers(request, c, r.key);
    if (c.kind == work_kind::call)
    {
        request.method = c.method;
        request.path = "/services/" + c.service + c.path;
        request.body = r.call_body;
        return request;
    }
    const bool direct = workload_.protocol == protocol::engine;
    request.path = direct ? "/v1/generate" : "/v1/chat/completions";
    request.body = direct ? engine_body(r, c) : chat_body(r, c);
    return request;
}

void runner::send(const request_ptr& r)
{
    ++r->attempts;
    const work_class& c = class_of(*r);
    net::client_hooks hooks;
    if (c.kind == work_kind::chat && c.stream)
        hooks.body_piece = [this, r](std::string_view piece)
        {
            take_piece(*r, piece);
            return true;
        };
    hooks.done = [this, r](const net::client_result& result)
    {
        finish(r, result);
    };
    const std::size_t client = r->class_index + r->key.size() +
                               static_cast<unsigned char>(r->key.back());
    clients_[client % clients_.size()]->start(make_request(*r),
                                              std::move(hooks));
}

void runner::take_piece(open_request& r, std::string_view piece) const
{
    if (r.reader.text().empty() && r.raw.size() < kept_raw_bytes)
        r.raw.append(piece);
    const bool first = r.reader.text().empty();
    if (r.reader.feed(piece) == 0)
        return;
    const mono_time at = now();
    if (first)
        r.measured.first_token = at - r.sent;
    else
        r.measured.intervals.push_back(at - r.last_event);
    r.last_event = at;
}

bool runner::try_again(const request_ptr& r, const net::client_result& result)
{
    // A balancer in front of the entries would pick another one.
    if (result.failure == net::client_failure::not_connected &&
        ++r->targets_tried < workload_.targets.size())
    {
        schedule(now(), [this, r] { send(r); });
        return true;
    }
    const work_class& c = class_of(*r);
    if (c.kind != work_kind::call || r->attempts > c.retries ||
        r->measured.result == outcome::completed ||
        r->measured.result == outcome::mixed || is_over(r->class_index))
        return false;
    const duration wait =
        std::max(refusal_pause, retry_after_of(result.response.body));
    schedule(now() + wait, [this, r] { send(r); });
    return true;
}

void runner::finish(const request_ptr& r, const net::client_result& result)
{
    const work_class& c = class_of(*r);
    r->measured.ran.clear();
    if (c.kind == work_kind::chat)
        judge_chat(*r, result, c, workload_.check_text);
    else
        judge_call(*r, result, workload_.check_text);
    if (result.failure != net::client_failure::canceled && try_again(r, result))
        return;
    if (c.kind == work_kind::call || !c.stream)
        r->measured.first_token = now() - r->sent;
    const bool refused = r->measured.result != outcome::completed;
    const duration asked =
        retry_after_of(c.stream ? r->raw : result.response.body);
    {
        absl::MutexLock lock(&mutex_);
        reports_[r->class_index].add(r->measured);
        --open_;
        changed_.Signal();
    }
    follow(r, refused ? std::max(refusal_pause, asked) : duration::zero());
}

void runner::follow(const request_ptr& r, duration pause)
{
    const std::size_t i = r->class_index;
    const work_class& c = class_of(*r);
    if (c.open > 0 && !r->is_repeat)
        schedule(now() + pause, [this, i] { start_new(i); });
    if (r->is_repeat || r->measured.result != outcome::completed ||
        c.repeat_rate == 0)
        return;
    schedule(now(),
             [this, r, i]
             {
                 if (!sources_[i].next_repeats())
                     return;
                 auto again =
                     std::make_shared<open_request>(workload_.protocol);
                 again->class_index = i;
                 again->key = r->key;
                 again->call_body = r->call_body;
                 again->is_repeat = true;
                 again->sent = now();
                 {
                     absl::MutexLock lock(&mutex_);
                     ++reports_[i].sent;
                     ++open_;
                 }
                 send(again);
             });
}

bool runner::take_due(action& a, mono_time until)
{
    absl::MutexLock lock(&mutex_);
    for (;;)
    {
        const mono_time at = now();
        if (at >= until || (at >= start_ + workload_.length && open_ == 0))
            return false;
        if (!actions_.empty() && actions_.begin()->first <= at)
        {
            a = std::move(actions_.begin()->second);
            actions_.erase(actions_.begin());
            return true;
        }
        mono_time next =
            at < start_ + workload_.length ? start_ + workload_.length : until;
        if (!actions_.empty())
            next = std::min(next, actions_.begin()->first);
        changed_.WaitWithTimeout(&mutex_, absl::FromChrono(next - at));
    }
}

void runner::run_until_drained()
{
    const mono_time until = start_ + workload_.length + workload_.drain;
    action a;
    while (take_due(a, until))
        a();
}

run_report runner::run()
{
    start_ = now();
    start_classes();
    run_until_drained();
    const duration elapsed = now() - start_;
    // Cancels what is still open, which is then counted as failed or cut.
    clients_.clear();
    absl::MutexLock lock(&mutex_);
    return {workload_.length, elapsed, reports_};
}

} // namespace poplar::load
