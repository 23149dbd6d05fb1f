#include "entry/entry.hpp"

#include "observe/log.hpp"

#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <utility>

namespace poplar::entry
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(20);
constexpr duration drain_poll_interval = std::chrono::milliseconds(20);
/// Longest time at shutdown for callers to receive the rest of their answers.
constexpr duration max_flush_time = std::chrono::seconds(10);
/// The HTTP server accepts bodies up to this multiple of the limit, so that the
/// handler can refuse them with a typed error.
constexpr std::size_t body_limit_factor = 2;

/// Start of the stream numbers, with a random upper half. Numbers of an earlier
/// process differ from those of this one, so that late frames for its streams
/// are detected.
std::uint64_t random_stream_base()
{
    std::random_device random;
    return std::uint64_t(random()) << 32;
}

membership_options make_membership_options(const entry_settings& s)
{
    membership_options o;
    o.cell_count = s.cell_count;
    o.cell = cell_of(s.instance, s.cell_count);
    o.min_backoff = s.timeouts.lowest_reconnect;
    o.max_backoff = s.timeouts.highest_reconnect;
    o.jitter_seed = digest(s.instance.value);
    return o;
}

session_limits make_session_limits(const entry_settings& s)
{
    return {static_cast<std::uint32_t>(s.limits.window.value),
            s.limits.max_attempts, s.timeouts.attach_wait,
            s.timeouts.resume_patience};
}

call_limits make_call_limits(const entry_settings& s)
{
    call_limits l;
    l.max_attempts = s.limits.max_attempts;
    l.attach_wait = s.timeouts.attach_wait;
    return l;
}

net::http_server_options make_server_options(const entry_settings& s)
{
    net::http_server_options o;
    o.listen = s.listen;
    o.threads = s.limits.http_threads;
    o.max_body_bytes =
        static_cast<std::size_t>(s.limits.max_body.value) * body_limit_factor;
    o.max_connections = s.limits.max_open_requests * 2;
    return o;
}

nlohmann::json member_json(const member_view& v)
{
    const member& m = v.row;
    return {{"instance", m.record.instance.value},
            {"group", m.record.group.value},
            {"failure_domain", m.record.failure_domain.value},
            {"address", to_string(m.record.address)},
            {"connected", m.link == link_state::open},
            {"listed", m.is_listed},
            {"state", to_string(v.reason)},
            {"role", fb::EnumNameengine_role(m.report.role)},
            {"model", m.report.model},
            {"running", m.report.running},
            {"waiting", m.report.waiting},
            {"sheet_generation", m.report.sheet_generation},
            {"assignments_version", m.report.assignments_version}};
}

} // namespace

entry::entry(entry_settings settings, store::object_store& store,
             std::unique_ptr<dispatch_policy> policy, entry_hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)),
      next_number_(random_stream_base()), policy_(std::move(policy)),
      decisions_(settings_.limits.decision_records),
      metrics_(settings_.limits.tenant_labels), engines_(*policy_, decisions_)
{
    start_loop();
    links_ = std::make_unique<agent_links>(
        *loop_, make_membership_options(settings_), make_link_hooks());
    streams_ = std::make_unique<stream_table>(make_services(),
                                              make_session_limits(settings_));
    calls_ = std::make_unique<call_table>(make_services(),
                                          make_call_limits(settings_));
    front_ = std::make_unique<front>(settings_.limits, settings_.timeouts,
                                     config_, *links_, *streams_, *calls_,
                                     decisions_, metrics_);
    listen_inner();
    admin_ = std::make_unique<daemon::admin_server>(
        settings_.admin,
        [this](const net::http_request& request,
               const net::responder_ptr& answer) { admin(request, answer); });
    admin_->set_ready(false, "there is no sheet yet");
    server_ = std::make_unique<net::http_server>(
        make_server_options(settings_),
        [this](net::http_request request, const net::responder_ptr& answer)
        { front_->handle(std::move(request), answer); });
    feed_ = std::make_unique<platform_feed>(
        store, config_,
        platform_feed_options{settings_.timeouts.instance_poll,
                              settings_.timeouts.watch},
        make_platform_hooks());
    tick(*loop_);
}

entry::~entry()
{
    feed_.reset();
    server_.reset();
    admin_.reset();
    // Joins the threads that run hooks and ticks, before the components that
    // these use are destroyed.
    loop_.reset();
}

void entry::start_loop()
{
    wire::loop_options o;
    o.threads = settings_.limits.wire_threads;
    o.hello.instance = settings_.instance.value;
    o.hello.kind = fb::process_kind::entry;
    o.hello.region = settings_.region.value;
    o.hello.failure_domain = settings_.failure_domain.value;
    o.heartbeat = [this]
    {
        return config_.heartbeat();
    };
    loop_ = std::make_unique<wire::loop>(std::move(o));
}

void entry::listen_inner()
{
    wire::connection_hooks hooks;
    hooks.opened = [](const wire::connection_ptr&, const fb::helloT&) {
    };
    hooks.closed = [](const wire::connection_ptr&, wire::close_reason) {
    };
    hooks.received = [this](const wire::connection_ptr&, const wire::frame& f)
    {
        if (f.type == wire::message_type::demand_report &&
            hooks_.demand_reported)
            hooks_.demand_reported(wire::decode<fb::demand_reportT>(f));
    };
    inner_address_ = loop_->listen(settings_.inner_listen, std::move(hooks));
    fb::helloT hello;
    hello.instance = settings_.instance.value;
    hello.kind = fb::process_kind::entry;
    hello.region = settings_.region.value;
    hello.failure_domain = settings_.failure_domain.value;
    hello.address = to_string(inner_address_);
    loop_->set_hello(std::move(hello));
}

path_services entry::make_services()
{
    return {loop_.get(),
            links_.get(),
            policy_.get(),
            &decisions_,
            &metrics_,
            &demand_,
            [this]
            {
                return ++next_number_;
            }};
}

link_hooks entry::make_link_hooks()
{
    link_hooks h;
    h.opened = [this](const instance_id& instance, std::uint64_t connection)
    {
        agent_opened(instance, connection);
    };
    h.lost = [this](const instance_id& instance, std::uint64_t connection)
    {
        agent_lost(instance, connection);
    };
    h.unreachable = [this](const instance_id& instance)
    {
        streams_->unreachable(instance);
        calls_->unreachable(instance);
    };
    h.changed = [this](const instance_id& instance)
    {
        engines_.changed(*links_, instance);
    };
    h.received = [this](const instance_id&, std::uint64_t connection,
                        const wire::frame& f)
    {
        if (!streams_->received(connection, f))
            calls_->received(connection, f);
    };
    return h;
}

platform_hooks entry::make_platform_hooks()
{
    platform_hooks h;
    h.sheet_changed = [this](const sheet_in_force& s)
    {
        sheet_changed(s);
    };
    h.assignments_changed = [this](const group_assignments& a)
    {
        assignments_changed(a);
    };
    h.listed = [this](const std::vector<store::instance_record>& list)
    {
        if (hooks_.listed)
            hooks_.listed(list);
        links_->apply_list(list);
        links_->connect_due();
    };
    return h;
}

void entry::agent_opened(const instance_id& instance, std::uint64_t connection)
{
    observe::log(observe::event::entry_agent_connected,
                 {{"instance", instance.value}});
    decisions_.add(decision_kind::instance_connected, {}, instance, "");
    links_->send(connection, wire::encode(config_.heartbeat()));
    send_assignment(instance);
    streams_->opened(instance, connection);
    calls_->opened(instance, connection);
    engines_.changed(*links_, instance);
}

void entry::agent_lost(const instance_id& instance, std::uint64_t connection)
{
    observe::log(observe::event::entry_agent_lost,
                 {{"instance", instance.value}});
    decisions_.add(decision_kind::instance_lost, {}, instance, "");
    streams_->lost(connection);
    calls_->lost(connection);
}

void entry::sheet_changed(const sheet_in_force& s)
{
    decisions_.add(decision_kind::sheet_in_force, {}, {},
                   "generation " + std::to_string(s.generation.value));
    policy_->sheet_changed(*s.sheet);
    links_->apply_drains(drained_instances(*s.sheet));
    links_->broadcast(wire::encode(config_.heartbeat()));
    if (hooks_.sheet_changed)
        hooks_.sheet_changed(s);
    admin_->set_ready(true, "ready");
}

void entry::assignments_changed(const group_assignments& a)
{
    for (const fb::assignmentT& assignment : a.assignments)
        send_assignment(instance_id(assignment.instance));
    links_->broadcast(wire::encode(config_.heartbeat()));
    decisions_.add(decision_kind::assignments_seen, {}, {},
                   a.group.value + " version " +
                       std::to_string(a.version.value));
    if (hooks_.assignments_changed)
        hooks_.assignments_changed(a);
}

void entry::send_assignment(const instance_id& instance)
{
    if (const auto assignment = config_.find_assignment(instance))
        links_->send_to(instance, wire::encode(*assignment));
}

void entry::tick(wire::loop& loop)
{
    links_->connect_due();
    streams_->tick();
    calls_->tick();
    metrics_.open_requests(
        static_cast<double>(streams_->size() + calls_->size()));
    // Uses the parameter, because loop_ is already null while the destructor
    // joins the loop's threads.
    loop.call_later(tick_interval, [this, &loop] { tick(loop); });
}

ip_address entry::http_address() const
{
    return server_->address();
}

ip_address entry::admin_address() const
{
    return admin_->address();
}

bool entry::is_ready() const
{
    return admin_->is_ready();
}

bool entry::has_open_requests() const
{
    return streams_->size() + calls_->size() > 0;
}

void entry::drain()
{
    front_->stop();
    admin_->set_ready(false, "shutting down");
    std::this_thread::sleep_for(settings_.timeouts.close_delay);
    server_->stop_accepting();
    // This ends, because each open request ends by its deadline.
    while (has_open_requests())
        std::this_thread::sleep_for(drain_poll_interval);
    const mono_time flush_deadline = now() + max_flush_time;
    while (server_->open_requests() > 0 && now() < flush_deadline)
        std::this_thread::sleep_for(drain_poll_interval);
}

std::map<group_id, group_view> entry::take_control_view()
{
    std::map<group_id, group_view> view;
    const mono_time t = now();
    for (member_view& m : links_->members())
    {
        if (!m.row.has_report)
            continue;
        view[m.row.record.group].agents.push_back(
            {m.row.record.instance, m.row.record.failure_domain, m.reason,
             std::move(m.row.report), t - m.row.reported_at});
    }
    for (auto& [group, demand] : demand_.take())
        view[group].demand = std::move(demand);
    return view;
}

void entry::record_control(const group_id& group, const instance_id& instance,
                           const std::string& what)
{
    decisions_.add(decision_kind::control, {}, instance,
                   "group " + group.value + ": " + what);
}

std::string entry::status_json() const
{
    const fb::heartbeatT own_heartbeat = config_.heartbeat();
    nlohmann::json instances = nlohmann::json::array();
    for (const member_view& m : links_->members())
        instances.push_back(member_json(m));
    const nlohmann::json status{
        {"instance", settings_.instance.value},
        {"ready", is_ready()},
        {"sheet_generation", own_heartbeat.sheet_generation},
        {"assignments_version", own_heartbeat.assignments_version},
        {"open_streams", streams_->size()},
        {"open_calls", calls_->size()},
        {"instances", std::move(instances)}};
    return status.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

void entry::admin(const net::http_request& request,
                  const net::responder_ptr& answer) const
{
    if (request.path == "/status")
        return answer->respond(net::json_response(200, status_json()));
    if (request.path != "/explain")
        return answer->respond({404, {}, "not found\n"});
    const std::string id = query_value(request, "request", "");
    const std::string name = query_value(request, "instance", "");
    try
    {
        const std::vector<decision> found =
            id.empty() ? decisions_.about(instance_id(name))
                       : decisions_.about(parse_request_id(id));
        answer->respond(net::json_response(200, to_json(found)));
    }
    catch (const parse_error& ec)
    {
        answer->respond({400, {}, std::string(ec.what()) + "\n"});
    }
}

} // namespace poplar::entry
