#include "standin/platform/settings.hpp"

namespace poplar::standin_platform
{

platform_settings parse_settings(settings::reader& all)
{
    using std::chrono::milliseconds;
    using std::chrono::minutes;
    constexpr double highest_rate = 1e6;
    platform_settings s;
    s.listen = all.address("listen", {"127.0.0.1", 0});
    s.history =
        static_cast<std::size_t>(all.integer("history", 10000, 1, 10'000'000));
    fault_settings& f = s.faults;
    f.latency =
        all.time("latency", milliseconds(0), milliseconds(0), minutes(10));
    f.instance_lag =
        all.time("instance_lag", milliseconds(0), milliseconds(0), minutes(10));
    f.writes_per_s = all.number("writes_per_s", 300, 0, highest_rate);
    f.reads_per_s = all.number("reads_per_s", 2000, 0, highest_rate);
    all.finish();
    return s;
}

} // namespace poplar::standin_platform
