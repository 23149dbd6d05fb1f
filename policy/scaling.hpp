/// Decides how many upstreams of a service run in a failure domain.
#pragma once

#include "base/time.hpp"

#include <deque>

namespace poplar::policy
{

/// What the operators allow for a service in each failure domain.
struct scaling_bounds
{
    unsigned min = 0;
    unsigned max = 0;
    /// From the order of an upstream until it serves.
    duration boot_time{};
    bool operator==(const scaling_bounds&) const = default;
};

struct scaling_settings
{
    /// Fraction of the time for which an upstream is to be busy. At random
    /// arrivals the mean wait for a busy upstream is then 1.2 times the time
    /// of a request (M/D/1 queue), so that a first answer takes about twice as
    /// long as without load. The rest also answers any load that grows by at
    /// most 40% within the boot time.
    double utilization = 0.7;
    /// Time for which a peak of the load is provided for, in addition to the
    /// boot time: waves and bursts that recur within it find the upstreams
    /// ready.
    duration hold = std::chrono::seconds(30);
    /// Time constant of the decay of a peak after that.
    duration decay = std::chrono::seconds(60);
    /// Time over which the growth of the load is measured. It is longer than
    /// the time constant of the measured demand, 3 s.
    duration trend_time = std::chrono::seconds(4);
    /// Delay from a change of the load until an order that follows from it:
    /// averaging, load reports and the interval of the duties.
    duration reaction_time = std::chrono::seconds(4);
    /// Time after the first sample in which no growth is measured: five time
    /// constants of the measured demand, so that less than 1% is missing.
    duration warm_up = std::chrono::seconds(15);
    /// Least time between two reductions, and their largest size as a fraction
    /// of the number (but at least 1): a wrong reduction costs callers a boot
    /// time.
    duration reduction_interval = std::chrono::seconds(5);
    double max_reduction = 0.1;
    /// Fraction of an upstream by which the load may exceed the present number:
    /// the measured load is not exact, and a tenth adds little to the wait.
    double increase_margin = 0.1;
    /// The number is reduced only if the load needs this many upstreams less
    /// than one fewer would provide, so that a load at the threshold does not
    /// make it alternate.
    double reduction_margin = 0.25;
};

/// Load of a service in a failure domain, in number of upstreams that it keeps
/// continuously busy.
struct scaling_load
{
    double asked = 0;      ///< Work that callers of the gateways there ask for.
    double running = 0;    ///< Requests that run at the upstreams there.
    unsigned occupied = 0; ///< Upstreams that running requests need.
    unsigned registered = 0; ///< Upstreams that serve.
    /// False if the load of many gateways is unknown; the number is then not
    /// reduced.
    bool is_complete = true;
};

/// Number of upstreams of one service in one failure domain. It follows an
/// increase of the load at once, and a decrease only after a peak has been
/// provided for long enough. No upstream that was ordered is given up before it
/// serves.
class scaling_plan
{
public:
    explicit scaling_plan(const scaling_settings& settings = {})
        : settings_(settings)
    {
    }

    /// Takes in the present load and returns the wanted number. To be called
    /// about every half second. Until `has_ordered`, that is, while another
    /// process may have ordered the present upstreams, the number is not below
    /// the registered one because of demand that this process has not seen
    /// yet.
    unsigned update(const scaling_bounds& bounds, const scaling_load& load,
                    bool has_ordered, mono_time now);

    /// Load that is provided for.
    double forecast() const
    {
        return forecast_;
    }

private:
    struct sample
    {
        mono_time at{};
        double level = 0;
    };

    double expected_growth(duration horizon, mono_time now) const;
    void raise_peak(double level, mono_time now);
    void update_peak(duration hold, mono_time now);
    void remember(double level, duration memory, mono_time now);
    void reduce(double needed, mono_time now);

    scaling_settings settings_;
    std::deque<sample> samples_; ///< Of the time that a peak is held.
    double peak_ = 0;
    mono_time peak_at_{};
    mono_time updated_at_{};
    double forecast_ = 0;
    unsigned wanted_ = 0;
    unsigned registered_ = 0; ///< At the last update.
    mono_time started_at_{};
    mono_time raised_at_{};
    mono_time reduced_at_{};
};

} // namespace poplar::policy
