/// Finds requests that an upstream has taken and does not work on.
///
/// Answers to upstreams that never answer part of what they take. An upstream
/// works on requests in order of priority and arrival, so one that waits for a
/// while and is overtaken by a later one is taken for stalled; time alone does
/// not tell, since waits near capacity have long tails.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <functional>
#include <list>

namespace poplar::policy
{

struct stall_detector_settings
{
    /// Later requests of the same or lower urgency that were answered first.
    unsigned min_overtakers = 1;
    /// Differences in length and in transfers are shorter than this.
    duration min_wait{std::chrono::milliseconds(400)};
};

/// Open requests of one kind at one upstream. A stalled request is reported
/// again with each further answer; the hook must not begin or end requests.
class stall_detector
{
public:
    using stall_handler = std::function<void()>;
    struct open_request
    {
        std::size_t rank = 0;
        mono_time sent{};
        unsigned overtakers = 0;
        stall_handler on_stall;
    };
    using handle = std::list<open_request>::iterator;

    explicit stall_detector(const stall_detector_settings& settings = {});

    /// `rank` 0 is the most urgent.
    handle add(std::size_t rank, mono_time now, stall_handler on_stall);
    /// Its answer began; earlier requests of the same or a higher urgency have
    /// been overtaken.
    void answered(handle p, mono_time now);
    void remove(handle p);

private:
    stall_detector_settings settings_;
    std::list<open_request> open_; ///< In order of sending.
};

} // namespace poplar::policy
