#include "entry/membership.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <utility>

namespace poplar::entry
{

namespace
{

constexpr unsigned max_doublings = 10;
/// A backoff is multiplied by a pseudo-random factor between this and 1.
constexpr double min_jitter_factor = 0.5;

owner_route send_to(const member& m, bool take_over)
{
    return {owner_route::action_kind::send, m.record.instance, m.connection,
            take_over, duration::zero()};
}

} // namespace

std::string to_string(unusable_reason reason)
{
    switch (reason)
    {
    case unusable_reason::none:
        return "usable";
    case unusable_reason::not_connected:
        return "not connected";
    case unusable_reason::listed_leaving:
        return "listed as leaving";
    case unusable_reason::received_goaway:
        return "agent is stopping";
    case unusable_reason::drained_by_sheet:
        return "drained by the sheet";
    case unusable_reason::reported_draining:
        return "agent reports draining";
    case unusable_reason::changing:
        return "role or model is changing";
    case unusable_reason::not_ready:
        return "upstream is not ready";
    case unusable_reason::no_report:
        return "no load report yet";
    }
    return "unknown";
}

std::uint32_t cell_of(const instance_id& instance, unsigned cell_count)
{
    std::uint32_t best = 0;
    std::uint64_t max_weight = 0;
    for (std::uint32_t cell = 0; cell < cell_count; ++cell)
    {
        const std::uint64_t weight = rendezvous_weight(instance.value, cell);
        if (weight > max_weight)
            std::tie(best, max_weight) = std::pair(cell, weight);
    }
    return best;
}

membership::membership(membership_options options) : options_(options) {}

bool membership::is_in_cell(const store::instance_record& record) const
{
    return record.kind != store::instance_kind::entry &&
           cell_of(record.instance, options_.cell_count) == options_.cell;
}

void membership::apply_list(mono_time now,
                            const std::vector<store::instance_record>& list)
{
    for (auto& [name, m] : members_)
        m.is_listed = false;
    for (const store::instance_record& record : list)
    {
        if (!is_in_cell(record))
            continue;
        member& m = members_[record.instance];
        if (m.record.address != record.address)
        {
            m.next_attempt = now;
            m.failures = 0;
        }
        m.record = record;
        m.is_listed = true;
    }
    std::erase_if(
        members_, [](const auto& it)
        { return !it.second.is_listed && it.second.link == link_state::down; });
}

void membership::apply_drains(std::set<instance_id> drained)
{
    drained_instances_ = std::move(drained);
}

std::vector<pending_connect> membership::take_due_connects(mono_time now)
{
    std::vector<pending_connect> due;
    for (auto& [name, m] : members_)
    {
        if (m.link != link_state::down || m.next_attempt > now)
            continue;
        m.link = link_state::connecting;
        due.push_back({name, m.record.address});
    }
    return due;
}

bool membership::opened(mono_time now, const instance_id& instance,
                        std::uint64_t connection, const fb::helloT& hello)
{
    auto it = members_.find(instance);
    // Another instance may have taken over the address since the list was made.
    if (it == members_.end() || hello.instance != instance.value)
        return false;
    member& m = it->second;
    if (m.incarnation != hello.incarnation)
    {
        m.has_report = false;
        m.incarnation = hello.incarnation;
    }
    m.has_received_goaway = false;
    m.link = link_state::open;
    m.connection = connection;
    m.link_changed_at = now;
    m.failures = 0;
    return true;
}

duration membership::backoff(const member& m) const
{
    if (m.failures == 0)
        return duration::zero();
    const unsigned doublings = std::min(m.failures - 1, max_doublings);
    const duration full_backoff =
        std::min(options_.min_backoff * (std::int64_t(1) << doublings),
                 options_.max_backoff);
    const std::uint64_t bits =
        digest(m.record.instance.value, options_.jitter_seed + m.failures);
    const double fraction = static_cast<double>(bits >> 11) / 0x1p53;
    const double factor =
        min_jitter_factor + (1 - min_jitter_factor) * fraction;
    return duration(static_cast<std::int64_t>(
        static_cast<double>(full_backoff.count()) * factor));
}

bool membership::closed(mono_time now, const instance_id& instance,
                        std::uint64_t connection)
{
    auto it = members_.find(instance);
    if (it == members_.end())
        return false;
    member& m = it->second;
    if (m.link == link_state::open && m.connection != connection)
        return false;
    const bool was_open = m.link == link_state::open;
    if (was_open || m.link_changed_at == mono_time())
        m.link_changed_at = now;
    m.link = link_state::down;
    m.connection = 0;
    // The first attempt after a lost connection is immediate, because an open
    // connection may go silent while new ones work.
    m.next_attempt = now + backoff(m);
    ++m.failures;
    return was_open;
}

void membership::goaway(const instance_id& instance, std::uint64_t connection)
{
    auto it = members_.find(instance);
    if (it != members_.end() && it->second.connection == connection)
        it->second.has_received_goaway = true;
}

void membership::report(mono_time now, const instance_id& instance,
                        std::uint64_t connection, fb::load_reportT report)
{
    auto it = members_.find(instance);
    if (it == members_.end() || it->second.connection != connection)
        return;
    member& m = it->second;
    shard_set shards;
    for (const std::uint32_t shard : report.ledger_shards)
        if (shard < ledger::shard_count)
            shards.set(shard);
    if (shards != m.shards)
        m.shards_changed_at = now;
    m.shards = shards;
    m.report = std::move(report);
    m.reported_at = now;
    m.has_report = true;
}

unusable_reason membership::find_unusable_reason(const member& m) const
{
    if (m.link != link_state::open)
        return unusable_reason::not_connected;
    if (m.is_listed && m.record.state == store::instance_state::leaving)
        return unusable_reason::listed_leaving;
    if (m.has_received_goaway)
        return unusable_reason::received_goaway;
    if (drained_instances_.contains(m.record.instance))
        return unusable_reason::drained_by_sheet;
    if (!m.has_report)
        return unusable_reason::no_report;
    if (m.report.state != fb::upstream_state::active)
        return unusable_reason::reported_draining;
    if (m.report.changing)
        return unusable_reason::changing;
    return m.report.ready ? unusable_reason::none : unusable_reason::not_ready;
}

unusable_reason membership::why_unusable(const instance_id& instance) const
{
    const member* m = find(instance);
    return m ? find_unusable_reason(*m) : unusable_reason::not_connected;
}

std::vector<const member*> membership::usable(const group_id& group) const
{
    std::vector<const member*> result;
    for (const auto& [name, m] : members_)
        if (m.record.group == group &&
            find_unusable_reason(m) == unusable_reason::none)
            result.push_back(&m);
    return result;
}

const member* membership::find(const instance_id& instance) const
{
    auto it = members_.find(instance);
    return it == members_.end() ? nullptr : &it->second;
}

const member* membership::find_owner(const service_id& service, unsigned shard,
                                     const ip_address& hint) const
{
    const member* owner = nullptr;
    for (const auto& [name, m] : members_)
    {
        if (m.record.group.value != service.value)
            continue;
        if (!hint.empty() && m.record.address == hint)
            return &m;
        const bool has_reported_shard = m.shards.test(shard);
        if (has_reported_shard &&
            (!owner || owner->shards_changed_at < m.shards_changed_at))
            owner = &m;
    }
    return owner;
}

const member* membership::choose_new_owner(const service_id& service,
                                           unsigned shard) const
{
    const std::vector<const member*> candidates =
        usable(group_id(service.value));
    auto it = std::ranges::max_element(
        candidates, {},
        [shard](const member* m)
        { return rendezvous_weight(m->record.instance.value, shard); });
    return it == candidates.end() ? nullptr : *it;
}

owner_route membership::route_to_owner(mono_time now, const service_id& service,
                                       unsigned shard,
                                       const ip_address& hint) const
{
    const member* owner = find_owner(service, shard, hint);
    if (owner && owner->link == link_state::open)
        return send_to(*owner, false);
    if (owner)
    {
        const duration lost_for = now - owner->link_changed_at;
        if (lost_for <= wire::silence_timeout)
            return {owner_route::action_kind::wait, owner->record.instance, 0,
                    false, wire::silence_timeout - lost_for};
    }
    const member* new_owner = choose_new_owner(service, shard);
    if (!new_owner)
        return {};
    return send_to(*new_owner, owner != nullptr);
}

} // namespace poplar::entry
