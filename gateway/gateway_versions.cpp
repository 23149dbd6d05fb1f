// Software versions of services, as recorded in the store.
#include "gateway/gateway.hpp"
#include "observe/log.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iterator>

namespace poplar::gateway
{

namespace
{

using observe::event;

/// Each later gateway waits this much longer before it writes a record.
constexpr duration write_delay = std::chrono::milliseconds(400);
constexpr std::int64_t max_write_delays = 4;
/// Time for a written record to come back from the store.
constexpr duration write_time = std::chrono::seconds(3);

version_set versions_of(const service_fleet* fleet)
{
    version_set versions;
    if (fleet)
        for (const upstream_ptr& it : fleet->members)
            versions.insert(it->record.version);
    return versions;
}

version_set difference(const version_set& a, const version_set& b)
{
    version_set d;
    std::ranges::set_difference(a, b, std::inserter(d, d.end()));
    return d;
}

} // namespace

void gateway::start_version_sharing(store::watcher_options options)
{
    options.prefix = version_prefix;
    store::watcher_hooks hooks;
    hooks.changed = [this](const store::object& o)
    {
        asio::post(loop_, [this, o] { on_version_record(o); });
    };
    hooks.connection = [this](bool connected)
    {
        if (connected)
            asio::post(loop_, [this] { state_.are_versions_known = true; });
    };
    version_watcher_ = std::make_unique<store::watcher>(store_, options, hooks);
    state_.are_upstreams_confirmed = [this]
    {
        return upstream_watcher_ && now() - upstream_watcher_->confirmed() <
                                        state_.settings.timeouts.drain;
    };
}

void gateway::on_version_record(const store::object& o)
{
    const service_id service = version_record_service(o.key);
    version_set& recorded = recorded_versions_[service];
    try
    {
        recorded = o.version == object_version() ? version_set()
                                                 : decode_versions(o.value);
        for (const software_version& it : recorded)
            state_.upstreams.note_version(service, it, now());
        observe::log(event::gateway_versions_recorded,
                     {{"service", service.value},
                      {"versions", encode_versions(recorded)}});
    }
    catch (const parse_error& ec)
    {
        recorded.clear();
        observe::log(event::gateway_store_call_failed,
                     {{"object", o.key.value}, {"reason", ec.what()}});
    }
}

void gateway::update_version_records()
{
    if (!state_.are_versions_known || !record_writer_)
        return;
    for (const auto& [service, history] : state_.upstreams.versions())
    {
        const auto recent = history.recent(now());
        update_version_record(service, {recent.begin(), recent.end()});
    }
}

void gateway::update_version_record(const service_id& service,
                                    const version_set& recent)
{
    const version_set& recorded = recorded_versions_[service];
    const version_set present = versions_of(state_.upstreams.find(service));
    const version_set lapsed = difference(recorded, recent);
    if (lapsed.empty() && difference(present, recorded).empty())
    {
        versions_changed_at_.erase(service);
        return;
    }
    const auto since = versions_changed_at_.try_emplace(service, now()).first;
    const object_key own(gateway_prefix + state_.settings.instance.value);
    const auto index = std::distance(registered_gateways_.begin(),
                                     registered_gateways_.lower_bound(own));
    if (now() - since->second <
        write_delay * std::min<std::int64_t>(index, max_write_delays))
        return;
    since->second = now() + write_time;
    record_writer_->change(version_record_key(service),
                           [present, lapsed](const store::object& record) {
                               return update_versions(record, present, lapsed);
                           });
}

} // namespace poplar::gateway
