#include "bench/control_probe.hpp"

#include <cstdio>
#include <filesystem>
#include <fstream>

namespace poplar::bench
{

using nlohmann::json;

namespace
{

/// Processor time of all threads; schedstat counts nanoseconds, where stat
/// counts ticks of 10 ms.
double cpu_seconds(pid_t pid)
{
    double sum = 0;
    const std::string tasks = "/proc/" + std::to_string(pid) + "/task";
    for (const auto& it : std::filesystem::directory_iterator(tasks))
    {
        double ns = 0;
        std::ifstream(it.path() / "schedstat") >> ns;
        sum += ns / 1e9;
    }
    return sum;
}

double resident_megabytes(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    double kilobytes = 0;
    while (in >> word)
        if (word == "VmRSS:")
            in >> kilobytes;
    return kilobytes / 1024;
}

double load_average()
{
    double load = 0;
    std::ifstream("/proc/loadavg") >> load;
    return load;
}

/// Least squares: value at 0 and slope.
void print_slope(const std::string& label, std::span<const double> x,
                 const std::vector<rates>& y, double rates::*value)
{
    const auto n = static_cast<double>(x.size());
    double sx = 0, sy = 0, sxx = 0, sxy = 0;
    for (std::size_t i = 0; i < x.size(); ++i)
    {
        sx += x[i];
        sy += y[i].*value;
        sxx += x[i] * x[i];
        sxy += x[i] * (y[i].*value);
    }
    const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    std::printf("slope %s: %.4f + %.6f x\n", label.c_str(),
                (sy - slope * sx) / n, slope);
}

} // namespace

sample take(subject& s)
{
    sample r;
    const json counters =
        s.all.get_json(s.all.platform->http(), "/admin/counters");
    r.at = now();
    r.cpu = cpu_seconds(s.process.pid());
    r.to_daemon = static_cast<double>(s.peers.to_daemon);
    r.from_daemon = static_cast<double>(s.peers.from_daemon);
    r.from_platform = static_cast<double>(s.platform.traffic().from_target);
    r.to_platform = static_cast<double>(s.platform.traffic().from_client);
    r.reads = counters.at("reads").get<double>();
    r.writes = counters.at("writes").get<double>();
    return r;
}

rates difference(subject& s, const sample& a, const sample& b)
{
    const double t = static_cast<double>((b.at - a.at).count()) / 1e6;
    rates r;
    r.cpu_percent = (b.cpu - a.cpu) / t * 100;
    r.memory_mb = resident_megabytes(s.process.pid());
    r.peers_kb = (b.to_daemon - a.to_daemon) / t / 1000;
    r.to_peers_kb = (b.from_daemon - a.from_daemon) / t / 1000;
    r.platform_kb =
        (b.from_platform - a.from_platform + b.to_platform - a.to_platform) /
        t / 1000;
    r.reads = (b.reads - a.reads) / t;
    r.writes = (b.writes - a.writes) / t;
    return r;
}

void print(const std::string& label, const rates& r)
{
    std::printf("%s cpu=%.2f%% rss=%.1fMB peers_in=%.2fKB/s "
                "peers_out=%.2fKB/s platform=%.2fKB/s reads/s=%.2f "
                "writes/s=%.2f load=%.1f\n",
                label.c_str(), r.cpu_percent, r.memory_mb, r.peers_kb,
                r.to_peers_kb, r.platform_kb, r.reads, r.writes,
                load_average());
    std::fflush(stdout);
}

void print_slopes(const std::string& label, std::span<const double> x,
                  const std::vector<rates>& y)
{
    print_slope(label + " cpu_percent", x, y, &rates::cpu_percent);
    print_slope(label + " memory_mb", x, y, &rates::memory_mb);
    print_slope(label + " peers_in_KB/s", x, y, &rates::peers_kb);
    print_slope(label + " peers_out_KB/s", x, y, &rates::to_peers_kb);
    print_slope(label + " platform_KB/s", x, y, &rates::platform_kb);
    std::fflush(stdout);
}

} // namespace poplar::bench
