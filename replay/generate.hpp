/// Generator of traces for the two deployments at today's sizes.
#pragma once

#include "replay/trace.hpp"

namespace poplar::replay
{

enum class deployment
{
    consorzio,
    press
};

enum class scenario
{
    swing, ///< The mix swings; engines are drained, crashed and withdrawn.
    flood  ///< The least urgent work floods, later the most urgent.
};

/// The same arguments give the same trace on every machine.
trace generate(deployment d, scenario s, std::uint64_t seed);

deployment parse_deployment(const std::string& name);
scenario parse_scenario(const std::string& name);

} // namespace poplar::replay
