#include "gateway/fleet.hpp"

#include "observe/log.hpp"

#include <algorithm>
#include <ranges>

namespace poplar::gateway
{

namespace
{

using observe::event;

/// Fraction of an engine's KV memory that cached prefix blocks may fill;
/// running streams use the rest.
constexpr double max_cached_fraction = 0.85;

/// Upper bound of a pause requested by an upstream, so that a wrong header
/// value cannot take a service out of use.
constexpr duration max_requested_pause = std::chrono::seconds(60);
/// Saved health of a removed entry is discarded after this time; the entry is
/// then not expected to return.
constexpr duration max_absence = std::chrono::minutes(10);
/// Connections that a gateway may open to an upstream in any case.
constexpr unsigned min_connections = 4;
constexpr unsigned max_idle_connections = 16;

/// True if the entry now describes another process, address or service.
bool is_restarted(const upstream_record& before, const upstream_record& after)
{
    return before.address != after.address || before.service != after.service ||
           before.started_ms != after.started_ms ||
           before.version != after.version;
}

} // namespace

void upstream::update_placed(mono_time now)
{
    placed.usable =
        record.state == upstream_state::ready && health.is_usable(now);
    placed.is_saturated = is_saturated(now);
    placed.penalty_seconds = health.penalty_seconds();
}

bool upstream::accepts_requests(mono_time now) const
{
    return !is_removed && record.state == upstream_state::ready &&
           health.accepts_requests(now);
}

bool upstream::is_saturated(mono_time now) const
{
    return !limit->admits(now) || connections.is_full();
}

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
    const upstream_process process{digest(record.id.value), record.started_ms};
    if (u && is_restarted(u->record, record) && may_have_ended(process, now()))
        // The copy names the process that the present one replaced.
        return remove(record.id, now());
    if (is_written_before_end(process, record.write_number, now()))
    {
        observe::log(event::gateway_upstream_refused,
                     {{"upstream", record.id.value},
                      {"started_ms", record.started_ms},
                      {"write", record.write_number},
                      {"reason", "written before the process ended"}});
        return;
    }
    if (u && is_restarted(u->record, record))
    {
        if (u->record.started_ms != record.started_ms)
            ended_[process_of(*u)] = {now(), u->record.write_number};
        note_process_ended(*u);
        erase(u);
        u = nullptr;
    }
    const bool is_earlier = u && record.write_number != 0 &&
                            record.write_number < u->record.write_number;
    if (!u)
    {
        u = std::make_shared<upstream>(context_, record, connection_limits{});
        upstreams_[record.id] = u;
        by_key_[u->key] = u;
        fleet_of(record.service).members.push_back(u);
        note_version(record.service, record.version, now());
        restore_health(*u, now());
        mark_replaced(process);
    }
    if (!is_earlier)
        u->record = record;
    u->lapse_deadline = {};
    if (may_have_ended(process, now()))
        u->health.mark_reported_leaving(store_restored_at_ +
                                        settings_.ended_entry_time);
    else
        ended_.erase(process);
    apply_departure(*u, record.state, now());
    u->placed.id = record.id.value;
    u->placed.failure_domain = u->record.failure_domain;
    u->placed.stage = placed_stage_of(u->record.stage);
    u->placed.slots = u->record.slots;
    u->update_placed(now());
    set_limits(*u);
    const bool is_ready = record.state == upstream_state::ready;
    if (!is_ready)
        u->connections.close_idle();
    observe::log(event::gateway_upstream_changed,
                 {{"upstream", record.id.value},
                  {"service", record.service.value},
                  {"address", to_string(record.address)},
                  {"version", record.version.value},
                  {"stage", to_string(record.stage)},
                  {"state", is_ready ? "ready" : "draining"},
                  {"leaving", u->health.is_leaving() ? "yes" : "no"},
                  {"started_ms", record.started_ms},
                  {"write", record.write_number}});
}

void fleet::remove(const upstream_id& id, mono_time now)
{
    const upstream_ptr u = find(id);
    if (!u)
        return;
    const bool is_lapse = may_lapse(now) && !u->health.is_leaving() &&
                          u->record.state == upstream_state::ready;
    observe::log(event::gateway_upstream_removed,
                 {{"upstream", id.value},
                  {"started_ms", u->record.started_ms},
                  {"lapsed", is_lapse ? "yes" : "no"}});
    if (!is_lapse)
    {
        ended_[process_of(*u)] = {now, u->record.write_number};
        note_process_ended(*u);
        return erase(u);
    }
    u->lapse_deadline =
        std::max(store_connected_ ? store_back_at_ : now, store_restored_at_) +
        settings_.reregistration_time;
}

/// True if an entry that disappears now may have expired in a store outage, or
/// may have been written after the copy that the store was restored from.
bool fleet::may_lapse(mono_time now) const
{
    if (store_restored_at_ != mono_time{} &&
        now - store_restored_at_ < settings_.lapse_window)
        return true;
    if (!store_connected_)
        return now - store_lost_at_ > settings_.min_lapsing_outage;
    return store_outage_ > settings_.min_lapsing_outage &&
           now - store_back_at_ < settings_.lapse_window;
}

void fleet::erase(const upstream_ptr& it)
{
    save_health(*it, now());
    it->is_removed = true;
    it->placed.usable = false;
    it->connections.close_idle();
    std::erase(fleet_of(it->record.service).members, it);
    by_key_.erase(it->key);
    upstreams_.erase(it->record.id);
}

void fleet::save_health(const upstream& u, mono_time now)
{
    if (!u.health.accepts_requests(now) || u.limit->is_active())
        saved_health_[u.record.id] = {u.record.started_ms, u.health, u.limit,
                                      now};
}

void fleet::restore_health(upstream& u, mono_time now)
{
    const auto saved = saved_health_.find(u.record.id);
    if (saved == saved_health_.end())
        return;
    // Start times are compared for equality only: if the clock was set back, a
    // later process has an earlier start time.
    if (saved->second.started_ms == u.record.started_ms &&
        now - saved->second.removed_at < max_absence)
    {
        u.health = saved->second.health;
        u.limit = saved->second.limit;
    }
    saved_health_.erase(saved);
}

void fleet::discard_old_health(mono_time now)
{
    std::erase_if(saved_health_, [&](const auto& it)
                  { return now - it.second.removed_at >= max_absence; });
}

void fleet::note_answer(upstream& u, const answer_info& answer,
                        std::optional<mono_time> sent, mono_time now)
{
    log_late_request(u, answer, sent);
    // The answer may come from another process at a reused address.
    if (answer.is_leaving && answer.status != status_misdirected)
        note_leaving_answer(u, sent, now);
    const duration requested = answer.pause.value_or(duration::zero());
    if (answer.has_bad_pause || requested > max_requested_pause)
        observe::log(event::gateway_upstream_bad_pause,
                     {{"upstream", u.record.id.value},
                      {"asked_ms", to_milliseconds(requested)}});
    if (requested > duration::zero())
    {
        const mono_time pause_end =
            now + std::min(requested, max_requested_pause);
        if (u.health.accepts_requests(now))
            observe::log(event::gateway_upstream_pause,
                         {{"upstream", u.record.id.value},
                          {"pause_ms", to_milliseconds(pause_end - now)}});
        u.health.pause_until(pause_end);
    }
    note_limit(u, answer, sent, now);
    u.update_placed(now);
    propagate_health(u, now);
}

/// Copies health learned from an answer to the current entry of the process.
/// The entry may have been removed and restored while the call was open, so `u`
/// may no longer be the listed object.
void fleet::propagate_health(const upstream& u, mono_time now)
{
    const upstream_ptr current = find(u.record.id);
    if (!current)
    {
        save_health(u, now);
    }
    else if (current.get() != &u &&
             current->record.started_ms == u.record.started_ms)
    {
        if (u.health.is_leaving())
            current->health.mark_leaving();
        current->health.pause_until(u.health.usable_at());
        current->update_placed(now);
    }
}

call_hooks fleet::begin_call(const upstream_ptr& u)
{
    u->limit->record_call(now());
    return {[u] { return u->accepts_requests(now()); },
            [this, u](const answer_info& a, std::optional<mono_time> sent)
            {
                note_answer(*u, a, sent, now());
            }};
}

call_hooks fleet::begin_own_call(const upstream_ptr& u)
{
    call_hooks hooks = begin_call(u);
    hooks.may_send = [u]
    {
        return u->health.accepts_requests(now());
    };
    return hooks;
}

std::optional<duration> fleet::shortest_pause(const service_fleet& service,
                                              mono_time now)
{
    std::optional<duration> shortest;
    for (const upstream_ptr& it : service.members)
    {
        if (it->record.state != upstream_state::ready ||
            it->health.is_leaving() || it->health.is_reported_leaving(now) ||
            (it->health.is_usable(now) && it->limit->admits(now)))
            continue;
        const auto admitted_at = it->limit->admits_at(now);
        if (!admitted_at)
            continue;
        const duration pause =
            std::max(it->health.usable_at(), *admitted_at) - now;
        shortest = std::min(shortest.value_or(pause), pause);
    }
    return shortest;
}

void fleet::note_version(const service_id& service,
                         const software_version& version, mono_time now)
{
    versions_[service].note(version, now);
}

std::vector<software_version> fleet::recent_versions(const service_id& service,
                                                     mono_time now) const
{
    const auto it = versions_.find(service);
    return it == versions_.end() ? std::vector<software_version>()
                                 : it->second.recent(now);
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
        std::min(settings_.max_connection_share, 1 / double(peers_.size() + 1));
    const unsigned limit =
        std::max(min_connections, unsigned(share * it->second.max_connections));
    u.connections.set_limits({limit, std::min(limit, max_idle_connections)});
    u.placed.kv_capacity = it->second.kv_capacity;
    u.placed.cache.set_capacity(token_count(std::int64_t(
        max_cached_fraction * double(it->second.kv_capacity.value))));
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

/// A process that drains does not return to service, whatever the copy says.
void fleet::set_store_restored(mono_time now)
{
    store_restored_at_ = now;
    for (const auto& [id, u] : upstreams_)
        if (u->record.state == upstream_state::draining)
            u->health.mark_leaving();
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
    if (!store_connected_)
        extend_reported_leaving(now);
    last_sweep_at_ = now;
    for (const auto& [id, u] : upstreams_)
    {
        u->connections.close_expired(now);
        u->update_placed(now);
        note_version(u->record.service, u->record.version, now);
        if (u->lapse_deadline != mono_time{} && u->lapse_deadline < now)
            lapsed.push_back(u);
    }
    for (const upstream_ptr& it : lapsed)
    {
        observe::log(event::gateway_upstream_removed,
                     {{"upstream", it->record.id.value},
                      {"started_ms", it->record.started_ms},
                      {"lapsed", "ended"}});
        erase(it);
    }
    discard_old_health(now);
    discard_old_breaks(now);
    log_limited_calls(now);
    std::erase_if(ended_, [&](const auto& it)
                  { return now - it.second.at >= settings_.ended_memory; });
    discard_old_departures(now);
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

upstream_ptr fleet::find_by_key(std::uint64_t key) const
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
engines_of(const service_fleet& service, mono_time now)
{
    std::vector<const policy::placed_engine*> engines;
    engines.reserve(service.members.size());
    for (const upstream_ptr& it : service.members)
    {
        it->placed.is_saturated = it->is_saturated(now);
        engines.push_back(&it->placed);
    }
    return engines;
}

} // namespace poplar::gateway
