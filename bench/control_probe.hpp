/// Counters of one daemon under measurement and the slopes over several cases.
#pragma once

#include "tests/system/cluster.hpp"

#include <atomic>
#include <span>
#include <string>
#include <vector>

namespace poplar::bench
{

/// Bytes of frames that the bench exchanged with the daemon.
struct traffic
{
    std::atomic<std::uint64_t> to_daemon{0};
    std::atomic<std::uint64_t> from_daemon{0};
    std::atomic<unsigned> open{0};
};

/// Counts at one moment; their differences over a window are rates.
struct sample
{
    mono_time at;
    double cpu = 0;
    double to_daemon = 0;
    double from_daemon = 0;
    double from_platform = 0;
    double to_platform = 0;
    double reads = 0;
    double writes = 0;
};

struct rates
{
    double cpu_percent = 0;
    double memory_mb = 0;
    double peers_kb = 0;    ///< From peers, KB/s.
    double to_peers_kb = 0; ///< KB/s.
    double platform_kb = 0; ///< In both directions, KB/s.
    double reads = 0;
    double writes = 0;
};

/// The daemon, and where its traffic is counted.
struct subject
{
    testing_support::cluster& all;
    testing_support::child_process& process;
    testing_support::relay& platform;
    traffic& peers;
};

sample take(subject& s);
rates difference(subject& s, const sample& before, const sample& after);
void print(const std::string& label, const rates& r);
/// Prints the least-squares line of each rate over x.
void print_slopes(const std::string& label, std::span<const double> x,
                  const std::vector<rates>& y);

} // namespace poplar::bench
