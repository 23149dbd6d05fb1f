/// Engines of a trace in virtual time: events of the trace, role changes, and
/// the lagging reports that the policies see.
#pragma once

#include "replay/engine_model.hpp"
#include "replay/trace.hpp"

#include <deque>
#include <vector>

namespace poplar::replay
{

struct cluster_constants
{
    engine_constants engine;
    duration tick{std::chrono::milliseconds(10)};
    duration report_interval{std::chrono::seconds(1)};
    duration report_lag{std::chrono::milliseconds(800)};
    duration crash_detection{std::chrono::seconds(1)};
    /// One of this many reports has lost cache events.
    std::uint64_t cache_gap_every = 50;
    duration kv_transfer_base{std::chrono::milliseconds(5)};
    double kv_transfer_tokens_per_second = 200000;
};

enum class member_state
{
    serving,
    leaving, ///< Drained or withdrawn: finishes open streams.
    ending,  ///< Finishes streams before a change.
    changing,
    down
};

struct member
{
    instance_id instance;
    failure_domain_id domain;
    engine_model engine;
    member_state state = member_state::serving;
    sheet::engine_role next_role = sheet::engine_role::unassigned;
    mono_time state_since;
};

struct delivered_report
{
    mono_time at;
    std::size_t engine = 0;
    policy::engine_report report;
    std::vector<policy::cache_change> cache;
    bool cache_gap = false;
};

/// Jobs that lost their engine, to be resumed elsewhere from `at` on.
struct displaced_job
{
    mono_time at;
    engine_job job;
};

class cluster
{
public:
    cluster(const trace& t, const cluster_constants& constants,
            const std::vector<sheet::engine_role>& roles);

    /// Runs all engines for one tick that ends at `now`.
    void step(mono_time now, std::vector<engine_output>& out);
    /// Reports that arrive by now, in order.
    std::vector<delivered_report> take_reports(mono_time now);
    std::vector<engine_job> take_displaced(mono_time now);
    void change_role(std::size_t engine, sheet::engine_role to, mono_time now);

    member& at(std::size_t engine)
    {
        return members_[engine];
    }
    std::vector<member>& members()
    {
        return members_;
    }
    bool accepts(std::size_t engine) const
    {
        return members_[engine].state == member_state::serving;
    }
    const cluster_constants& constants() const
    {
        return constants_;
    }
    /// Rises when a member's state or role changes.
    std::uint64_t membership() const
    {
        return membership_;
    }

private:
    void apply_events(mono_time now);
    void advance_change(member& m, mono_time now);
    void set_state(member& m, member_state s, mono_time now);
    void displace(member& m, mono_time at, bool lose_cache);
    void send_report(std::size_t engine, mono_time now);

    const trace& trace_;
    cluster_constants constants_;
    std::vector<member> members_;
    std::deque<delivered_report> reports_;
    std::vector<displaced_job> displaced_;
    std::size_t next_event_ = 0;
    std::uint64_t reports_sent_ = 0;
    std::uint64_t ticks_ = 0;
    std::uint64_t membership_ = 1;
};

} // namespace poplar::replay
