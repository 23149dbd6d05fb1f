/// Settings of the stand-in platform.
#pragma once

#include "settings/reader.hpp"

namespace poplar::standin_platform
{

/// What can be changed while it runs, through POST /admin/faults.
struct fault_settings
{
    bool outage = false; ///< Every call is refused with 503.
    /// This many writes take effect without an answer.
    unsigned lose_answers = 0;
    duration latency{};      ///< Added to every answer.
    duration instance_lag{}; ///< Age of the instance list.
    double writes_per_s = 300;
    double reads_per_s = 2000;
};

struct platform_settings
{
    ip_address listen;
    std::size_t history = 10000; ///< Changes kept for watches.
    fault_settings faults;
};

/// Reads all settings and calls finish(); throws settings_error.
platform_settings parse_settings(settings::reader& all);

} // namespace poplar::standin_platform
