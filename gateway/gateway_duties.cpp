#include "gateway/gateway.hpp"
#include "platform/duties.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

namespace poplar::gateway
{

namespace
{

constexpr duration scale_call_timeout = std::chrono::seconds(1);
constexpr std::size_t max_scale_answer_bytes = std::size_t(16) << 10;

/// Runs `f` on the loop and waits for its result.
template <class F>
auto run_on(asio::io_context& loop, F f)
{
    return asio::post(loop, asio::use_future(std::move(f))).get();
}

} // namespace

void gateway::add_duties(engine_control_options& options)
{
    const auto& platform_api = state_.settings.platform_api;
    if (!platform_api)
        return;
    const platform::duty_set duties =
        platform::parse_duties(platform_api->duties);
    if (!duties.usage && !duties.scaling)
        return;
    // Also tells the gateways which of them holds the lease.
    run_on(loop_, [&] { usage_.start(platform_api->usage_window); });
    if (duties.usage)
        add_usage_duty(options);
    if (duties.scaling)
        add_scaling_duty(options, !duties.usage);
    options.on_stopped = [this]
    {
        asio::post(loop_, [this] { usage_.set_holder(false, std::nullopt); });
    };
    options.is_held_elsewhere = [this]
    {
        return run_on(loop_, [this] { return usage_.is_held_elsewhere(); });
    };
}

void gateway::add_usage_duty(engine_control_options& options)
{
    const auto duty = std::make_shared<usage_duty>(make_usage_duty_options());
    options.duties.emplace_back(
        [duty](duty_lease& lease, net::http_client& client)
        {
            duty->step(lease, [&client](net::client_request request)
                       { return client.fetch(std::move(request)); });
        });
}

void gateway::add_scaling_duty(engine_control_options& options,
                               bool acquires_lease)
{
    options.failure_domain = state_.settings.failure_domain;
    const auto duty = std::make_shared<scaling_duty>(
        make_scaling_duty_options(acquires_lease));
    options.duties.emplace_back(
        [duty, to = state_.settings.platform_api->address](
            duty_lease& lease, net::http_client& client)
        {
            duty->step(lease,
                       [&](const platform::duty_credentials& by,
                           const platform::scale_order& order)
                       {
                           net::client_request request =
                               platform::encode_scale_order(to, by, order);
                           request.timeout = scale_call_timeout;
                           request.max_response_bytes = max_scale_answer_bytes;
                           return client.fetch(std::move(request));
                       });
        });
}

usage_duty_options gateway::make_usage_duty_options()
{
    const platform_api_settings& platform_api = *state_.settings.platform_api;
    usage_duty_options o;
    o.platform_api = platform_api.address;
    o.holder = state_.settings.instance.value;
    o.window = platform_api.usage_window;
    o.view = [this]
    {
        return run_on(loop_, [this] { return usage_.view(); });
    };
    o.settle_time = [this]
    {
        return run_on(loop_, [this] { return usage_.settle_time(); });
    };
    o.totals = [this](policy::window_number first, policy::window_number last)
    {
        return run_on(loop_, [=, this] { return usage_.totals(first, last); });
    };
    o.announce = [this](bool is_holder,
                        std::optional<policy::window_number> fixed_through)
    {
        asio::post(loop_,
                   [=, this] { usage_.set_holder(is_holder, fixed_through); });
    };
    return o;
}

scaling_duty_options gateway::make_scaling_duty_options(bool acquires_lease)
{
    scaling_duty_options o;
    o.holder = state_.settings.instance.value;
    o.calls_per_second = state_.settings.platform_api->calls_per_second;
    o.acquires_lease = acquires_lease;
    o.view = [this]
    {
        return run_on(loop_, [this] { return view_scaling(); });
    };
    o.announce = [this](bool is_holder)
    {
        asio::post(loop_, [this, is_holder]
                   { usage_.set_holder(is_holder, std::nullopt); });
    };
    return o;
}

scaling_view gateway::view_scaling() const
{
    scaling_view v;
    if (!state_.current_routing)
        return v;
    for (const service& it : state_.current_routing->config.services)
        if (it.scaling)
            v.services.push_back(view_scaled(it));
    const usage_view gateways = usage_.view();
    v.holder_silence = gateways.holder_silence;
    v.index = gateways.index;
    v.gateways = gateways.gateways;
    // Registrations of gateways that were killed may stay; a gateway that hears
    // of fewer than half of them is probably cut off.
    v.is_complete =
        2 * (state_.loads.peer_count() + 1) >= registered_gateways_.size();
    return v;
}

scaled_service gateway::view_scaled(const service& s) const
{
    std::vector<scaled_upstream> upstreams;
    for (const auto& [id, u] : state_.upstreams.all())
        if (u->record.service == s.name &&
            u->record.state == upstream_state::ready && !u->health.is_leaving())
            upstreams.push_back(
                {u->record.failure_domain, u->record.stage, u->record.slots,
                 u->placed.own_load.in_flight + u->placed.peer_load.in_flight});
    std::vector<asked_work> asked;
    for (const auto& [name, demand] : state_.loads.demand_by_gateway(s.name))
    {
        const auto it =
            registered_gateways_.find(object_key(gateway_prefix + name));
        const bool is_own = name == state_.settings.instance.value;
        asked.push_back({is_own ? state_.settings.failure_domain
                         : it != registered_gateways_.end()
                             ? it->second.failure_domain
                             : failure_domain_id(),
                         demand.prefill + demand.decode});
    }
    return {s.name, *s.scaling, sum_scaling_load(upstreams, asked)};
}

/// Index of this gateway in the sorted list of registered gateways.
std::size_t gateway::gateway_index()
{
    return asio::post(loop_,
                      asio::use_future(
                          [this]
                          {
                              const object_key own(
                                  gateway_prefix +
                                  state_.settings.instance.value);
                              return std::size_t(std::distance(
                                  registered_gateways_.begin(),
                                  registered_gateways_.lower_bound(own)));
                          }))
        .get();
}

/// Engines that can receive orders, by service, with the demand of each
/// service.
std::map<service_id, service_snapshot> gateway::snapshot_engines()
{
    const auto take_snapshot = [this]
    {
        std::map<service_id, service_snapshot> services;
        for (const auto& [id, u] : state_.upstreams.all())
            if (u->record.stage != engine_stage::none &&
                u->record.state == upstream_state::ready &&
                !u->health.is_leaving())
                services[u->record.service].engines.push_back(
                    {u->record,
                     u->placed.own_load.in_flight +
                         u->placed.peer_load.in_flight,
                     u->health.accepts_requests(now())});
        for (auto& [name, it] : services)
            it.demand = state_.loads.demand(name);
        return services;
    };
    return asio::post(loop_, asio::use_future(take_snapshot)).get();
}

} // namespace poplar::gateway
