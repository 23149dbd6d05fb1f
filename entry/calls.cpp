#include "entry/calls.hpp"

#include "observe/log.hpp"

#include <algorithm>
#include <deque>
#include <utility>

namespace poplar::entry
{

namespace
{

decision_kind kind_of(call_event what)
{
    switch (what)
    {
    case call_event::sent:
        return decision_kind::dispatched;
    case call_event::repeated:
        return decision_kind::attached;
    case call_event::agent_lost:
        return decision_kind::upstream_lost;
    default:
        return decision_kind::retried;
    }
}

/// The service's answer with the Poplar-* headers added.
net::http_response response_of(const fb::call_resultT& r,
                               const std::string& request)
{
    net::http_response response;
    response.status = r.status;
    for (const auto& h : r.headers)
        response.headers.push_back({h->name, h->value});
    response.headers.push_back({"Poplar-Request-Id", request});
    response.headers.push_back({"Poplar-Ran", "yes"});
    if (r.body_dropped)
        response.headers.push_back({"Poplar-Body", "dropped"});
    response.body.assign(r.body.begin(), r.body.end());
    return response;
}

} // namespace

struct call_table::open_call
{
    open_call(service_call c, call_limits limits,
              std::function<std::uint64_t()> next_number, net::responder_ptr r)
        : id(c.id), service(c.service), is_once(c.is_once), shard(c.shard),
          responder(std::move(r)),
          session(std::move(c), limits, std::move(next_number))
    {
    }

    const request_id id;
    const service_id service;
    const bool is_once;
    const unsigned shard;
    const net::responder_ptr responder;

    absl::Mutex mutex;
    call_session session ABSL_GUARDED_BY(mutex);
    std::deque<call_action> actions ABSL_GUARDED_BY(mutex);
    bool is_performing ABSL_GUARDED_BY(mutex) = false;
    bool is_closed ABSL_GUARDED_BY(mutex) = false;
    std::uint64_t stream_number ABSL_GUARDED_BY(mutex) = 0;
};

call_table::call_table(path_services services, call_limits limits)
    : services_(std::move(services)), limits_(limits)
{
}

void call_table::open(service_call call, net::responder_ptr responder)
{
    auto c = std::make_shared<open_call>(
        std::move(call), limits_, services_.next_number, std::move(responder));
    {
        absl::MutexLock lock(&mutex_);
        open_[c->id] = c;
    }
    feed(c, [](call_session& session) { return session.start(now()); });
}

template <class Input>
void call_table::feed(const call_ptr& c, Input input)
{
    absl::MutexLock lock(&c->mutex);
    if (!c->is_closed)
        perform(c, input(c->session));
}

template <class Input>
void call_table::feed_all(Input input)
{
    for (const call_ptr& c : all())
        feed(c, input);
}

void call_table::perform(const call_ptr& c, call_actions actions)
{
    c->mutex.AssertHeld();
    std::ranges::move(actions, std::back_inserter(c->actions));
    if (std::exchange(c->is_performing, true))
        return;
    while (!c->actions.empty() && !c->is_closed)
    {
        call_action a = std::move(c->actions.front());
        c->actions.pop_front();
        std::visit([&](auto& it) { act(c, it); }, a);
    }
    c->is_performing = false;
}

owner_route call_table::route(const call_ptr& c, const find_instance& a) const
{
    if (c->is_once)
        return services_.links->route_to_owner(c->service, c->shard, a.hint);
    std::vector<instance_id> candidates =
        services_.links->usable(group_id(c->service.value));
    std::erase_if(candidates, [&](const instance_id& it)
                  { return std::ranges::count(a.avoid, it) > 0; });
    if (candidates.empty())
        return {};
    // Request IDs are random, so this spreads calls evenly over the instances.
    const instance_id& chosen = candidates[c->id.low % candidates.size()];
    owner_route r;
    r.instance = chosen;
    r.connection = services_.links->usable_connection(chosen);
    r.action = r.connection == 0 ? owner_route::action_kind::wait
                                 : owner_route::action_kind::send;
    return r;
}

void call_table::act(const call_ptr& c, find_instance& a)
{
    c->mutex.AssertHeld();
    if (a.is_retry)
        services_.metrics->retried();
    if (a.is_retry && !services_.policy->try_retry())
        return perform(c, c->session.routed(now(), {}));
    perform(c, c->session.routed(now(), route(c, a)));
}

void call_table::act(const call_ptr& c, send_call& a)
{
    c->mutex.AssertHeld();
    {
        absl::MutexLock lock(&mutex_);
        by_stream_number_.erase(c->stream_number);
        c->stream_number = a.call.stream;
        by_stream_number_[c->stream_number] = c;
    }
    try
    {
        if (!services_.links->send(a.connection, wire::encode(a.call)))
            perform(c, c->session.not_sent(now(), a.connection));
    }
    catch (const wire::protocol_error& ec)
    {
        observe::log(observe::event::entry_frame_refused,
                     {{"request", to_string(c->id)}, {"reason", ec.what()}});
        perform(
            c,
            {fail_call{
                {failure_kind::too_long, ec.what(), fb::ran_state::no, {}}}});
    }
}

void call_table::act(const call_ptr& c, answer_call& a)
{
    c->mutex.AssertHeld();
    services_.decisions->add(decision_kind::ended, c->id, {},
                             "status " + std::to_string(a.result.status));
    c->responder->respond(response_of(a.result, to_string(c->id)));
    close(c);
}

void call_table::act(const call_ptr& c, fail_call& a)
{
    c->mutex.AssertHeld();
    services_.metrics->failed(a.why.kind);
    services_.decisions->add(decision_kind::failed, c->id, {},
                             std::string(http_error_of(a.why.kind).type) +
                                 ": " + a.why.message);
    c->responder->respond(failure_response(a.why, to_string(c->id)));
    close(c);
}

void call_table::act(const call_ptr& c, note_call& a)
{
    services_.decisions->add(kind_of(a.what), c->id, a.instance,
                             std::move(a.detail));
}

void call_table::close(const call_ptr& c)
{
    c->mutex.AssertHeld();
    c->is_closed = true;
    absl::MutexLock lock(&mutex_);
    by_stream_number_.erase(c->stream_number);
    open_.erase(c->id);
}

bool call_table::received(std::uint64_t connection, const wire::frame& f)
{
    if (f.type != wire::message_type::call_result)
        return false;
    const auto result = wire::decode<fb::call_resultT>(f);
    call_ptr c;
    {
        absl::MutexLock lock(&mutex_);
        const auto it = by_stream_number_.find(result.stream);
        c = it == by_stream_number_.end() ? nullptr : it->second;
    }
    if (c)
        feed(c, [&](call_session& session)
             { return session.result(now(), connection, result); });
    else
        services_.metrics->frame_dropped();
    return true;
}

void call_table::opened(const instance_id& instance, std::uint64_t connection)
{
    feed_all([&](call_session& session)
             { return session.connection_ready(now(), instance, connection); });
}

void call_table::lost(std::uint64_t connection)
{
    feed_all([&](call_session& session)
             { return session.connection_lost(now(), connection); });
}

void call_table::unreachable(const instance_id& instance)
{
    feed_all([&](call_session& session)
             { return session.agent_unreachable(instance); });
}

void call_table::tick()
{
    feed_all(
        [t = now()](call_session& session) {
            return session.next_tick() <= t ? session.tick(t) : call_actions();
        });
}

std::size_t call_table::size() const
{
    absl::MutexLock lock(&mutex_);
    return open_.size();
}

std::vector<call_table::call_ptr> call_table::all() const
{
    std::vector<call_ptr> result;
    absl::MutexLock lock(&mutex_);
    result.reserve(open_.size());
    for (const auto& [id, c] : open_)
        result.push_back(c);
    return result;
}

} // namespace poplar::entry
