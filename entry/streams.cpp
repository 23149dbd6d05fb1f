#include "entry/streams.hpp"

#include "observe/log.hpp"

#include <algorithm>
#include <utility>

namespace poplar::entry
{

namespace
{

/// Placements tried until an engine with a usable connection is found.
constexpr unsigned max_placement_attempts = 8;

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

decision_kind kind_of(stream_event what)
{
    switch (what)
    {
    case stream_event::dispatched:
        return decision_kind::dispatched;
    case stream_event::attached:
        return decision_kind::attached;
    case stream_event::resumed:
        return decision_kind::resumed;
    case stream_event::retried:
        return decision_kind::retried;
    case stream_event::prefill_failed:
        return decision_kind::prefill_failed;
    case stream_event::handed_back:
        return decision_kind::handed_back;
    default:
        return decision_kind::upstream_lost;
    }
}

} // namespace

struct stream_table::stream
{
    stream(new_stream r, session_limits limits,
           std::function<std::uint64_t()> next_number)
        : view(std::move(r.view)),
          answer(std::move(r.responder), std::move(r.metadata), r.is_stream,
                 r.answer_buffer),
          session(std::move(r.work), limits, std::move(next_number))
    {
    }

    const request_view view;
    stream_histograms histograms;

    absl::Mutex mutex;
    chat_answer answer ABSL_GUARDED_BY(mutex);
    stream_session session ABSL_GUARDED_BY(mutex);
    /// Actions to perform. Performing one may add others; only the outermost
    /// call of perform() removes them.
    std::deque<stream_action> actions ABSL_GUARDED_BY(mutex);
    bool is_performing ABSL_GUARDED_BY(mutex) = false;
    bool was_refused ABSL_GUARDED_BY(mutex) = false;
    bool is_closed ABSL_GUARDED_BY(mutex) = false;
    bool awaits_drain ABSL_GUARDED_BY(mutex) = false;
    std::uint64_t number ABSL_GUARDED_BY(mutex) = 0;
    /// Engine of the last attempt.
    instance_id engine ABSL_GUARDED_BY(mutex);
    /// The last attempt has not ended.
    bool has_open_attempt ABSL_GUARDED_BY(mutex) = false;
    /// The policy's reason for the last placement.
    std::string reason ABSL_GUARDED_BY(mutex);
    mono_time last_token ABSL_GUARDED_BY(mutex);
};

stream_table::stream_table(path_services services, session_limits limits)
    : services_(std::move(services)), limits_(limits)
{
}

void stream_table::open(new_stream request)
{
    const std::string rank = request.rank_name;
    auto s = std::make_shared<stream>(std::move(request), limits_,
                                      services_.next_number);
    s->histograms = services_.metrics->histograms(rank, s->view.tenant);
    {
        absl::MutexLock lock(&mutex_);
        streams_by_id_[s->view.id] = s;
    }
    watch_caller(s);
    apply_admission(s, services_.policy->offer(s->view, now()));
}

void stream_table::apply_admission(const stream_ptr& s,
                                   const admission_answer& answer)
{
    const request_view& v = s->view;
    const std::string summary = "tenant " + v.tenant.value + ", rank " +
                                std::to_string(v.rank.value) + ": " +
                                answer.explanation;
    if (answer.verdict == dispatch_verdict::queued)
    {
        services_.decisions->add(decision_kind::queued, v.id, {}, summary);
        return;
    }
    const token_count output = answer.expected_output.value > 0
                                   ? answer.expected_output
                                   : v.max_output;
    const offered_work offered{v.prompt_tokens, output};
    const bool is_refused = answer.verdict == dispatch_verdict::refused;
    services_.decisions->add(is_refused ? decision_kind::refused
                                        : decision_kind::admitted,
                             v.id, {}, summary);
    if (is_refused)
    {
        services_.demand->refused(v.group, v.rank, offered);
        const failure why{failure_kind::overloaded, answer.explanation,
                          fb::ran_state::no, answer.retry_after};
        return feed(s,
                    [&](stream_session&)
                    {
                        s->mutex.AssertHeld();
                        s->was_refused = true;
                        return stream_actions{fail_answer{why}};
                    });
    }
    services_.demand->accepted(v.group, v.rank, offered);
    feed(s,
         [&](stream_session& session)
         {
             session.admit(answer.priority_boost, answer.split);
             return session.start(now());
         });
}

template <class Input>
void stream_table::feed(const stream_ptr& s, Input input)
{
    absl::MutexLock lock(&s->mutex);
    if (s->is_closed)
        return;
    perform(s, input(s->session));
}

template <class Input>
void stream_table::feed_all(Input input)
{
    for (const stream_ptr& s : all())
        feed(s, input);
}

void stream_table::perform(const stream_ptr& s, stream_actions actions)
{
    s->mutex.AssertHeld();
    std::ranges::move(actions, std::back_inserter(s->actions));
    if (std::exchange(s->is_performing, true))
        return;
    while (!s->actions.empty() && !s->is_closed)
    {
        stream_action a = std::move(s->actions.front());
        s->actions.pop_front();
        std::visit([&](auto& it) { act(s, it); }, a);
    }
    s->is_performing = false;
}

placement_result stream_table::place(const stream_ptr& s,
                                     const choose_upstream& a)
{
    s->mutex.AssertHeld();
    std::vector<instance_id> avoid = a.avoid;
    for (unsigned n = 0; n < max_placement_attempts; ++n)
    {
        const auto choice =
            services_.policy->choose(s->view, a.kind, avoid, now());
        if (!choice)
            break;
        const std::uint64_t connection =
            services_.links->usable_connection(choice->instance);
        if (connection != 0)
        {
            s->reason = choice->reason;
            return placement{choice->instance, connection};
        }
        services_.policy->leg_ended(s->view.id, choice->instance, now());
        avoid.push_back(choice->instance);
    }
    return no_placement{failure_kind::no_upstream,
                        "no engine of group " + s->view.group.value +
                            " takes new work",
                        std::chrono::seconds(1)};
}

void stream_table::act(const stream_ptr& s, choose_upstream& a)
{
    s->mutex.AssertHeld();
    if (a.is_retry)
        services_.metrics->retried();
    if (a.is_retry && !services_.policy->try_retry())
    {
        const no_placement no_retry{failure_kind::overloaded,
                                    "the retry budget is spent",
                                    std::chrono::seconds(1)};
        return perform(s, s->session.placed(now(), no_retry));
    }
    perform(s, s->session.placed(now(), place(s, a)));
}

bool stream_table::send(const stream_ptr& s, const send_message& a)
{
    s->mutex.AssertHeld();
    if (const auto* open = std::get_if<fb::open_streamT>(&a.message))
    {
        end_attempt(s);
        s->has_open_attempt = true;
        absl::MutexLock lock(&mutex_);
        streams_by_number_.erase(s->number);
        s->number = open->stream;
        s->engine = a.to;
        streams_by_number_[s->number] = s;
    }
    return services_.links->send(
        a.connection,
        std::visit([](const auto& m) { return wire::encode(m); }, a.message));
}

void stream_table::act(const stream_ptr& s, send_message& a)
{
    s->mutex.AssertHeld();
    try
    {
        if (!send(s, a))
            perform(s, s->session.connection_lost(now(), a.connection));
    }
    catch (const wire::protocol_error& ec)
    {
        observe::log(
            observe::event::entry_frame_refused,
            {{"request", to_string(s->view.id)}, {"reason", ec.what()}});
        const failure why{failure_kind::body_too_large,
                          ec.what(),
                          s->session.output_tokens() > 0 ? fb::ran_state::yes
                                                         : fb::ran_state::no,
                          {}};
        perform(s, {fail_answer{why}});
    }
}

void stream_table::act(const stream_ptr& s, deliver_text& a)
{
    s->mutex.AssertHeld();
    const mono_time t = now();
    if (s->last_token == mono_time())
    {
        s->histograms.first_token->Observe(seconds(t - s->view.arrived));
        services_.policy->first_token(s->view.id, t);
    }
    else
        s->histograms.token_interval->Observe(seconds(t - s->last_token) /
                                              a.tokens);
    s->last_token = t;
    s->answer.add_text(a.text);
    pump(s);
}

void stream_table::pump(const stream_ptr& s)
{
    s->mutex.AssertHeld();
    const bool is_drained = s->answer.pump();
    const std::size_t written = s->answer.take_written_bytes();
    if (written > 0)
        perform(s, s->session.caller_read(written));
    if (is_drained || std::exchange(s->awaits_drain, true))
        return;
    auto drained = [this, s]
    {
        absl::MutexLock lock(&s->mutex);
        s->awaits_drain = false;
        if (!s->is_closed)
            pump(s);
    };
    // The responder may run a callback immediately or while it holds its own
    // lock, so the work is moved to the event loop.
    s->answer.responder().when_drained(
        s->answer.low_water(), [this, drained]
        { services_.loop->call_later(duration::zero(), drained); });
}

void stream_table::watch_caller(const stream_ptr& s)
{
    auto disconnected = [this, weak = std::weak_ptr(s)]
    {
        if (const stream_ptr held = weak.lock())
            caller_disconnected(held);
    };
    absl::MutexLock lock(&s->mutex);
    s->answer.responder().when_gone(
        [this, disconnected]
        { services_.loop->call_later(duration::zero(), disconnected); });
}

void stream_table::caller_disconnected(const stream_ptr& s)
{
    absl::MutexLock lock(&s->mutex);
    if (s->is_closed)
        return;
    services_.decisions->add(
        decision_kind::caller_gone, s->view.id, s->engine,
        "after " + std::to_string(s->session.output_tokens()) + " tokens");
    perform(s, s->session.caller_disconnected());
    close(s);
}

void stream_table::act(const stream_ptr& s, end_answer& a)
{
    s->mutex.AssertHeld();
    const bool reached_max_tokens = a.output_tokens >= s->view.max_output.value;
    // Recorded before the answer ends, so that a caller who has the answer
    // finds the record.
    services_.decisions->add(decision_kind::ended, s->view.id, s->engine,
                             std::to_string(a.output_tokens) + " tokens");
    s->answer.end({a.prompt_tokens, a.output_tokens, reached_max_tokens});
    close(s);
}

void stream_table::act(const stream_ptr& s, fail_answer& a)
{
    s->mutex.AssertHeld();
    services_.metrics->failed(a.why.kind);
    services_.decisions->add(decision_kind::failed, s->view.id, s->engine,
                             std::string(http_error_of(a.why.kind).type) +
                                 ": " + a.why.message);
    s->answer.fail(a.why);
    close(s);
}

void stream_table::act(const stream_ptr& s, record_event& a)
{
    s->mutex.AssertHeld();
    if (a.what == stream_event::frame_dropped)
        return services_.metrics->frame_dropped();
    if (a.what == stream_event::resumed)
    {
        services_.metrics->resumed();
        observe::log(observe::event::entry_stream_resumed,
                     {{"request", to_string(s->view.id)},
                      {"instance", a.instance.value}});
    }
    const bool is_dispatch =
        a.what == stream_event::dispatched || a.what == stream_event::resumed;
    if (is_dispatch)
        a.detail += ", " + s->reason;
    else if (a.what != stream_event::attached)
        end_attempt(s);
    services_.decisions->add(kind_of(a.what), s->view.id, a.instance,
                             std::move(a.detail));
}

void stream_table::end_attempt(const stream_ptr& s)
{
    s->mutex.AssertHeld();
    if (std::exchange(s->has_open_attempt, false))
        services_.policy->leg_ended(s->view.id, s->engine, now());
}

void stream_table::close(const stream_ptr& s)
{
    s->mutex.AssertHeld();
    if (std::exchange(s->is_closed, true))
        return;
    {
        absl::MutexLock lock(&mutex_);
        streams_by_number_.erase(s->number);
        streams_by_id_.erase(s->view.id);
    }
    end_attempt(s);
    if (!s->was_refused)
        services_.policy->finished(
            s->view, token_count(s->session.output_tokens()), now());
}

bool stream_table::received(std::uint64_t connection, const wire::frame& f)
{
    if (f.type == wire::message_type::stream_data)
    {
        const auto data = wire::decode<fb::stream_dataT>(f);
        if (const stream_ptr s = find(data.stream))
            feed(s, [&](stream_session& session)
                 { return session.data(now(), connection, data); });
        else
            services_.metrics->frame_dropped();
        return true;
    }
    if (f.type != wire::message_type::stream_end)
        return false;
    const auto end = wire::decode<fb::stream_endT>(f);
    if (const stream_ptr s = find(end.stream))
        feed(s, [&](stream_session& session)
             { return session.end(now(), connection, end); });
    else
        services_.metrics->frame_dropped();
    return true;
}

void stream_table::opened(const instance_id& instance, std::uint64_t connection)
{
    feed_all([&](stream_session& session)
             { return session.connection_ready(now(), instance, connection); });
}

void stream_table::lost(std::uint64_t connection)
{
    feed_all([&](stream_session& session)
             { return session.connection_lost(now(), connection); });
}

void stream_table::unreachable(const instance_id& instance)
{
    feed_all([&](stream_session& session)
             { return session.agent_unreachable(now(), instance); });
}

void stream_table::tick()
{
    for (const admission_answer& answer :
         services_.policy->decide_queued(now()))
        if (const stream_ptr s = find(answer.id))
            apply_admission(s, answer);
    feed_all(
        [t = now()](stream_session& session) {
            return session.next_tick() <= t ? session.tick(t)
                                            : stream_actions();
        });
}

std::size_t stream_table::size() const
{
    absl::MutexLock lock(&mutex_);
    return streams_by_id_.size();
}

stream_table::stream_ptr stream_table::find(const request_id& id) const
{
    absl::MutexLock lock(&mutex_);
    const auto it = streams_by_id_.find(id);
    return it == streams_by_id_.end() ? nullptr : it->second;
}

stream_table::stream_ptr stream_table::find(std::uint64_t number) const
{
    absl::MutexLock lock(&mutex_);
    const auto it = streams_by_number_.find(number);
    return it == streams_by_number_.end() ? nullptr : it->second;
}

std::vector<stream_table::stream_ptr> stream_table::all() const
{
    std::vector<stream_ptr> result;
    absl::MutexLock lock(&mutex_);
    result.reserve(streams_by_id_.size());
    for (const auto& [id, s] : streams_by_id_)
        result.push_back(s);
    return result;
}

} // namespace poplar::entry
