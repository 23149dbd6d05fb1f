#include "entry/agent_links.hpp"

#include "observe/log.hpp"

#include <ranges>
#include <utility>

namespace poplar::entry
{

agent_links::agent_links(wire::loop& loop, membership_options options,
                         link_hooks hooks)
    : loop_(loop), hooks_(std::move(hooks)), table_(options)
{
}

void agent_links::apply_list(const std::vector<store::instance_record>& list)
{
    std::set<instance_id> affected;
    for (const store::instance_record& record : list)
        affected.insert(record.instance);
    {
        absl::MutexLock lock(&mutex_);
        // Instances that are no longer listed may be removed from the table.
        for (const auto& [name, m] : table_.members())
            affected.insert(name);
        table_.apply_list(now(), list);
    }
    for (const instance_id& instance : affected)
        hooks_.changed(instance);
}

void agent_links::apply_drains(std::set<instance_id> drained)
{
    {
        absl::MutexLock lock(&mutex_);
        table_.apply_drains(std::move(drained));
    }
    for (const member_view& m : members())
        hooks_.changed(m.row.record.instance);
}

void agent_links::connect_due()
{
    std::vector<pending_connect> due;
    {
        absl::MutexLock lock(&mutex_);
        due = table_.take_due_connects(now());
    }
    for (const pending_connect& target : due)
        connect(target);
}

void agent_links::connect(const pending_connect& target)
{
    const instance_id instance = target.instance;
    const std::uint64_t connection_id = ++last_connection_id_;
    wire::connection_hooks hooks;
    hooks.opened = [this, instance, connection_id](
                       const wire::connection_ptr& c, const fb::helloT& peer)
    {
        on_opened(instance, connection_id, c, peer);
    };
    hooks.received = [this, instance, connection_id](
                         const wire::connection_ptr&, const wire::frame& f)
    {
        on_frame(instance, connection_id, f);
    };
    hooks.closed = [this, instance, connection_id](const wire::connection_ptr&,
                                                   wire::close_reason)
    {
        on_closed(instance, connection_id);
    };
    loop_.connect(target.address, std::move(hooks));
}

void agent_links::on_opened(const instance_id& instance,
                            std::uint64_t connection_id,
                            const wire::connection_ptr& c,
                            const fb::helloT& peer)
{
    bool is_accepted = false;
    {
        absl::MutexLock lock(&mutex_);
        is_accepted = table_.opened(now(), instance, connection_id, peer);
        if (is_accepted)
            open_[connection_id] = c;
    }
    if (!is_accepted)
    {
        observe::log(observe::event::entry_wrong_agent,
                     {{"expected", instance.value}, {"found", peer.instance}});
        return c->close();
    }
    hooks_.opened(instance, connection_id);
}

void agent_links::on_closed(const instance_id& instance,
                            std::uint64_t connection_id)
{
    bool was_open = false;
    {
        absl::MutexLock lock(&mutex_);
        open_.erase(connection_id);
        was_open = table_.closed(now(), instance, connection_id);
    }
    if (was_open)
        hooks_.lost(instance, connection_id);
    else
        hooks_.unreachable(instance);
    hooks_.changed(instance);
    connect_due();
}

void agent_links::on_frame(const instance_id& instance,
                           std::uint64_t connection_id, const wire::frame& f)
{
    switch (f.type)
    {
    case wire::message_type::load_report:
    {
        absl::MutexLock lock(&mutex_);
        table_.report(now(), instance, connection_id,
                      wire::decode<fb::load_reportT>(f));
        break;
    }
    case wire::message_type::goaway:
    {
        absl::MutexLock lock(&mutex_);
        table_.goaway(instance, connection_id);
        break;
    }
    case wire::message_type::heartbeat:
        return;
    default:
        return hooks_.received(instance, connection_id, f);
    }
    hooks_.changed(instance);
}

wire::connection_ptr agent_links::connection(std::uint64_t connection_id) const
{
    absl::MutexLock lock(&mutex_);
    const auto it = open_.find(connection_id);
    return it == open_.end() ? nullptr : it->second;
}

bool agent_links::send(std::uint64_t connection_id, std::string encoded)
{
    const wire::connection_ptr c = connection(connection_id);
    return c && c->send(std::move(encoded));
}

bool agent_links::send_to(const instance_id& instance, std::string encoded)
{
    std::uint64_t connection_id = 0;
    {
        absl::MutexLock lock(&mutex_);
        const member* m = table_.find(instance);
        connection_id = m ? m->connection : 0;
    }
    return send(connection_id, std::move(encoded));
}

void agent_links::broadcast(const std::string& encoded)
{
    std::vector<wire::connection_ptr> all;
    {
        absl::MutexLock lock(&mutex_);
        for (const auto& [connection_id, c] : open_)
            all.push_back(c);
    }
    for (const wire::connection_ptr& c : all)
        c->send(encoded);
}

std::uint64_t agent_links::usable_connection(const instance_id& instance) const
{
    absl::MutexLock lock(&mutex_);
    if (table_.why_unusable(instance) != unusable_reason::none)
        return 0;
    return table_.find(instance)->connection;
}

std::vector<instance_id> agent_links::usable(const group_id& group) const
{
    std::vector<instance_id> result;
    absl::MutexLock lock(&mutex_);
    for (const member* m : table_.usable(group))
        result.push_back(m->record.instance);
    return result;
}

owner_route agent_links::route_to_owner(const service_id& service,
                                        unsigned shard,
                                        const ip_address& hint) const
{
    absl::MutexLock lock(&mutex_);
    return table_.route_to_owner(now(), service, shard, hint);
}

std::vector<member_view> agent_links::members() const
{
    std::vector<member_view> result;
    absl::MutexLock lock(&mutex_);
    for (const auto& [name, m] : table_.members())
        result.push_back({m, table_.why_unusable(name)});
    return result;
}

std::optional<member_view> agent_links::find(const instance_id& instance) const
{
    absl::MutexLock lock(&mutex_);
    const member* m = table_.find(instance);
    if (!m)
        return std::nullopt;
    return member_view{*m, table_.why_unusable(instance)};
}

} // namespace poplar::entry
