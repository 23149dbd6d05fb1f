/// Decides which engines of a service change between reading prompts and
/// running streams.
#pragma once

#include "base/time.hpp"
#include "policy/engine_placement.hpp"

#include <span>
#include <string>
#include <vector>

namespace poplar::policy
{

struct stage_plan_settings
{
    /// Most of the engines that read prompts. Prompts of many tokens for few
    /// output tokens keep readers busy; streams share an engine well.
    double max_prefill_fraction = 0.78;
    /// Part of the engines whose worth of demand is assumed to ask for
    /// `max_prefill_fraction`, so that little demand moves no engine.
    double assumed_demand_fraction = 0.1;
    /// A stage is short of engines when its demand is more than this part of
    /// them; as long as neither is, nothing changes.
    double shortage_threshold = 0.6;
    /// Part of the engines by which the stages may differ from the wanted
    /// ones, since a change takes an engine away for seconds.
    double tolerance = 0.1;
};

/// Work that callers ask of the engines of a service, in engines that it keeps
/// busy all the time.
struct stage_demand
{
    double prefill = 0; ///< Of prompts.
    /// Of streams, and of moving the KV cache to where they run.
    double decode = 0;

    stage_demand& operator+=(const stage_demand& other)
    {
        prefill += other.prefill;
        decode += other.decode;
        return *this;
    }
};

struct staged_engine
{
    std::string id;
    failure_domain_id failure_domain;
    placed_stage stage = placed_stage::decode;
    unsigned in_flight = 0; ///< Work that a change waits for.
    unsigned slots = 1;
};

struct stage_change
{
    std::size_t engine = 0; ///< Index into the engines.
    placed_stage to = placed_stage::prefill;
};

struct stage_plan
{
    unsigned wanted_prefill = 0;
    unsigned current_prefill = 0;
    std::vector<stage_change> changes;
};

/// Spreads both stages over the failure domains; at least one engine keeps each
/// stage. `is_first` plans without tolerance, before there is demand.
stage_plan plan_stages(const stage_plan_settings& settings,
                       std::span<const staged_engine> engines,
                       const stage_demand& demand, bool is_initial);

/// Demand as requests come in, over the last seconds. It counts work, not open
/// requests: those wait at their gateway and on its link too.
class demand_meter
{
public:
    /// Seconds of an engine that one request takes.
    void add(const stage_demand& work, mono_time now);
    stage_demand value(mono_time now) const;

private:
    stage_demand sum_;
    mono_time last_{};
};

/// Average of what runs at once.
class in_flight_average
{
public:
    void add(double in_flight, mono_time now);
    double value() const
    {
        return value_;
    }

private:
    double value_ = 0;
    mono_time last_{};
};

} // namespace poplar::policy
