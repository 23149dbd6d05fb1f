#include "entry/control_bridge.hpp"

#include "control/wire_types.hpp"

#include <algorithm>
#include <utility>

namespace poplar::entry
{

namespace
{

control::engine_observation to_observation(const agent_load& load)
{
    const fb::load_reportT& r = load.report;
    control::engine_observation e;
    e.instance = load.instance;
    e.failure_domain = load.failure_domain;
    e.is_reachable = load.why != unusable_reason::not_connected;
    e.assignments_version = object_version(r.assignments_version);
    e.role = control::from_wire(r.role);
    e.model = model_id(r.model);
    e.version = model_version(r.model_version);
    for (const std::string& it : r.adapters)
        e.adapters.emplace_back(it);
    std::ranges::sort(e.adapters);
    e.is_changing = r.changing;
    e.is_ready = r.ready;
    e.streams = r.running + r.waiting;
    e.queued_prompt =
        token_count(static_cast<std::int64_t>(r.queued_prompt_tokens));
    return e;
}

std::vector<policy::rank_demand> to_demand(const group_demand& demand)
{
    std::vector<policy::rank_demand> result;
    for (const auto& [rank, d] : demand)
    {
        if (result.size() <= rank.value)
            result.resize(rank.value + 1);
        policy::rank_demand& r = result[rank.value];
        r.offered.prompt = d.prompt + d.refused_prompt;
        r.offered.output = d.output + d.refused_output;
    }
    return result;
}

void add(std::vector<policy::rank_demand>& sum,
         const std::vector<policy::rank_demand>& more)
{
    sum.resize(std::max(sum.size(), more.size()));
    for (std::size_t i = 0; i < more.size(); ++i)
        sum[i].offered += more[i].offered;
}

control::manager_options make_options(const instance_id& self,
                                      const ip_address& inner,
                                      const entry_settings& s)
{
    control::manager_options o;
    o.ownership.instance = self;
    o.ownership.address = to_string(inner);
    o.ownership.process_nonce = to_string(make_request_id());
    o.ownership.lease_time = s.control.lease;
    o.ownership.renewal_interval = s.control.renewal;
    o.ownership.takeover_stagger = s.control.takeover_stagger;
    o.planning_interval = s.control.planning;
    o.planner.speed = s.speed;
    return o;
}

} // namespace

control_bridge::control_bridge(instance_id self) : self_(std::move(self)) {}

control_bridge::~control_bridge()
{
    stop();
}

entry_hooks control_bridge::hooks_for_entry()
{
    entry_hooks h;
    h.sheet_changed = [this](const sheet_in_force& s)
    {
        absl::MutexLock lock(&mutex_);
        sheet_ = s;
    };
    h.assignments_changed = [this](const group_assignments& a)
    {
        absl::MutexLock lock(&mutex_);
        owners_[a.group] = a.owner;
    };
    h.listed = [this](const std::vector<store::instance_record>& list)
    {
        absl::MutexLock lock(&mutex_);
        entry_addresses_.clear();
        for (const store::instance_record& it : list)
            if (it.kind == store::instance_kind::entry &&
                it.state == store::instance_state::live)
                entry_addresses_[it.instance] = it.address;
    };
    h.demand_reported = [this](const fb::demand_reportT& report)
    {
        std::shared_ptr<control::manager> m;
        {
            absl::MutexLock lock(&mutex_);
            m = manager_;
        }
        if (m)
            m->add_demand(report);
    };
    return h;
}

void control_bridge::start(entry& e, store::object_store& store,
                           const entry_settings& settings)
{
    entry_ = &e;
    auto m = std::make_shared<control::manager>(
        store, make_options(self_, e.inner_address(), settings),
        hooks_for_manager());
    absl::MutexLock lock(&mutex_);
    manager_ = std::move(m);
}

void control_bridge::stop()
{
    std::shared_ptr<control::manager> m;
    {
        absl::MutexLock lock(&mutex_);
        m = std::exchange(manager_, nullptr);
    }
    // Outside of the lock: this joins a thread whose hooks acquire it.
    m.reset();
}

std::vector<control::group_status> control_bridge::status() const
{
    std::shared_ptr<control::manager> m;
    {
        absl::MutexLock lock(&mutex_);
        m = manager_;
    }
    return m ? m->status() : std::vector<control::group_status>();
}

control::manager_hooks control_bridge::hooks_for_manager()
{
    control::manager_hooks h;
    h.sheet = [this]
    {
        absl::MutexLock lock(&mutex_);
        return control::active_sheet{sheet_.sheet, sheet_.generation};
    };
    h.entries = [this]
    {
        return live_entries();
    };
    h.engines = [this](const group_id& group)
    {
        refresh();
        absl::MutexLock lock(&mutex_);
        return groups_[group].engines;
    };
    h.demand = [this](const group_id& group)
    {
        refresh();
        absl::MutexLock lock(&mutex_);
        return std::exchange(groups_[group].demand, {});
    };
    h.owner = [this](const group_id& group)
    {
        absl::MutexLock lock(&mutex_);
        const auto it = owners_.find(group);
        return it == owners_.end() ? instance_id() : it->second;
    };
    h.send_demand =
        [this](const instance_id& owner, const fb::demand_reportT& report)
    {
        send_demand(owner, report);
    };
    h.record = [this](const group_id& group, const instance_id& instance,
                      const std::string& what)
    {
        entry_->record_control(group, instance, what);
    };
    return h;
}

void control_bridge::refresh()
{
    std::map<group_id, group_view> view = entry_->take_control_view();
    absl::MutexLock lock(&mutex_);
    for (auto& [group, current] : view)
    {
        pending_group& p = groups_[group];
        p.engines.clear();
        std::ranges::transform(current.agents, std::back_inserter(p.engines),
                               to_observation);
        add(p.demand, to_demand(current.demand));
    }
}

/// Returns all live entries, including this one if the instance list does not
/// contain it yet.
std::vector<instance_id> control_bridge::live_entries() const
{
    std::vector<instance_id> all{self_};
    absl::MutexLock lock(&mutex_);
    for (const auto& [instance, address] : entry_addresses_)
        if (instance != self_)
            all.push_back(instance);
    return all;
}

void control_bridge::send_demand(const instance_id& owner,
                                 const fb::demand_reportT& report)
{
    if (const wire::connection_ptr c = connection_to(owner))
        c->send(wire::encode(report));
}

/// Returns the open connection to another entry. If there is none, returns null
/// and starts to connect, provided that the entry is listed.
wire::connection_ptr control_bridge::connection_to(const instance_id& owner)
{
    ip_address address;
    {
        absl::MutexLock lock(&mutex_);
        const auto open = connections_.find(owner);
        if (open != connections_.end())
            return open->second;
        const auto listed = entry_addresses_.find(owner);
        if (listed == entry_addresses_.end())
            return nullptr;
        address = listed->second;
    }
    wire::connection_hooks hooks;
    hooks.opened = [this, owner](const wire::connection_ptr& c, const auto&)
    {
        absl::MutexLock lock(&mutex_);
        connections_[owner] = c;
    };
    hooks.received = [](const auto&, const auto&) {
    };
    hooks.closed = [this, owner](const wire::connection_ptr& c, auto)
    {
        absl::MutexLock lock(&mutex_);
        const auto it = connections_.find(owner);
        if (it != connections_.end() && it->second == c)
            connections_.erase(it);
    };
    entry_->loop().connect(address, std::move(hooks));
    return nullptr;
}

} // namespace poplar::entry
