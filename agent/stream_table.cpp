#include "agent/stream_table.hpp"

#include "observe/log.hpp"

namespace poplar::agent
{

namespace
{

/// Largest text of one frame, so that streams share a connection fairly.
constexpr std::size_t frame_text_bytes = std::size_t(16) << 10;
/// Reading from the engine is paused above this many unsent bytes.
constexpr std::size_t pause_bytes = std::size_t(16) << 10;
/// Streams have limits of their own; this one ends a forgotten exchange.
constexpr duration exchange_timeout = std::chrono::hours(24);
/// A longer time between two ticks means that this process was stopped.
constexpr duration longest_tick = std::chrono::seconds(1);

net::client_request make_request(const ip_address& to, std::string path,
                                 std::string body, duration timeout)
{
    net::client_request r;
    r.method = "POST";
    r.to = to;
    r.path = std::move(path);
    r.headers = {{"Content-Type", "application/json"}};
    r.body = std::move(body);
    r.timeout = timeout;
    return r;
}

dispatch_key key_of(const fb::attachT& attach)
{
    return {{attach.request->high(), attach.request->low()},
            attempt_number(attach.attempt)};
}

} // namespace

stream_table::stream_table(net::http_client& client, ip_address engine,
                           stream_options options, agent_metrics& metrics)
    : client_(client), engine_(std::move(engine)), options_(options),
      metrics_(metrics), engine_answered_(now()), last_tick_(now())
{
}

void stream_table::open(const wire::connection_ptr& c,
                        const fb::open_streamT& open)
{
    absl::MutexLock lock(&mutex_);
    if (!open.request)
        return refuse(c, open, fb::refusal::invalid_request);
    const dispatch_key key{{open.request->high(), open.request->low()},
                           attempt_number(open.attempt)};
    if (by_key_.contains(key))
    {
        fb::attachT attach;
        attach.stream = open.stream;
        attach.request = std::make_unique<fb::request_id>(*open.request);
        attach.attempt = open.attempt;
        attach.next_offset = open.resume_tokens;
        attach.window_bytes = open.window_bytes;
        return attach_known(c, attach);
    }
    if (const fb::refusal why = refusal_for(open); why != fb::refusal::none)
        return refuse(c, open, why);
    try
    {
        start(c, open,
              generate_body(open, engine_request_id(key.request, key.attempt)));
    }
    catch (const parse_error&)
    {
        refuse(c, open, fb::refusal::invalid_request);
    }
}

fb::refusal stream_table::refusal_for(const fb::open_streamT& open) const
{
    if (gate_ == work_gate::draining)
        return fb::refusal::draining;
    if (gate_ == work_gate::not_ready)
        return fb::refusal::not_ready;
    if (streams_.size() >= options_.max_open)
        return fb::refusal::overloaded;
    const bool has_model =
        open.model.empty() || open.model == setup_.model.value;
    const bool has_adapter =
        open.adapter.empty() ||
        std::ranges::find(setup_.adapters, adapter_id(open.adapter)) !=
            setup_.adapters.end();
    return has_model && has_adapter ? fb::refusal::none : fb::refusal::no_model;
}

void stream_table::refuse(const wire::connection_ptr& c,
                          const fb::open_streamT& open, fb::refusal why)
{
    metrics_.count_refusal(fb::EnumNamerefusal(why));
    fb::stream_endT end = refused_end(why, fb::EnumNamerefusal(why));
    if (why == fb::refusal::invalid_request)
        end.reason = fb::end_reason::invalid;
    end.stream = open.stream;
    end.attempt = open.attempt;
    c->send(wire::encode(end));
}

void stream_table::start(const wire::connection_ptr& c,
                         const fb::open_streamT& open, std::string body)
{
    const stream_serial serial = ++last_serial_;
    auto s = std::make_unique<stream>(open, now());
    by_key_[s->key] = serial;
    connect(serial, *s, c, open.stream);
    s->exchange = client_.start(
        make_request(engine_,
                     open.prefill_only ? "/v1/prefill" : "/v1/generate",
                     std::move(body), exchange_timeout),
        make_hooks(serial, open.prefill_only));
    streams_[serial] = std::move(s);
}

net::client_hooks stream_table::make_hooks(stream_serial serial, bool collect)
{
    net::client_hooks hooks;
    const std::weak_ptr<stream_table> self = weak_from_this();
    if (!collect)
        hooks.body_piece = [self, serial](std::string_view piece)
        {
            const auto table = self.lock();
            return !table || table->take_piece(serial, piece);
        };
    hooks.done = [self, serial](const net::client_result& result)
    {
        if (const auto table = self.lock())
            table->finish(serial, result);
    };
    return hooks;
}

bool stream_table::take_piece(stream_serial serial, std::string_view piece)
{
    absl::MutexLock lock(&mutex_);
    const auto it = streams_.find(serial);
    if (it == streams_.end() || it->second->end)
        return true;
    stream& s = *it->second;
    if (s.output.unsent_bytes() >= pause_bytes)
    {
        s.is_paused = true;
        return false;
    }
    const bool had_token = s.has_token;
    s.last_progress = now();
    take_engine_bytes(s, piece);
    if (s.has_token && !had_token)
        metrics_.observe_first_token(s.rank, s.last_progress - s.opened);
    send_output(s);
    if (s.is_out_of_order)
    {
        stop_at_engine(s, "engine_fault");
        set_end(s, early_end(s, fb::end_reason::upstream_lost,
                             "the engine left out a token"));
    }
    return true;
}

void stream_table::finish(stream_serial serial,
                          const net::client_result& result)
{
    absl::MutexLock lock(&mutex_);
    const auto it = streams_.find(serial);
    if (it == streams_.end())
        return;
    stream& s = *it->second;
    s.is_running = false;
    if (s.is_dropped)
    {
        streams_.erase(it);
        return;
    }
    if (s.end)
        return;
    take_engine_bytes(s, "\n");
    set_end(s, end_of(s, result, engine_));
}

void stream_table::connect(stream_serial serial, stream& s,
                           const wire::connection_ptr& c, std::uint64_t number)
{
    if (s.connection)
        by_wire_.erase({s.connection->serial(), s.number});
    s.connection = c;
    s.number = number;
    s.unneeded_since.reset();
    s.end_is_sent = false;
    by_wire_[{c->serial(), number}] = serial;
}

void stream_table::attach(const wire::connection_ptr& c,
                          const fb::attachT& attach)
{
    absl::MutexLock lock(&mutex_);
    attach_known(c, attach);
}

void stream_table::attach_known(const wire::connection_ptr& c,
                                const fb::attachT& attach)
{
    const auto it =
        attach.request ? by_key_.find(key_of(attach)) : by_key_.end();
    if (it == by_key_.end() || !streams_[it->second]->output.restart(
                                   attach.next_offset, attach.window_bytes))
    {
        fb::stream_endT end;
        end.stream = attach.stream;
        end.attempt = attach.attempt;
        end.reason = fb::end_reason::unknown_stream;
        end.ran = fb::ran_state::unknown;
        c->send(wire::encode(end));
        return;
    }
    stream& s = *streams_[it->second];
    connect(it->second, s, c, attach.stream);
    observe::log(observe::event::stream_attached,
                 {{"request", to_string(s.key.request)},
                  {"offset", attach.next_offset}});
    send_output(s);
}

void stream_table::cancel(const wire::connection_ptr& c,
                          const fb::cancelT& cancel)
{
    absl::MutexLock lock(&mutex_);
    const auto it = by_wire_.find({c->serial(), cancel.stream});
    if (it == by_wire_.end())
        return;
    const stream_serial serial = it->second;
    stream& s = *streams_[serial];
    stop_at_engine(s, "entry");
    drop(serial, s);
}

void stream_table::grant(const wire::connection_ptr& c,
                         const fb::window_updateT& update)
{
    absl::MutexLock lock(&mutex_);
    stream* s = find(c, update.stream);
    if (!s)
        return;
    s->output.grant(update.bytes);
    send_output(*s);
}

void stream_table::connection_lost(const wire::connection_ptr& c)
{
    absl::MutexLock lock(&mutex_);
    const mono_time t = now();
    for (auto& [serial, s] : streams_)
    {
        if (s->connection != c)
            continue;
        by_wire_.erase({c->serial(), s->number});
        s->connection = nullptr;
        s->unneeded_since = t;
    }
}

void stream_table::set_gate(work_gate gate)
{
    absl::MutexLock lock(&mutex_);
    gate_ = gate;
}

void stream_table::set_engine(const engine_setup& setup)
{
    absl::MutexLock lock(&mutex_);
    setup_ = setup;
}

void stream_table::engine_answered(mono_time t)
{
    absl::MutexLock lock(&mutex_);
    engine_answered_ = t;
}

void stream_table::hand_back()
{
    absl::MutexLock lock(&mutex_);
    for (auto& [serial, s] : streams_)
    {
        if (s->end || s->is_dropped)
            continue;
        s->output.drop_unsent();
        stop_at_engine(*s, "handed_back");
        set_end(*s, early_end(*s, fb::end_reason::handed_back,
                              "planned change of the engine"));
    }
}

stream* stream_table::find(const wire::connection_ptr& c, std::uint64_t number)
{
    const auto it = by_wire_.find({c->serial(), number});
    return it == by_wire_.end() ? nullptr : streams_[it->second].get();
}

void stream_table::set_end(stream& s, fb::stream_endT end)
{
    const std::string reason = fb::EnumNameend_reason(end.reason);
    metrics_.count_stream_end(reason);
    metrics_.observe_stream(s.rank, now() - s.opened);
    if (end.reason == fb::end_reason::refused)
        metrics_.count_refusal(fb::EnumNamerefusal(end.refusal));
    const bool is_loss = end.reason == fb::end_reason::upstream_lost;
    observe::log(is_loss ? observe::event::stream_lost
                         : observe::event::stream_ended,
                 {{"request", to_string(s.key.request)},
                  {"reason", reason},
                  {"detail", end.message}});
    s.end = std::move(end);
    send_output(s);
}

void stream_table::send_output(stream& s)
{
    while (s.connection)
    {
        auto piece = s.output.take(frame_text_bytes);
        if (!piece)
            break;
        fb::stream_dataT data;
        data.stream = s.number;
        data.attempt = static_cast<std::uint32_t>(s.key.attempt.value);
        data.offset = piece->offset;
        data.tokens = piece->tokens;
        data.text = std::move(piece->text);
        s.connection->send(wire::encode(data));
    }
    if (s.is_paused && s.output.unsent_bytes() < pause_bytes)
    {
        s.is_paused = false;
        s.last_progress = now();
        client_.resume(s.exchange);
    }
    send_end(s);
}

void stream_table::send_end(stream& s)
{
    if (!s.end || !s.connection || s.end_is_sent || !s.output.is_all_sent())
        return;
    s.end->stream = s.number;
    s.end->attempt = static_cast<std::uint32_t>(s.key.attempt.value);
    s.connection->send(wire::encode(*s.end));
    s.end_is_sent = true;
    s.unneeded_since = now();
}

void stream_table::stop_at_engine(stream& s, const std::string& cause)
{
    if (!s.is_running)
        return;
    metrics_.count_cancel(cause);
    client_.cancel(s.exchange);
    ++cancelling_;
    net::client_hooks hooks;
    hooks.done = [self = weak_from_this()](const net::client_result&)
    {
        const auto table = self.lock();
        if (!table)
            return;
        absl::MutexLock lock(&table->mutex_);
        --table->cancelling_;
    };
    client_.start(make_request(engine_, "/v1/cancel", cancel_body(s.engine_id),
                               options_.cancel_timeout),
                  std::move(hooks));
}

void stream_table::drop(stream_serial serial, stream& s)
{
    if (s.connection)
        by_wire_.erase({s.connection->serial(), s.number});
    by_key_.erase(s.key);
    s.connection = nullptr;
    s.is_dropped = true;
    if (!s.is_running)
        streams_.erase(serial);
}

void stream_table::tick(mono_time t)
{
    absl::MutexLock lock(&mutex_);
    forgive_pause(t);
    std::vector<stream_serial> unneeded;
    for (auto& [serial, s] : streams_)
    {
        if (s->is_dropped)
            continue;
        check_limits(*s, t);
        if (s->unneeded_since && t - *s->unneeded_since >= options_.keep_time)
            unneeded.push_back(serial);
    }
    for (const stream_serial serial : unneeded)
    {
        stream& s = *streams_[serial];
        stop_at_engine(s, "entry_gone");
        drop(serial, s);
    }
}

void stream_table::check_limits(stream& s, mono_time t)
{
    if (s.deadline && t >= *s.deadline && !s.end_is_sent &&
        (!s.end || !s.output.is_all_sent()))
    {
        s.output.drop_unsent();
        stop_at_engine(s, "deadline");
        s.deadline.reset();
        return set_end(s, early_end(s, fb::end_reason::expired,
                                    "the deadline has passed"));
    }
    if (!s.end && s.is_running && is_frozen(s, t))
    {
        stop_at_engine(s, "engine_frozen");
        set_end(s, early_end(s, fb::end_reason::upstream_lost,
                             "the engine gave no token in time"));
    }
}

bool stream_table::is_frozen(const stream& s, mono_time t) const
{
    if (s.is_paused)
        return false;
    const duration idle = t - s.last_progress;
    if (s.has_token)
        return idle >= options_.token_idle_limit;
    // Before the first token a stream may wait its turn, but only at an engine
    // that answers its polls.
    const bool engine_is_silent =
        t - engine_answered_ >= options_.token_idle_limit &&
        idle >= options_.token_idle_limit;
    return engine_is_silent || idle >= options_.first_token_limit;
}

void stream_table::forgive_pause(mono_time t)
{
    const duration since = t - last_tick_;
    last_tick_ = t;
    if (since < longest_tick)
        return;
    engine_answered_ += since;
    for (auto& [serial, s] : streams_)
        s->last_progress += since;
}

std::size_t stream_table::open_at_engine() const
{
    absl::MutexLock lock(&mutex_);
    const auto running = std::ranges::count_if(
        streams_, [](const auto& it) { return it.second->is_running; });
    return static_cast<std::size_t>(running) + cancelling_;
}

std::size_t stream_table::unfinished() const
{
    absl::MutexLock lock(&mutex_);
    const auto open = std::ranges::count_if(
        streams_, [](const auto& it) { return !it.second->end_is_sent; });
    return static_cast<std::size_t>(open);
}

} // namespace poplar::agent
