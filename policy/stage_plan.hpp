/// Decides which engines of a service change between the prefill and the decode
/// stage. Used by gateways. The roles of the engines of entries are planned by
/// role_planner.hpp instead.
#pragma once

#include "base/time.hpp"
#include "policy/engine_placement.hpp"
#include "policy/stream_versions.hpp"

#include <span>
#include <string>
#include <vector>

namespace poplar::policy
{

struct stage_plan_settings
{
    /// Largest fraction of the engines that may be prefill engines. It is high
    /// because long prompts with little output keep prefill engines busy, while
    /// many streams can share a decode engine.
    double max_prefill_fraction = 0.78;
    /// Demand that is assumed in addition to the measured one, as a fraction of
    /// the engines, split by `max_prefill_fraction`. It prevents low demand
    /// from changing the stage of engines.
    double assumed_demand_fraction = 0.1;
    /// A stage is short of engines when its demand exceeds this fraction of
    /// them. Engines change only to a stage that is short, except in an initial
    /// plan or when a stage has no engine.
    double shortage_threshold = 0.6;
    /// Fraction of the engines by which the number of prefill engines may
    /// differ from the wanted one without a change, since an engine is
    /// unavailable for seconds while it changes.
    double tolerance = 0.1;
    /// Decode engines of each software version, if it has more engines than
    /// that. Streams that an engine breaks off go on at another one of its
    /// version only.
    std::size_t min_decode_per_version = 2;
};

/// Demand on the engines of a service, in number of engines that it keeps
/// continuously busy.
struct stage_demand
{
    double prefill = 0; ///< Prefill of prompts.
    /// Decode of streams, and transfers of KV cache to decode engines.
    double decode = 0;

    stage_demand& operator+=(const stage_demand& other)
    {
        prefill += other.prefill;
        decode += other.decode;
        return *this;
    }
};

/// An engine as input of the plan.
struct staged_engine
{
    std::string id;
    failure_domain_id failure_domain;
    placed_stage stage = placed_stage::decode;
    unsigned in_flight = 0; ///< Requests that must end before a change.
    unsigned slots = 1;
    software_version version;
};

/// A change of one engine to another stage.
struct stage_change
{
    std::size_t engine = 0; ///< Index into the engines.
    placed_stage to = placed_stage::prefill;
};

/// Wanted and current number of prefill engines, with the changes to make.
struct stage_plan
{
    unsigned wanted_prefill = 0;
    unsigned current_prefill = 0;
    std::vector<stage_change> changes;
};

/// Plans the stage changes. Both stages are spread over the failure domains,
/// each keeps at least one engine, and each software version keeps some decode
/// engines. `is_initial` is for a service without
/// demand yet: the plan then ignores the tolerance and the shortage threshold.
stage_plan plan_stages(const stage_plan_settings& settings,
                       std::span<const staged_engine> engines,
                       const stage_demand& demand, bool is_initial);

/// Exponentially decaying average of the demand of arriving requests over the
/// last seconds. It counts work instead of open requests, because an open
/// request may be waiting in its gateway or on the gateway's link instead of
/// keeping an engine busy.
class demand_meter
{
public:
    /// Adds the work of one request, in engine seconds.
    void add(const stage_demand& work, mono_time now);
    stage_demand value(mono_time now) const;

private:
    stage_demand sum_;
    mono_time last_{};
};

/// Exponentially weighted moving average of the requests in flight.
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
