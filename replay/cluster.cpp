#include "replay/cluster.hpp"

#include <algorithm>

namespace poplar::replay
{

cluster::cluster(const trace& t, const cluster_constants& constants,
                 const std::vector<sheet::engine_role>& roles)
    : trace_(t), constants_(constants)
{
    for (std::size_t i = 0; i < t.domains.size(); ++i)
        members_.push_back({instance_id("engine-" + std::to_string(i)),
                            failure_domain_id(t.domains[i]),
                            engine_model(constants.engine, roles.at(i)),
                            member_state::serving,
                            sheet::engine_role::unassigned, mono_time()});
}

void cluster::set_state(member& m, member_state s, mono_time now)
{
    m.state = s;
    m.state_since = now;
    ++membership_;
}

void cluster::displace(member& m, mono_time at, bool lose_cache)
{
    for (engine_job& job : m.engine.take_all(lose_cache))
        displaced_.push_back({at, std::move(job)});
}

void cluster::apply_events(mono_time now)
{
    while (next_event_ < trace_.events.size())
    {
        const engine_event& e = trace_.events[next_event_];
        if (mono_time(std::chrono::milliseconds(e.at_ms)) > now)
            return;
        ++next_event_;
        member& m = members_[e.engine];
        switch (e.kind)
        {
        case engine_event_kind::drain:
        case engine_event_kind::withdraw:
            if (m.state != member_state::down)
                set_state(m, member_state::leaving, now);
            break;
        case engine_event_kind::crash:
            displace(m, now + constants_.crash_detection, true);
            set_state(m, member_state::down, now);
            break;
        case engine_event_kind::back:
            set_state(m, member_state::serving, now);
            break;
        }
    }
}

void cluster::change_role(std::size_t engine, sheet::engine_role to,
                          mono_time now)
{
    member& m = members_[engine];
    if (m.state != member_state::serving || m.engine.role() == to)
        return;
    m.next_role = to;
    set_state(m, member_state::ending, now);
}

void cluster::advance_change(member& m, mono_time now)
{
    if (m.state == member_state::ending &&
        (m.engine.idle() ||
         now - m.state_since >= constants_.engine.change_drain))
    {
        displace(m, now, true);
        set_state(m, member_state::changing, now);
    }
    if (m.state == member_state::changing &&
        now - m.state_since >= constants_.engine.change_time)
    {
        m.engine.set_role(m.next_role);
        set_state(m, member_state::serving, now);
    }
}

void cluster::send_report(std::size_t engine, mono_time now)
{
    delivered_report r;
    r.at = now + constants_.report_lag;
    r.engine = engine;
    r.report = members_[engine].engine.report(now);
    r.cache = members_[engine].engine.take_cache_changes();
    r.cache_gap = ++reports_sent_ % constants_.cache_gap_every == 0;
    if (r.cache_gap)
        r.cache.clear();
    reports_.push_back(std::move(r));
}

void cluster::step(mono_time now, std::vector<engine_output>& out)
{
    apply_events(now);
    ++ticks_;
    const auto interval = static_cast<std::uint64_t>(
        constants_.report_interval / constants_.tick);
    for (std::size_t i = 0; i < members_.size(); ++i)
    {
        member& m = members_[i];
        advance_change(m, now);
        if (m.state == member_state::down || m.state == member_state::changing)
            continue;
        m.engine.step(now, constants_.tick, out);
        if ((ticks_ + i * 7) % interval == 0)
            send_report(i, now);
    }
}

std::vector<delivered_report> cluster::take_reports(mono_time now)
{
    std::vector<delivered_report> result;
    while (!reports_.empty() && reports_.front().at <= now)
    {
        result.push_back(std::move(reports_.front()));
        reports_.pop_front();
    }
    return result;
}

std::vector<engine_job> cluster::take_displaced(mono_time now)
{
    std::vector<engine_job> result;
    std::erase_if(displaced_,
                  [&](displaced_job& d)
                  {
                      if (d.at > now)
                          return false;
                      result.push_back(std::move(d.job));
                      return true;
                  });
    return result;
}

} // namespace poplar::replay
