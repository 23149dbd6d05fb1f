/// The process-wide prometheus-cpp registry.
#pragma once

#include <memory>
#include <prometheus/registry.h>
#include <string>

namespace poplar::observe
{

/// Registry in which every family of this process is registered.
prometheus::Registry& metrics();

/// All metrics in the Prometheus text format.
std::string metrics_text();

} // namespace poplar::observe
