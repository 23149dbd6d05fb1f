#include "gateway/gateway.hpp"

#include "base/digest.hpp"
#include "gateway/loop_guard.hpp"
#include "gateway/stream_origin_message.hpp"
#include "observe/log.hpp"
#include "observe/metrics.hpp"
#include "platform/objects.hpp"
#include "platform/wire.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <ranges>

namespace poplar::gateway
{

namespace
{

using observe::event;

/// Maximum wait of one watch for registrations of gateways. It may be long: a
/// late registration only delays load reports, the division of the retry budget
/// and the order in which gateways take over the order lease.
constexpr duration registration_watch_time = std::chrono::seconds(25);
constexpr duration registration_gather_time = std::chrono::seconds(4);
/// Fraction of the `apply` time for which a state of the store counts as
/// current after its confirmation. When the leading gateways fail, the others
/// receive a change that much later; the rest of the time is for reports and
/// calls on slow links.
constexpr double configuration_validity_share = 0.5;
/// Maximum wait of a leading gateway's watch, as a fraction of that validity.
constexpr double leader_watch_share = 0.6;
/// Fractions of the `drain` time, in which a gateway must learn that an
/// upstream drains, even if a watch stops responding and this is not detected
/// at once: changes are batched (gather), then a watch waits, and an overdue
/// answer is given up after the margin. The rest is for a second call and for
/// requests already in flight.
constexpr double gather_share = 0.12;
constexpr double upstream_watch_share = 0.6;
static_assert(gather_share + upstream_watch_share + watch_margin_share < 0.95,
              "requests reach an upstream that drains for too long");
constexpr duration cache_list_timeout = std::chrono::seconds(1);
constexpr std::size_t max_cache_list_bytes = std::size_t(1) << 20; // bytes
constexpr duration sweep_interval = std::chrono::milliseconds(250);
/// Number of gateways assumed to share the retry budget until they have
/// registered. It must be above the real number, so that the sum of their
/// shares stays within the budget.
constexpr std::size_t assumed_gateway_count = 32;
/// The budget is divided by at least this number, because registrations may be
/// missing or late.
constexpr std::size_t min_gateway_count = 4;
/// Fraction of the retry ratio that is granted. The rest is a margin for the
/// ratio measured over a time window.
constexpr double retry_ratio_share = 0.8;
constexpr int missed_heartbeats_to_lapse = 3;
/// This gateway may detect an outage of the store later than the upstreams do.
constexpr duration outage_detection_margin = std::chrono::milliseconds(1000);

/// Retry budget of one gateway out of `gateways`.
policy::retry_budget_settings retry_budget_of(const shared_retry_settings& s,
                                              std::size_t gateways)
{
    policy::retry_budget_settings r;
    r.per_first_attempt = s.ratio * retry_ratio_share;
    r.capacity =
        double(s.slack) / double(std::max(gateways, min_gateway_count));
    r.initial = double(s.slack) / double(assumed_gateway_count);
    return r;
}

fleet_settings fleet_settings_of(const gateway_settings& s)
{
    fleet_settings f;
    f.retries = retry_budget_of(s.retries, assumed_gateway_count);
    const duration lapse = s.timeouts.heartbeat * missed_heartbeats_to_lapse;
    f.min_lapsing_outage = lapse - outage_detection_margin;
    f.ended_entry_time = lapse + outage_detection_margin;
    return f;
}

duration fraction_of(duration total, double share)
{
    return policy::from_seconds(policy::seconds(total) * share);
}

duration configuration_validity(const gateway_settings& s)
{
    return fraction_of(s.timeouts.apply, configuration_validity_share);
}

std::optional<followed_state> followed_state_of(const store::watcher& w)
{
    const store::watched_state s = w.state();
    if (s.confirmed == mono_time{})
        return std::nullopt;
    return followed_state{s.digest, now() - s.confirmed};
}

void compare_with_peer(store::watcher& w,
                       const std::optional<followed_state>& peer_state)
{
    if (peer_state)
        w.compare({peer_state->digest, now() - peer_state->age});
}

} // namespace

gateway::gateway(const gateway_settings& settings, store::object_store& store)
    : store_(store), state_(loop_, settings, fleet_settings_of(settings)),
      callers_(listen_at(loop_, settings.listen)),
      ready_(listen_at(loop_, settings.ready)),
      admin_(listen_at(loop_, settings.admin)),
      status_hooks_(make_status_hooks()),
      configuration_sharing_(settings.instance.value,
                             digest(platform::configuration_prefix),
                             configuration_validity(settings)),
      usage_(loop_, state_.usage, state_.loads, settings.instance.value)
{
    start_watchers();
    start_loop();
}

gateway::~gateway()
{
    stop_store_work();
    close_sessions();
    loop_.stop();
    thread_.join();
}

ip_address gateway::address() const
{
    return address_of(callers_);
}

ip_address gateway::ready_address() const
{
    return address_of(ready_);
}

ip_address gateway::admin_address() const
{
    return address_of(admin_);
}

void gateway::apply(const gateway_settings& settings)
{
    asio::post(loop_,
               [this, settings]
               {
                   state_.settings.limits = settings.limits;
                   state_.settings.retries = settings.retries;
                   update_retry_budgets();
               });
}

void gateway::start_watchers()
{
    const gateway_timeouts& t = state_.settings.timeouts;
    store::watcher_options options;
    options.confirmed_for = configuration_validity(state_.settings);
    options.poll = fraction_of(options.confirmed_for, leader_watch_share);
    options.longest_pause = std::chrono::milliseconds(500);
    options.prefix = platform::configuration_prefix;
    store::watcher_hooks hooks;
    hooks.changed = [this](const store::object& o)
    {
        asio::post(loop_, [this, o] { on_configuration(o); });
    };
    configuration_watcher_ =
        std::make_unique<store::watcher>(store_, options, hooks);
    state_.is_configuration_confirmed = [this]
    {
        return configuration_watcher_ &&
               now() - configuration_watcher_->confirmed() <
                   state_.settings.timeouts.apply;
    };
    options.prefix = platform::upstream_prefix;
    // Each gateway watches the upstreams itself: news of a draining upstream
    // would arrive too late through a peer, and outages of the store must be
    // detected here.
    options.confirmed_for = duration::zero();
    options.poll = fraction_of(t.drain, upstream_watch_share);
    options.gather = fraction_of(t.drain, gather_share);
    hooks.changed = [this](const store::object& o)
    {
        asio::post(loop_, [this, o] { on_upstream(o); });
    };
    hooks.restored = [this]
    {
        asio::post(loop_,
                   [this] { state_.upstreams.set_store_restored(now()); });
    };
    hooks.connection = [this](bool connected)
    {
        asio::post(loop_, [this, connected]
                   { state_.upstreams.set_store_connected(connected, now()); });
    };
    upstream_watcher_ =
        std::make_unique<store::watcher>(store_, options, hooks);
    options.prefix = gateway_prefix;
    options.confirmed_for = duration::zero();
    options.poll = registration_watch_time;
    options.gather = registration_gather_time;
    hooks.changed = [this](const store::object& o)
    {
        asio::post(loop_, [this, o] { on_gateway(o); });
    };
    hooks.restored = nullptr;
    hooks.connection = nullptr;
    gateway_watcher_ = std::make_unique<store::watcher>(store_, options, hooks);
    record_writer_ = std::make_unique<record_writer>(store_);
    start_fatal_request_sharing(options);
    start_version_sharing(options);
}

void gateway::start_loop()
{
    asio::co_spawn(loop_, accept_callers(), log_failure("accept_callers"));
    asio::co_spawn(loop_, serve_status(ready_, status_hooks_),
                   log_failure("serve_ready"));
    asio::co_spawn(loop_, serve_status(admin_, status_hooks_),
                   log_failure("serve_admin"));
    asio::co_spawn(loop_, sweep_periodically(), log_failure("sweep"));
    state_.loads.start(make_load_exchange_hooks());
    thread_ = std::thread([this] { run_loop(loop_); });
    engine_control_options o;
    o.instance = state_.settings.instance;
    o.peer = state_.loads.address();
    o.order_handover_gap = state_.settings.timeouts.order_lease;
    o.gateway_index = [this]
    {
        return gateway_index();
    };
    o.on_leaving = [this](const upstream_record& engine, mono_time sent)
    {
        asio::post(loop_, [this, engine, sent]
                   { state_.upstreams.note_leaving(engine, sent, now()); });
    };
    add_duties(o);
    control_ = std::make_unique<engine_control>(
        store_, o, [this] { return snapshot_engines(); });
}

/// Gateways send each other the digest of their state of the store and its age.
/// While the digests are equal, the watches of the leading gateways confirm the
/// state for all.
load_exchange_hooks gateway::make_load_exchange_hooks()
{
    load_exchange_hooks hooks;
    hooks.has_dependent_peers = [this]
    {
        return configuration_sharing_.is_leader();
    };
    hooks.before_send = [this](load_report& report)
    {
        usage_.stamp(report);
        if (!configuration_watcher_)
            return;
        report.configuration = followed_state_of(*configuration_watcher_);
    };
    hooks.on_other_message =
        [this](std::span<const char> bytes, const asio::ip::udp::endpoint& from)
    {
        if (is_usage_message(bytes))
            usage_.on_datagram(bytes);
        else if (is_stream_origin_message(bytes))
            state_.origins.on_datagram(bytes, from);
        else
            return false;
        return true;
    };
    hooks.on_report =
        [this](const load_report& report, const asio::ip::udp::endpoint& from)
    {
        usage_.on_load_report(report, from);
        if (!configuration_watcher_)
            return;
        compare_with_peer(*configuration_watcher_, report.configuration);
        if (report.configuration)
            configuration_sharing_.update_peer(
                report.sender, report.configuration->age, now());
        update_watch_leadership();
    };
    hooks.on_peers_expired = [this](mono_time before)
    {
        configuration_sharing_.expire(before);
        update_watch_leadership();
    };
    return hooks;
}

void gateway::update_watch_leadership()
{
    if (!configuration_watcher_)
        return;
    configuration_watcher_->set_leading(configuration_sharing_.is_leader());
}

void gateway::on_configuration(const store::object& o)
{
    if (o.key.value != platform::configuration_key || o.value.empty())
        return;
    try
    {
        const auto candidate = std::make_shared<const routing>(
            make_routing(platform::decode_configuration(o.value)));
        const bool is_newer =
            !state_.current_routing ||
            candidate->config.version > state_.current_routing->config.version;
        if (!is_newer)
            return;
        state_.upstreams.configure(candidate->config);
        state_.current_routing = candidate;
        observe::log(event::gateway_configuration_in_force,
                     {{"version", candidate->config.version.value},
                      {"era", era_of(o.version).value},
                      {"revision", revision_of(o.version)},
                      {"routes", candidate->config.routes.size()}});
        if (candidate->accounts)
            log_accounts(*candidate);
    }
    catch (const parse_error& ec)
    {
        observe::log(
            event::gateway_configuration_refused,
            {{"revision", revision_of(o.version)}, {"reason", ec.what()}});
    }
}

void gateway::log_accounts(const routing& r)
{
    observe::log(event::gateway_accounts_in_force,
                 {{"version", r.config.version.value},
                  {"accounts", r.accounts->table.account_count()},
                  {"keys", r.accounts->table.key_count()}});
    if (r.accounts->table.duplicate_count() > 0)
        observe::log(event::gateway_duplicate_keys,
                     {{"version", r.config.version.value},
                      {"keys", r.accounts->table.duplicate_count()}});
}

void gateway::on_upstream(const store::object& o)
{
    const bool is_removed = o.version == object_version();
    const std::string name =
        o.key.value.substr(std::string(platform::upstream_prefix).size());
    if (is_removed)
    {
        refused_upstreams_.erase(name);
        return state_.upstreams.remove(upstream_id(name), now());
    }
    try
    {
        const bool is_new = !state_.upstreams.find(upstream_id(name));
        state_.upstreams.apply(platform::decode_upstream(o.key, o.value));
        refused_upstreams_.erase(name);
        const upstream_ptr u = state_.upstreams.find(upstream_id(name));
        if (is_new && u && u->record.stage != engine_stage::none)
            asio::co_spawn(loop_, fetch_cached_blocks(u),
                           log_failure("fetch_cached_blocks"));
    }
    catch (const parse_error& ec)
    {
        if (std::exchange(refused_upstreams_[name], ec.what()) != ec.what())
            observe::log(event::gateway_upstream_refused,
                         {{"upstream", excerpt(name)}, {"reason", ec.what()}});
        state_.upstreams.remove(upstream_id(name), now());
    }
}

void gateway::update_retry_budgets()
{
    const std::size_t reporting_gateways = state_.loads.peer_count() + 1;
    state_.upstreams.set_retries(retry_budget_of(
        state_.settings.retries,
        std::max(registered_gateways_.size(), reporting_gateways)));
}

asio::awaitable<void> gateway::fetch_cached_blocks(upstream_ptr u)
{
    call_request request;
    request.head.version(11);
    request.head.method(http::verb::get);
    request.head.target(platform::cache_list_path());
    request.head.set(http::field::host, to_string(u->record.address));
    request.body = std::make_shared<std::string>();
    request.timeout = cache_list_timeout;
    request.hooks = state_.upstreams.begin_own_call(u);
    upstream_call call(u->connections, std::move(request));
    call_status status = co_await call.start();
    std::string body;
    if (status == call_status::ok)
        status = co_await call.read_all(body, max_cache_list_bytes);
    if (status != call_status::ok || call.info().status != 200)
    {
        observe::log(
            event::gateway_cache_not_learned,
            {{"upstream", u->record.id.value}, {"reason", to_string(status)}});
        co_return;
    }
    try
    {
        std::vector<policy::prefix_block> blocks;
        for (const prefix_block& it : platform::decode_cache_list(body))
            blocks.push_back({it.digest.value, it.tokens});
        u->placed.cache.add(blocks, now());
        observe::log(
            event::gateway_cache_learned,
            {{"upstream", u->record.id.value}, {"parts", blocks.size()}});
    }
    catch (const parse_error& ec)
    {
        observe::log(event::gateway_cache_not_learned,
                     {{"upstream", u->record.id.value}, {"reason", ec.what()}});
    }
}

void gateway::on_gateway(const store::object& o)
{
    registered_gateways_.erase(o.key);
    try
    {
        if (o.version != object_version())
            registered_gateways_[o.key] = decode_registration(o.value);
    }
    catch (const parse_error& ec)
    {
        observe::log(event::gateway_store_call_failed,
                     {{"object", o.key.value}, {"reason", ec.what()}});
    }
    std::vector<ip_address> peers;
    std::ranges::transform(registered_gateways_ | std::views::values,
                           std::back_inserter(peers),
                           &gateway_registration::peer);
    state_.loads.set_peers(peers);
    update_retry_budgets();
}

asio::awaitable<void> gateway::sweep_periodically()
{
    asio::steady_timer timer(loop_);
    while (true)
    {
        timer.expires_after(sweep_interval);
        co_await timer.async_wait(asio::use_awaitable);
        run_step("sweep", [this] { sweep(); });
    }
}

void gateway::sweep()
{
    state_.upstreams.sweep(now());
    state_.metrics.set_caller_bytes(state_.memory.total());
    state_.metrics.set_held_requests(
        state_.upstreams.fatal_requests().held_count(now()));
    trimmer_.sweep(now());
    state_.origins.discard_old();
    update_version_records();
    if (!registered_gateways_.empty())
        update_retry_budgets();
}

bool gateway::is_ready() const
{
    return state_.current_routing && !state_.is_draining &&
           are_fatal_requests_known_ && state_.are_versions_known &&
           !state_.upstreams.services().empty();
}

status_answer gateway::answer_status(const std::string& path) const
{
    if (path == "/metrics")
        return {200, observe::metrics_text()};
    if (path == "/healthz")
        return {200, "ok\n"};
    return is_ready() ? status_answer{200, "ready\n"}
                      : status_answer{503, "not ready\n"};
}

} // namespace poplar::gateway
