#include "policy/scaling.hpp"

#include "policy/work.hpp"

#include <algorithm>
#include <cmath>

namespace poplar::policy
{

namespace
{

unsigned round_up(double number)
{
    constexpr double max_number = 1e9;
    return unsigned(std::clamp(std::ceil(number), 0.0, max_number));
}

/// A service without any upstream shows no demand, so that one stays wherever
/// the operators allow any.
unsigned clamp_to(const scaling_bounds& bounds, unsigned number)
{
    const unsigned least = std::min(std::max(bounds.min, 1U), bounds.max);
    return std::clamp(number, least, bounds.max);
}

} // namespace

unsigned scaling_plan::update(const scaling_bounds& bounds,
                              const scaling_load& load, bool has_ordered,
                              mono_time now)
{
    const double level = load.asked + load.running;
    const duration hold = settings_.hold + bounds.boot_time;
    if (started_at_ == mono_time{})
        started_at_ = now;
    const bool is_adopted = !has_ordered && load.registered > registered_;
    registered_ = load.registered;
    if (is_adopted && load.registered > wanted_)
    {
        wanted_ = load.registered;
        raise_peak(settings_.utilization * load.registered, now);
    }
    remember(level, hold, now);
    // Below the last peak, growth is the next wave, which that peak covers.
    const double growth =
        level < peak_
            ? 0
            : expected_growth(bounds.boot_time + settings_.reaction_time, now);
    update_peak(hold, now);
    forecast_ = peak_ + growth;
    const double needed = forecast_ / settings_.utilization;
    const unsigned least =
        std::max(round_up(needed - settings_.increase_margin), load.occupied);
    if (least > wanted_)
    {
        wanted_ = least;
        raised_at_ = now;
    }
    else if (load.is_complete &&
             now - raised_at_ >= bounds.boot_time + settings_.reaction_time)
        reduce(std::max(needed, double(load.occupied)), now);
    wanted_ = clamp_to(bounds, wanted_);
    return wanted_;
}

/// Extrapolates the present growth, at most to twice the rise above what was
/// the highest level one horizon ago, or the lowest level known if no sample is
/// that old: a burst ends sooner or later.
double scaling_plan::expected_growth(duration horizon, mono_time now) const
{
    // The averages of a process that has just started rise without any growth
    // of the load.
    const mono_time warm = started_at_ + settings_.warm_up;
    if (now < warm)
        return 0;
    const sample& present = samples_.back();
    const auto at_least = [&](mono_time t)
    {
        return std::ranges::lower_bound(samples_, t, {}, &sample::at);
    };
    const auto since = at_least(std::max(warm, now - settings_.trend_time));
    const duration time = present.at - since->at;
    if (time <= duration::zero())
        return 0;
    const auto first = at_least(warm);
    const auto last = at_least(std::max(warm, now - horizon));
    const double base =
        first == last
            ? std::ranges::min_element(first, samples_.end(), {},
                                       &sample::level)
                  ->level
            : std::ranges::max_element(first, last, {}, &sample::level)->level;
    const double per_second = (present.level - since->level) / seconds(time);
    const double growth = per_second * seconds(horizon);
    return std::max(0.0, std::min(growth, present.level - base));
}

void scaling_plan::raise_peak(double level, mono_time now)
{
    if (level < peak_)
        return;
    peak_ = level;
    peak_at_ = now;
}

/// A peak older than the hold time decays to the highest level within it.
void scaling_plan::update_peak(duration hold, mono_time now)
{
    const duration elapsed =
        updated_at_ == mono_time{} ? duration::zero() : now - updated_at_;
    updated_at_ = now;
    const double highest = std::ranges::max(samples_, {}, &sample::level).level;
    raise_peak(highest, now);
    if (now - peak_at_ > hold)
        peak_ += (highest - peak_) *
                 -std::expm1(-seconds(elapsed) / seconds(settings_.decay));
}

void scaling_plan::remember(double level, duration memory, mono_time now)
{
    samples_.push_back({now, level});
    while (samples_.front().at < now - memory)
        samples_.pop_front();
}

void scaling_plan::reduce(double needed, mono_time now)
{
    const unsigned target = round_up(needed + settings_.reduction_margin);
    if (target >= wanted_ || now - reduced_at_ < settings_.reduction_interval)
        return;
    const auto step = std::max(1U, unsigned(settings_.max_reduction * wanted_));
    wanted_ -= std::min(step, wanted_ - target);
    reduced_at_ = now;
}

} // namespace poplar::policy
