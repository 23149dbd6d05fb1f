#include "gateway/fleet.hpp"

#include "observe/log.hpp"

#include <algorithm>
#include <ranges>

namespace poplar::gateway
{

namespace
{

using observe::event;

/// Part of an engine's memory that cached parts may fill; running requests use
/// the rest.
constexpr double cached_share = 0.85;

/// Another process runs under the id, or at another place.
bool is_restarted(const upstream_record& before, const upstream_record& after)
{
    return before.address != after.address || before.service != after.service ||
           before.started_ms != after.started_ms;
}

} // namespace

fleet::fleet(asio::io_context& context, const fleet_settings& settings)
    : context_(context), settings_(settings)
{
}

service_fleet& fleet::fleet_of(const service_id& service)
{
    const auto [it, is_new] = services_.try_emplace(service);
    if (is_new)
    {
        it->second.placement = policy::engine_placement(settings_.placement);
        it->second.retries = policy::retry_budget(settings_.retries);
    }
    return it->second;
}

void fleet::apply(const upstream_record& record)
{
    upstream_ptr u = find(record.id);
    if (u && is_restarted(u->record, record))
    {
        erase(u);
        u = nullptr;
    }
    if (!u)
    {
        u = std::make_shared<upstream>(context_, record, connection_limits{});
        upstreams_[record.id] = u;
        by_key_[u->key] = u;
        fleet_of(record.service).members.push_back(u);
    }
    u->record = record;
    u->lapses_at = {};
    u->placed.id = record.id.value;
    u->placed.failure_domain = record.failure_domain;
    u->placed.stage = placed_stage_of(record.stage);
    u->placed.usable = record.state == upstream_state::ready;
    u->placed.slots = record.slots;
    set_limits(*u);
    if (!u->placed.usable)
        u->connections.close_idle();
    observe::log(event::gateway_upstream_changed,
                 {{"upstream", record.id.value},
                  {"service", record.service.value},
                  {"address", to_string(record.address)},
                  {"stage", to_string(record.stage)},
                  {"state", u->placed.usable ? "ready" : "draining"}});
}

void fleet::remove(const upstream_id& id, mono_time now)
{
    const upstream_ptr u = find(id);
    if (!u)
        return;
    const bool lapses = may_lapse(now) && u->placed.usable;
    observe::log(event::gateway_upstream_removed,
                 {{"upstream", id.value}, {"lapsed", lapses ? "yes" : "no"}});
    if (!lapses)
        return erase(u);
    u->lapses_at =
        (store_connected_ ? store_back_at_ : now) + settings_.return_time;
}

/// True when an entry that vanishes may have lapsed while the store was away.
bool fleet::may_lapse(mono_time now) const
{
    if (!store_connected_)
        return now - store_lost_at_ > settings_.shortest_lapsing_outage;
    return store_outage_ > settings_.shortest_lapsing_outage &&
           now - store_back_at_ < settings_.lapse_window;
}

void fleet::erase(const upstream_ptr& it)
{
    it->placed.usable = false;
    it->connections.close_idle();
    std::erase(fleet_of(it->record.service).members, it);
    by_key_.erase(it->key);
    upstreams_.erase(it->record.id);
}

void fleet::configure(const configuration& config)
{
    for (const service& it : config.services)
        configured_[it.name] = it;
    for (const auto& [id, u] : upstreams_)
        set_limits(*u);
}

void fleet::set_limits(upstream& u) const
{
    const auto it = configured_.find(u.record.service);
    if (it == configured_.end())
        return;
    const double share =
        settings_.connection_share * it->second.max_connections;
    const unsigned most = std::max(4U, unsigned(share));
    u.connections.set_limits({most, std::min(most, 16U)});
    u.placed.kv_capacity = it->second.kv_capacity;
    u.placed.cache.set_capacity(token_count(
        std::int64_t(cached_share * double(it->second.kv_capacity.value))));
}

void fleet::set_store_connected(bool connected, mono_time now)
{
    if (!connected)
        store_lost_at_ = now;
    else if (store_lost_at_ != mono_time{})
        store_outage_ = now - store_lost_at_;
    if (connected)
        store_back_at_ = now;
    store_connected_ = connected;
}

void fleet::set_retries(const policy::retry_budget_settings& retries)
{
    settings_.retries = retries;
    for (auto& [name, it] : services_)
        it.retries.configure(retries);
}

void fleet::sweep(mono_time now)
{
    std::vector<upstream_ptr> lapsed;
    for (const auto& [id, u] : upstreams_)
    {
        u->connections.close_stale(now);
        u->placed.usable = u->record.state == upstream_state::ready &&
                           !u->health.is_paused(now);
        u->placed.penalty_seconds = u->health.penalty_seconds();
        if (u->lapses_at != mono_time{} && u->lapses_at < now)
            lapsed.push_back(u);
    }
    for (const upstream_ptr& it : lapsed)
    {
        observe::log(event::gateway_upstream_removed,
                     {{"upstream", it->record.id.value}, {"lapsed", "ended"}});
        erase(it);
    }
}

void fleet::close_idle_connections()
{
    for (const auto& [id, u] : upstreams_)
        u->connections.close_idle();
}

service_fleet* fleet::find(const service_id& service)
{
    const auto it = services_.find(service);
    return it == services_.end() ? nullptr : &it->second;
}

upstream_ptr fleet::find(const upstream_id& id) const
{
    const auto it = upstreams_.find(id);
    return it == upstreams_.end() ? nullptr : it->second;
}

upstream_ptr fleet::find_key(std::uint64_t key) const
{
    const auto it = by_key_.find(key);
    return it == by_key_.end() ? nullptr : it->second;
}

std::string to_string(engine_stage stage)
{
    switch (stage)
    {
    case engine_stage::none:
        return "none";
    case engine_stage::prefill:
        return "prefill";
    case engine_stage::decode:
        return "decode";
    }
    return "none";
}

policy::placed_stage placed_stage_of(engine_stage stage)
{
    return stage == engine_stage::prefill ? policy::placed_stage::prefill
                                          : policy::placed_stage::decode;
}

bool has_engines(const service_fleet& service)
{
    return std::ranges::any_of(
        service.members, [](const upstream_ptr& it)
        { return it->record.stage != engine_stage::none; });
}

std::vector<const policy::placed_engine*>
engines_of(const service_fleet& service)
{
    std::vector<const policy::placed_engine*> engines;
    engines.reserve(service.members.size());
    for (const upstream_ptr& it : service.members)
        engines.push_back(&it->placed);
    return engines;
}

} // namespace poplar::gateway
