#include "gateway/memory_trimmer.hpp"

#include <algorithm>
#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace poplar::gateway
{

namespace
{

/// Least time between two returns. One takes up to a few milliseconds, in which
/// the loop does nothing else.
constexpr duration trim_interval = std::chrono::seconds(5);
/// Growth of the resident memory from which on a return is worth while.
constexpr std::size_t min_growth = 1 << 20; // bytes
/// Initial threshold of glibc, which raises it unless it is set.
constexpr int mapped_size = 128 << 10; // bytes
/// Free bytes at the end of a heap that are kept.
constexpr int kept_size = 512 << 10; // bytes

std::size_t resident_bytes()
{
    std::ifstream in("/proc/self/statm");
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    in >> total_pages >> resident_pages;
    return resident_pages * std::size_t(sysconf(_SC_PAGESIZE));
}

} // namespace

void configure_allocator()
{
    mallopt(M_MMAP_THRESHOLD, mapped_size);
    mallopt(M_TRIM_THRESHOLD, kept_size);
}

void memory_trimmer::sweep(mono_time now)
{
    if (now - checked_ < trim_interval)
        return;
    checked_ = now;
    if (lowest_ && resident_bytes() < *lowest_ + min_growth)
        return;
    malloc_trim(0);
    const std::size_t rest = resident_bytes();
    lowest_ = std::min(lowest_.value_or(rest), rest);
}

} // namespace poplar::gateway
