#include "control/manager.hpp"

#include "base/digest.hpp"
#include "observe/log.hpp"

#include <absl/synchronization/mutex.h>
#include <algorithm>
#include <map>
#include <optional>
#include <thread>

namespace poplar::control
{

namespace
{

constexpr duration step_interval = std::chrono::milliseconds(100);
/// Store operations for one group in one step.
constexpr unsigned operations_per_step = 4;
/// Time for handing over ownership at shutdown.
constexpr duration release_time = std::chrono::seconds(2);

absl::Duration to_absl(duration d)
{
    return absl::Microseconds(d.count());
}

store_reply read(store::object_store& store, const object_key& key)
{
    const store::object o = store.get(key);
    return {reply_outcome::done, o.value, o.version, store.era()};
}

store_reply write(store::object_store& store, const object_key& key,
                  const store_request& request)
{
    const store::put_result put =
        store.put(key, request.value, request.expected);
    const bool is_written = put.status == store::put_status::written;
    return {is_written ? reply_outcome::done : reply_outcome::conflict,
            {},
            put.version,
            store.era()};
}

store_reply perform(store::object_store& store, const group_id& group,
                    const store_request& request)
{
    try
    {
        switch (request.kind)
        {
        case request_kind::read_lease:
            return read(store, lease_key(group));
        case request_kind::read_assignments:
            return read(store, assignments_key(group));
        case request_kind::put_assignments:
            return write(store, assignments_key(group), request);
        case request_kind::put_lease:
            return write(store, lease_key(group), request);
        }
    }
    catch (const store::store_error& ec)
    {
        if (ec.failure() == store::store_failure::unknown_outcome)
            return {reply_outcome::unknown_outcome};
    }
    return {reply_outcome::unavailable};
}

void add(std::vector<policy::rank_demand>& sum,
         const std::vector<policy::rank_demand>& more)
{
    sum.resize(std::max(sum.size(), more.size()));
    for (std::size_t i = 0; i < more.size(); ++i)
        sum[i].offered += more[i].offered;
}

token_count to_tokens(std::uint64_t n)
{
    return token_count(static_cast<std::int64_t>(n));
}

std::vector<policy::rank_demand>
parse_demand(const wire::fb::demand_reportT& report)
{
    std::vector<policy::rank_demand> demand;
    for (const auto& r : report.ranks)
    {
        if (r->rank >= demand.size())
            demand.resize(r->rank + 1);
        policy::rank_demand& d = demand[r->rank];
        d.offered.prompt =
            to_tokens(r->prompt_tokens + r->refused_prompt_tokens);
        d.offered.output =
            to_tokens(r->output_tokens + r->refused_output_tokens);
    }
    return demand;
}

wire::fb::demand_reportT
make_report(const group_id& group, const instance_id& entry,
            const std::vector<policy::rank_demand>& demand, duration interval)
{
    wire::fb::demand_reportT report;
    report.group = group.value;
    report.entry = entry.value;
    report.interval_us = static_cast<std::uint64_t>(interval.count());
    for (std::size_t i = 0; i < demand.size(); ++i)
    {
        auto r = std::make_unique<wire::fb::rank_demandT>();
        r->rank = static_cast<std::uint32_t>(i);
        r->prompt_tokens =
            static_cast<std::uint64_t>(demand[i].offered.prompt.value);
        r->output_tokens =
            static_cast<std::uint64_t>(demand[i].offered.output.value);
        report.ranks.push_back(std::move(r));
    }
    return report;
}

/// One group at this entry; used by the manager's thread only.
struct group_control
{
    group_control(const manager_options& options)
        : owner(options.ownership), planner(options.planner)
    {
    }

    ownership owner;
    policy::role_planner planner;
    mono_time planned_at;
    /// Sheet of the last plan as owner; none before the first one.
    std::optional<sheet_generation> planned_for;
    std::map<instance_id, mono_time> changing_since;
    std::map<instance_id, mono_time> absent_since;
    std::string last_plan;
};

} // namespace

/// The mutex guards only what other threads hand in or read; hooks and the
/// store are called without it.
class manager::implementation
{
public:
    implementation(store::object_store& store, manager_options options,
                   manager_hooks hooks)
        : store_(store), options_(std::move(options)), hooks_(std::move(hooks)),
          thread_([this] { run(); })
    {
    }

    ~implementation()
    {
        {
            absl::MutexLock lock(&mutex_);
            is_stopping_ = true;
        }
        thread_.join();
    }

    void add_demand(const wire::fb::demand_reportT& report)
    {
        const auto demand = parse_demand(report);
        absl::MutexLock lock(&mutex_);
        add(received_[group_id(report.group)], demand);
    }

    std::vector<group_status> status() const
    {
        absl::MutexLock lock(&mutex_);
        return status_;
    }

private:
    void run();
    void step();
    void release_all();
    void step_group(const active_sheet& sheet, const sheet::engine_group& group,
                    group_control& g);
    void operate(const group_id& group, group_control& g);
    void plan(const active_sheet& sheet, const sheet::engine_group& group,
              group_control& g);
    void pass_on_demand(const group_id& group, mono_time time);
    std::vector<policy::rank_demand> take_demand(const group_id& group);
    void mark_changes(group_control& g, group_observation& seen,
                      mono_time time);
    std::vector<instance_id>
    find_gone(group_control& g, const group_observation& seen, mono_time time);
    void publish_status();

    store::object_store& store_;
    const manager_options options_;
    const manager_hooks hooks_;
    std::map<group_id, group_control> groups_;
    std::map<group_id, mono_time> demand_sent_at_;
    mutable absl::Mutex mutex_;
    bool is_stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::map<group_id, std::vector<policy::rank_demand>>
        received_ ABSL_GUARDED_BY(mutex_);
    std::vector<group_status> status_ ABSL_GUARDED_BY(mutex_);
    std::thread thread_;
};

void manager::implementation::run()
{
    while (true)
    {
        {
            absl::MutexLock lock(&mutex_);
            mutex_.AwaitWithTimeout(absl::Condition(&is_stopping_),
                                    to_absl(step_interval));
            if (is_stopping_)
                break;
        }
        step();
    }
    release_all();
}

void manager::implementation::step()
{
    const active_sheet sheet = hooks_.sheet();
    if (!sheet.content)
        return;
    std::erase_if(groups_, [&](const auto& it)
                  { return !sheet::find_group(*sheet.content, it.first); });
    for (const sheet::engine_group& group : sheet.content->groups)
    {
        auto it = groups_.try_emplace(group.name, options_).first;
        step_group(sheet, group, it->second);
    }
    publish_status();
}

void manager::implementation::step_group(const active_sheet& sheet,
                                         const sheet::engine_group& group,
                                         group_control& g)
{
    g.owner.set_place(candidate_place(group.name, options_.ownership.instance,
                                      hooks_.entries()));
    operate(group.name, g);
    const mono_time time = now();
    if (!g.owner.is_owner())
        return pass_on_demand(group.name, time);
    // A new sheet is assigned from at once: it must be in force within 4 s.
    const bool is_new_sheet =
        g.planned_for && *g.planned_for != sheet.generation;
    if (!is_new_sheet && time - g.planned_at < options_.planning_interval)
        return;
    plan(sheet, group, g);
    operate(group.name, g);
}

void manager::implementation::operate(const group_id& group, group_control& g)
{
    const bool was_owner = g.owner.is_owner();
    for (unsigned i = 0; i < operations_per_step; ++i)
    {
        const auto request = g.owner.next(now());
        if (!request)
            break;
        try
        {
            g.owner.complete(perform(store_, group, *request), now());
        }
        catch (const parse_error& ec)
        {
            observe::log(observe::event::control_object_invalid,
                         {{"group", group.value}, {"reason", ec.what()}});
            return;
        }
    }
    if (was_owner == g.owner.is_owner())
        return;
    observe::log(was_owner ? observe::event::control_lost
                           : observe::event::control_taken,
                 {{"group", group.value}, {"epoch", g.owner.epoch().value}});
    hooks_.record(group, {}, was_owner ? "ownership lost" : "ownership taken");
    g.planner = policy::role_planner(options_.planner);
    g.planned_at = now();
    g.planned_for.reset();
}

void manager::implementation::plan(const active_sheet& sheet,
                                   const sheet::engine_group& group,
                                   group_control& g)
{
    const mono_time time = now();
    group_observation seen;
    seen.engines = hooks_.engines(group.name);
    seen.demand = take_demand(group.name);
    seen.interval = time - std::exchange(g.planned_at, time);
    g.planned_for = sheet.generation;
    mark_changes(g, seen, time);
    planning_input input;
    input.sheet = sheet.content.get();
    input.generation = sheet.generation;
    input.group = &group;
    input.previous = &g.owner.current();
    input.observed = &seen;
    input.gone = find_gone(g, seen, time);
    const policy::role_plan roles =
        g.planner.plan(make_planner_input(input), time);
    input.roles = &roles;
    g.owner.propose(plan_assignments(input), sheet.generation);
    g.last_plan = policy::to_string(roles);
    for (const policy::role_change& change : roles.changes)
        hooks_.record(group.name, change.instance,
                      "role " + to_string(change.to) +
                          " wanted: " + policy::to_string(change.reason) +
                          "; " + g.last_plan);
}

void manager::implementation::mark_changes(group_control& g,
                                           group_observation& seen,
                                           mono_time time)
{
    for (engine_observation& e : seen.engines)
    {
        const assignment* a = find_assignment(g.owner.current(), e.instance);
        const bool is_away = e.is_changing || (a && !is_as_assigned(e, *a));
        auto it = g.changing_since.find(e.instance);
        if (is_away && it == g.changing_since.end())
            it = g.changing_since.emplace(e.instance, time).first;
        if (!is_away && it != g.changing_since.end())
        {
            g.planner.record_change_time(time - it->second);
            g.changing_since.erase(it);
        }
        if (!is_away)
            continue;
        e.changing_since = it->second;
        e.is_stuck = time - it->second > options_.stuck_after;
    }
}

std::vector<instance_id> manager::implementation::find_gone(
    group_control& g, const group_observation& seen, mono_time time)
{
    std::vector<instance_id> gone;
    for (const assignment& a : g.owner.current().assignments)
    {
        const bool is_seen = std::ranges::find(seen.engines, a.instance,
                                               &engine_observation::instance) !=
                             seen.engines.end();
        if (is_seen)
        {
            g.absent_since.erase(a.instance);
            continue;
        }
        const auto it = g.absent_since.emplace(a.instance, time).first;
        if (time - it->second > options_.forget_after)
            gone.push_back(a.instance);
    }
    return gone;
}

std::vector<policy::rank_demand>
manager::implementation::take_demand(const group_id& group)
{
    std::vector<policy::rank_demand> demand = hooks_.demand(group);
    absl::MutexLock lock(&mutex_);
    auto it = received_.find(group);
    if (it == received_.end())
        return demand;
    add(demand, it->second);
    received_.erase(it);
    return demand;
}

void manager::implementation::pass_on_demand(const group_id& group,
                                             mono_time time)
{
    mono_time& sent_at = demand_sent_at_[group];
    if (time - sent_at < options_.planning_interval)
        return;
    const duration interval = time - std::exchange(sent_at, time);
    const auto demand = take_demand(group);
    const instance_id owner = hooks_.owner(group);
    if (!owner.empty() && owner != options_.ownership.instance)
        hooks_.send_demand(
            owner,
            make_report(group, options_.ownership.instance, demand, interval));
}

void manager::implementation::release_all()
{
    const mono_time limit = now() + release_time;
    for (auto& [group, g] : groups_)
    {
        g.owner.release();
        while (!g.owner.is_released() && now() < limit)
        {
            operate(group, g);
            if (!g.owner.is_released())
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }
}

void manager::implementation::publish_status()
{
    std::vector<group_status> all;
    all.reserve(groups_.size());
    for (const auto& [group, g] : groups_)
        all.push_back(
            {group, g.owner.is_owner(), g.owner.epoch(), g.last_plan});
    absl::MutexLock lock(&mutex_);
    status_ = std::move(all);
}

manager::manager(store::object_store& store, manager_options options,
                 manager_hooks hooks)
    : implementation_(std::make_unique<implementation>(
          store, std::move(options), std::move(hooks)))
{
}

manager::~manager() = default;

void manager::add_demand(const wire::fb::demand_reportT& report)
{
    implementation_->add_demand(report);
}

std::vector<group_status> manager::status() const
{
    return implementation_->status();
}

std::optional<unsigned> candidate_place(const group_id& group,
                                        const instance_id& self,
                                        std::vector<instance_id> entries)
{
    const std::uint64_t key = digest(group.value);
    std::ranges::sort(entries, std::ranges::greater(),
                      [&](const instance_id& id)
                      { return rendezvous_weight(id.value, key); });
    const auto it = std::ranges::find(entries, self);
    const auto place = static_cast<unsigned>(it - entries.begin());
    if (it == entries.end() || place >= candidates_per_group)
        return std::nullopt;
    return place;
}

} // namespace poplar::control
