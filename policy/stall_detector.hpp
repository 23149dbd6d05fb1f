/// Detects requests that an upstream has accepted but does not process.
///
/// Used by gateways. An upstream may fail to answer some of the requests that
/// it accepts. An upstream processes requests in order of priority and arrival,
/// so a request that has waited for some time and is overtaken by a later one
/// counts as stalled. Elapsed time alone is no criterion, since waits near
/// capacity have long tails.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <functional>
#include <list>

namespace poplar::policy
{

struct stall_detector_settings
{
    /// Number of later requests of the same or lower urgency that must be
    /// answered first.
    unsigned min_overtakers = 1;
    /// Shortest wait of a stalled request. It is longer than the delays that
    /// long prompts and transfers cause.
    duration min_wait{std::chrono::milliseconds(400)};
};

/// Tracks the unanswered requests of one kind at one upstream. The caller must
/// remove each request that is answered or abandoned. A stalled request is
/// reported again at each further answer that overtakes it. The handler must
/// not add or remove requests.
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

    /// Adds a request that has just been sent; `rank` 0 is the most urgent.
    handle add(std::size_t rank, mono_time now, stall_handler on_stall);
    /// Records that the answer to `request` has begun, which overtakes earlier
    /// requests of the same or a higher urgency. Does not remove `request`.
    void answered(handle request, mono_time now);
    /// Stops tracking a request; its handle becomes invalid.
    void remove(handle request);

private:
    stall_detector_settings settings_;
    std::list<open_request> pending_; ///< In the order in which they were sent.
};

} // namespace poplar::policy
