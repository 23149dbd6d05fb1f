#include "replay/simulation.hpp"

#include <algorithm>
#include <array>
#include <iomanip>
#include <map>

namespace poplar::replay
{

namespace
{

using sheet::engine_role;

constexpr token_count split_threshold{1024};
constexpr unsigned max_changing = 3;
/// Callers offer a refused request again at most this often.
constexpr unsigned most_attempts = 3;
/// Time after the last arrival in which open work may end.
constexpr std::int64_t tail_ms = 120000;
constexpr duration plan_interval = std::chrono::milliseconds(500);

class run_state
{
public:
    run_state(const trace& t, const policy_choice& choice,
              std::ostream* timeline)
        : trace_(t), choice_(choice), timeline_(timeline),
          cluster_(t, {}, start_roles(t, choice)),
          entry_(choice.entry, t, cluster_, split_threshold),
          planner_(planner_settings(cluster_.constants()))
    {
    }

    figures run();

private:
    static std::vector<engine_role> start_roles(const trace& t,
                                                const policy_choice& choice);
    static policy::role_planner_settings
    planner_settings(const cluster_constants& c);
    void offer(mono_time now);
    void write_timeline(mono_time now);
    void plan(mono_time now);
    void plan_by_mix(mono_time now);
    void plan_by_threshold(mono_time now);
    void change_one(engine_role from, engine_role to, mono_time now);
    void change(std::size_t engine, engine_role to, mono_time now);

    const trace& trace_;
    const policy_choice& choice_;
    std::ostream* timeline_;
    cluster cluster_;
    entry_model entry_;
    policy::role_planner planner_;
    std::size_t next_request_ = 0;
    std::multimap<mono_time, std::size_t> retries_; ///< Refused attempts.
    std::size_t role_changes_ = 0;
    mono_time last_plan_;
    mono_time last_threshold_change_;
    mono_time last_line_;
    std::array<std::size_t, 6> refused_by_cause_{};
    std::string plan_text_;
};

std::vector<engine_role> run_state::start_roles(const trace& t,
                                                const policy_choice& choice)
{
    // Spread over the failure domains.
    std::vector<engine_role> roles(t.domains.size(), engine_role::decode);
    const std::size_t per_domain = 6;
    for (unsigned n = 0; n < choice.prefill_engines; ++n)
        roles.at(n % 3 * per_domain + n / 3) = engine_role::prefill;
    return roles;
}

policy::role_planner_settings
run_state::planner_settings(const cluster_constants& c)
{
    policy::role_planner_settings s;
    s.speed = nominal_speed(c.engine);
    return s;
}

void run_state::offer(mono_time now)
{
    while (next_request_ < trace_.requests.size() &&
           mono_time(std::chrono::milliseconds(
               trace_.requests[next_request_].at_ms)) <= now)
        entry_.arrive(next_request_++, 1, now);
    while (!retries_.empty() && retries_.begin()->first <= now)
    {
        const attempt& a = entry_.attempts()[retries_.begin()->second];
        retries_.erase(retries_.begin());
        entry_.arrive(a.request, a.number + 1, now);
    }
    for (std::size_t id : entry_.take_refused())
    {
        const attempt& a = entry_.attempts()[id];
        ++refused_by_cause_.at(static_cast<std::size_t>(a.cause));
        if (a.told > duration::zero() && a.number < most_attempts)
            retries_.emplace(a.retry_at, id);
    }
}

void run_state::change(std::size_t engine, engine_role to, mono_time now)
{
    cluster_.change_role(engine, to, now);
    ++role_changes_;
}

void run_state::plan_by_mix(mono_time now)
{
    policy::planner_input input;
    input.group.max_changing = max_changing;
    input.ranks = trace_.ranks;
    input.interval = plan_interval;
    for (const policy::rank_work& w : entry_.take_demand())
    {
        policy::rank_demand& d = input.demand.emplace_back();
        d.offered = w.accepted;
        d.offered += w.refused;
    }
    for (member& m : cluster_.members())
    {
        policy::planned_engine& e = input.engines.emplace_back();
        e.instance = m.instance;
        e.failure_domain = m.domain;
        e.changing = m.state == member_state::ending ||
                     m.state == member_state::changing;
        e.role = e.changing ? m.next_role : m.engine.role();
        e.changing_since = m.state_since;
        e.reachable = m.state != member_state::down;
        if (m.state == member_state::leaving)
            e.state = sheet::upstream_state::draining;
        const policy::engine_report r = m.engine.report(now);
        e.streams = r.streams;
        e.queued_prompt = r.queued_prompt_tokens;
        e.cached = token_count(m.engine.cached_tokens());
    }
    const policy::role_plan plan = planner_.plan(input, now);
    if (timeline_)
        plan_text_ = policy::to_string(plan);
    for (const policy::role_change& c : plan.changes)
    {
        const auto it = std::ranges::find(cluster_.members(), c.instance,
                                          &member::instance);
        change(static_cast<std::size_t>(it - cluster_.members().begin()), c.to,
               now);
    }
}

/// First serving engine of a role whose domain has another one.
void run_state::change_one(engine_role from, engine_role to, mono_time now)
{
    std::map<failure_domain_id, int> count;
    const std::vector<member>& members = cluster_.members();
    for (const member& m : members)
        count[m.domain] +=
            m.state == member_state::serving && m.engine.role() == from ? 1 : 0;
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        if (!cluster_.accepts(i) || members[i].engine.role() != from ||
            count[members[i].domain] <= 1)
            continue;
        change(i, to, now);
        last_threshold_change_ = now;
        return;
    }
}

void run_state::plan_by_threshold(mono_time now)
{
    // Usual autoscaling: high and low marks with a pause after each change.
    constexpr duration pause = std::chrono::seconds(8);
    constexpr double high_backlog = 0.5;
    constexpr double low_backlog = 0.1;
    constexpr double high_use = 0.85;
    if (now - last_threshold_change_ < pause)
        return;
    const double backlog = entry_.prompt_backlog_seconds();
    const double use = entry_.stream_use();
    if (backlog > high_backlog && use < high_use)
        change_one(engine_role::decode, engine_role::prefill, now);
    else if (use > high_use && backlog < low_backlog)
        change_one(engine_role::prefill, engine_role::decode, now);
}

void run_state::plan(mono_time now)
{
    if (now - last_plan_ < plan_interval)
        return;
    last_plan_ = now;
    if (choice_.roles == role_kind::planner)
        plan_by_mix(now);
    if (choice_.roles == role_kind::threshold)
        plan_by_threshold(now);
}

void run_state::write_timeline(mono_time now)
{
    constexpr duration line_interval = std::chrono::seconds(5);
    if (!timeline_ || now - last_line_ < line_interval)
        return;
    last_line_ = now;
    std::array<int, 3> roles{};
    for (const member& m : cluster_.members())
    {
        const bool prefill = policy::is_prefill_only(m.engine.role());
        const bool serving = m.state == member_state::serving;
        ++roles.at(!serving ? 2 : prefill ? 0 : 1);
    }
    *timeline_ << std::fixed << std::setprecision(2)
               << policy::seconds(now.time_since_epoch()) << " s, engines "
               << roles[0] << '/' << roles[1] << '/' << roles[2] << ", use "
               << entry_.stream_use() << ", backlog "
               << entry_.prompt_backlog_seconds() << ", queued "
               << entry_.queued() << ", refused";
    for (std::size_t& n : refused_by_cause_)
        *timeline_ << ' ' << std::exchange(n, 0);
    *timeline_ << "; " << plan_text_ << '\n';
}

figures run_state::run()
{
    const duration dt = cluster_.constants().tick;
    const mono_time end{std::chrono::milliseconds(trace_.length_ms + tail_ms)};
    std::vector<engine_output> outputs;
    for (mono_time now = mono_time(dt); now <= end; now += dt)
    {
        outputs.clear();
        cluster_.step(now, outputs);
        for (engine_output& o : outputs)
            entry_.handle(o, now);
        entry_.tick(now);
        offer(now);
        plan(now);
        write_timeline(now);
    }
    figures f = measure(trace_, entry_.attempts(),
                        nominal_speed(cluster_.constants().engine));
    f.role_changes = role_changes_;
    return f;
}

} // namespace

const std::vector<policy_choice>& all_policies()
{
    static const std::vector<policy_choice> policies{
        {"poplar", entry_kind::poplar, role_kind::planner, 6, false},
        {"static-0", entry_kind::poplar, role_kind::fixed, 0},
        {"static-4", entry_kind::poplar, role_kind::fixed, 4},
        {"static-6", entry_kind::poplar, role_kind::fixed, 6},
        {"static-9", entry_kind::poplar, role_kind::fixed, 9},
        {"threshold", entry_kind::poplar, role_kind::threshold, 6},
        {"first-come", entry_kind::first_come, role_kind::fixed, 6},
        {"least-connections", entry_kind::least_connections, role_kind::fixed,
         6}};
    return policies;
}

figures run(const trace& t, const policy_choice& choice, std::ostream* timeline)
{
    return run_state(t, choice, timeline).run();
}

} // namespace poplar::replay
