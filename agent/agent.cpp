#include "agent/agent.hpp"

#include "observe/log.hpp"

#include <thread>

namespace poplar::agent
{

namespace
{

constexpr duration tick_time = std::chrono::milliseconds(50);
constexpr duration lock_retry = std::chrono::milliseconds(100);
/// Room for polls, orders and cancel requests beside the streams.
constexpr unsigned spare_connections = 64;
/// For the last frames to be taken by the kernel.
constexpr duration flush_limit = std::chrono::seconds(2);
constexpr duration release_limit = std::chrono::seconds(5);
/// An outcome report is given up after this time; the new owner then keeps
/// answering "unknown".
constexpr duration forward_time = std::chrono::seconds(2);

std::unique_ptr<net::http_client> make_client(std::size_t open)
{
    return std::make_unique<net::http_client>(static_cast<unsigned>(open) +
                                              spare_connections);
}

/// True when the condition came to hold within the limit.
bool wait_for(const std::function<bool()>& condition, duration limit)
{
    const mono_time until = now() + limit;
    while (!condition())
    {
        if (now() >= until)
            return false;
        std::this_thread::sleep_for(tick_time);
    }
    return true;
}

} // namespace

agent::agent(agent_settings settings, store::object_store& store)
    : settings_(std::move(settings)), store_(store),
      lock_(settings_.checks_fencing ? 0 : settings_.slot_lock_port),
      stream_client_(make_client(settings_.streams.max_open)),
      control_client_(make_client(0)),
      call_client_(make_client(settings_.calls.max_open)),
      reporter_(links_, settings_.polls),
      streams_(std::make_shared<stream_table>(
          *stream_client_, settings_.upstream, settings_.streams, metrics_)),
      orders_(std::make_shared<order_runner>(
          *control_client_, settings_.upstream, settings_.polls.order_timeout,
          settings_.orders, *streams_, metrics_)),
      calls_(std::make_shared<call_runner>(*call_client_, settings_.upstream,
                                           settings_.calls)),
      admin_(settings_.admin, [this](const net::http_request& request,
                                     const net::responder_ptr& answer)
             { answer_admin(request, answer); }),
      loop_(std::make_unique<wire::loop>(make_loop_options()))
{
    if (settings_.kind == upstream_kind::engine)
        poller_ = std::make_shared<engine_poller>(
            *control_client_, settings_.upstream, settings_.polls,
            make_poll_hooks());
    address_ = loop_->listen(settings_.listen, make_connection_hooks());
    loop_->set_hello(make_hello());
    if (settings_.kind == upstream_kind::service)
        ledger_ = make_ledger();
    keeper_ = std::make_unique<platform_keeper>(
        store_,
        keeper_options{settings_.instance, settings_.group, address_,
                       settings_.slot_check_interval},
        make_keeper_hooks());
    tick();
}

agent::~agent()
{
    // Each of these has threads whose hooks use the other parts.
    keeper_.reset();
    loop_->stop();
    ledger_.reset();
    call_client_.reset();
    control_client_.reset();
    stream_client_.reset();
}

wire::loop_options agent::make_loop_options()
{
    wire::loop_options o;
    o.hello = make_hello();
    o.heartbeat = [this]
    {
        fb::heartbeatT h;
        h.sheet_generation = last_generation_;
        h.assignments_version = orders_->status().assigned.version.value;
        return h;
    };
    return o;
}

fb::helloT agent::make_hello() const
{
    fb::helloT hello;
    hello.instance = settings_.instance.value;
    hello.kind = fb::process_kind::agent;
    hello.incarnation = incarnation_;
    hello.group = settings_.group.value;
    hello.region = settings_.region.value;
    hello.failure_domain = settings_.failure_domain.value;
    hello.address = address_.empty() ? "" : to_string(address_);
    hello.upstream_kind =
        settings_.kind == upstream_kind::engine ? "engine" : "service";
    return hello;
}

poll_hooks agent::make_poll_hooks()
{
    poll_hooks h;
    h.begin_read = [this]
    {
        return orders_->begin_read();
    };
    h.state = [this](std::uint64_t read, const engine_state& state)
    {
        orders_->take_state(read, state);
    };
    h.unreachable = [this](std::uint64_t read)
    {
        orders_->take_unreachable(read);
    };
    h.load = [this](const engine_load& load)
    {
        reporter_.set_load(load, now());
    };
    h.cache = [this](const cache_changes& changes)
    {
        reporter_.add_cache_changes(changes);
    };
    return h;
}

keeper_hooks agent::make_keeper_hooks()
{
    keeper_hooks h;
    h.held = [this](std::optional<agent_incarnation> held)
    {
        const std::uint64_t value = held ? held->value : 0;
        if (incarnation_.exchange(value) != value && value > 0)
            loop_->set_hello(make_hello());
        update_authority();
    };
    h.superseded = [this](agent_incarnation by)
    {
        observe::log(observe::event::slot_superseded,
                     {{"incarnation", by.value}});
        is_superseded_ = true;
        orders_->stop();
    };
    h.assigned = [this](const std::optional<assignment>& part)
    {
        orders_->platform_was_read(part);
    };
    return h;
}

wire::connection_hooks agent::make_connection_hooks()
{
    wire::connection_hooks h;
    h.opened = [this](const wire::connection_ptr& c, const fb::helloT& peer)
    {
        opened(c, peer);
    };
    h.received = [this](const wire::connection_ptr& c, const wire::frame& f)
    {
        received(c, f);
    };
    h.closed = [this](const wire::connection_ptr& c, wire::close_reason)
    {
        closed(c);
    };
    return h;
}

std::unique_ptr<ledger::service_ledger> agent::make_ledger()
{
    ledger::ledger_options o;
    o.service = service_id(settings_.group.value);
    o.shard.instance = settings_.instance;
    o.shard.address = to_string(address_);
    o.shard.process_nonce = to_string(make_request_id());
    o.max_writes_per_second = settings_.calls.max_ledger_writes;
    o.run = [this](const ledger::call& call,
                   std::function<void(ledger::run_result)> done)
    {
        calls_->run_once(call, std::move(done));
    };
    o.forward =
        [this](const std::string& address, const ledger::call_record& record)
    {
        forward(address, record);
    };
    return std::make_unique<ledger::service_ledger>(store_, std::move(o));
}

void agent::opened(const wire::connection_ptr& c, const fb::helloT& peer)
{
    if (peer.kind != fb::process_kind::entry)
        return;
    observe::log(observe::event::entry_connected, {{"entry", peer.instance}});
    reporter_.send_first(c, now());
    if (is_stopping_)
        c->send(wire::encode(fb::goawayT()));
}

void agent::closed(const wire::connection_ptr& c)
{
    links_.remove(c);
    streams_->connection_lost(c);
}

void agent::received(const wire::connection_ptr& c, const wire::frame& f)
{
    using wire::message_type;
    const bool is_stream =
        f.type == message_type::open_stream || f.type == message_type::attach;
    if (is_stream && settings_.kind != upstream_kind::engine)
        return c->close();
    switch (f.type)
    {
    case message_type::open_stream:
        return streams_->open(c, wire::decode<fb::open_streamT>(f));
    case message_type::attach:
        return streams_->attach(c, wire::decode<fb::attachT>(f));
    case message_type::cancel:
        return streams_->cancel(c, wire::decode<fb::cancelT>(f));
    case message_type::window_update:
        return streams_->grant(c, wire::decode<fb::window_updateT>(f));
    case message_type::call:
        return take_call(c, wire::decode<fb::callT>(f));
    case message_type::assignment:
        return take_assignment(wire::decode<fb::assignmentT>(f));
    case message_type::outcome_report:
        if (has_lock_ && ledger_)
            ledger_->report_outcome(
                from_wire(wire::decode<fb::outcome_reportT>(f)));
        return;
    default:
        return;
    }
}

void agent::take_assignment(const fb::assignmentT& message)
{
    if (message.group != settings_.group.value ||
        message.instance != settings_.instance.value)
        return;
    orders_->take_assignment(from_wire(message));
}

fb::refusal agent::refusal_for_call() const
{
    if (settings_.kind != upstream_kind::service)
        return fb::refusal::invalid_request;
    if (!has_lock_)
        return fb::refusal::not_ready;
    return orders_->gate() == work_gate::open ? fb::refusal::none
                                              : fb::refusal::draining;
}

void agent::take_call(const wire::connection_ptr& c, const fb::callT& call)
{
    auto send = [this, c, stream = call.stream](fb::call_resultT result)
    {
        metrics_.count_call(fb::EnumNamecall_state(result.state));
        if (result.refusal != fb::refusal::none)
            metrics_.count_refusal(fb::EnumNamerefusal(result.refusal));
        result.stream = stream;
        c->send(wire::encode(result));
    };
    if (const fb::refusal why = refusal_for_call(); why != fb::refusal::none)
        return send(refused_call(why, fb::EnumNamerefusal(why)));
    if (call.repeatable)
        return calls_->run(call, send);
    ledger_->submit(to_ledger_call(call, service_id(settings_.group.value)),
                    [send = std::move(send)](const ledger::call_answer& answer)
                    { send(to_call_result(answer)); });
}

void agent::forward(const std::string& address,
                    const ledger::call_record& record)
{
    ip_address to;
    try
    {
        to = parse_ip_address(address);
    }
    catch (const parse_error&)
    {
        return;
    }
    observe::log(observe::event::outcome_forwarded, {{"to", address}});
    const auto c = loop_->connect(to, {});
    c->send(wire::encode(to_wire(record)));
    loop_->call_later(forward_time, [c] { c->close(); });
}

void agent::tick()
{
    const mono_time t = now();
    try_lock(t);
    // Nothing goes to the upstream before the lock is held.
    if (has_lock_ && poller_)
        poller_->tick(t);
    streams_->tick(t);
    orders_->tick(t);
    update_view();
    reporter_.tick(t);
    update_readiness();
    loop_->call_later(tick_time, [this] { tick(); });
}

void agent::try_lock(mono_time t)
{
    if (has_lock_ || t < next_lock_try_)
        return;
    const bool is_first = next_lock_try_ == mono_time();
    next_lock_try_ = t + lock_retry;
    has_lock_ = lock_.try_acquire();
    if (has_lock_)
        observe::log(observe::event::slot_lock_held);
    else if (is_first)
        observe::log(observe::event::slot_lock_waiting);
    update_authority();
}

void agent::update_authority()
{
    const std::uint64_t held = incarnation_;
    if (has_lock_ && held > 0)
        orders_->set_authority(agent_incarnation(held));
    else
        orders_->set_authority({});
}

void agent::update_view()
{
    const order_status s = orders_->status();
    agent_view v;
    if (s.engine)
        v.setup = s.engine->setup;
    v.state = s.assigned.state;
    v.changing =
        s.phase != order_phase::settled || (s.engine && s.engine->changing);
    v.ready = has_lock_ && s.gate == work_gate::open;
    v.assignments = s.assigned.version;
    v.generation = s.assigned.generation;
    last_generation_ = v.generation.value;
    if (ledger_)
        for (const unsigned shard : ledger_->owned_shards())
            v.ledger_shards.push_back(shard);
    reporter_.set_view(v);
}

void agent::update_readiness()
{
    if (is_stopping_)
        return admin_.set_ready(false, "shutting down\n");
    if (!has_lock_)
        return admin_.set_ready(false, "another process holds the slot\n");
    if (poller_ && !orders_->status().engine_is_reachable)
        return admin_.set_ready(false, "the engine does not answer\n");
    admin_.set_ready(true, "ready");
}

void agent::shut_down()
{
    is_stopping_ = true;
    orders_->stop();
    fb::goawayT goaway;
    goaway.reason = is_superseded_ ? "superseded" : "shutdown";
    links_.broadcast(wire::encode(goaway));
    if (ledger_)
        ledger_->release();
    if (!wait_for([this] { return has_ended(); }, settings_.shutdown_limit))
        streams_->hand_back();
    wait_for([this] { return has_ended() && links_.queued_bytes() == 0; },
             flush_limit);
    // Without the platform shards cannot be released: the next owner takes
    // them over as from a process that was killed.
    if (ledger_)
        wait_for([this] { return ledger_->is_released(); }, release_limit);
}

bool agent::has_ended() const
{
    return streams_->unfinished() == 0 && streams_->open_at_engine() == 0 &&
           calls_->open_calls() == 0;
}

} // namespace poplar::agent
