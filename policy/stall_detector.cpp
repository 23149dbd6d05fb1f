#include "policy/stall_detector.hpp"

#include <ranges>

namespace poplar::policy
{

stall_detector::stall_detector(const stall_detector_settings& settings)
    : settings_(settings)
{
}

stall_detector::handle stall_detector::add(std::size_t rank, mono_time now,
                                           stall_handler on_stall)
{
    return pending_.insert(pending_.end(), {rank, now, 0, std::move(on_stall)});
}

void stall_detector::answered(handle request, mono_time now)
{
    for (open_request& it : std::ranges::subrange(pending_.begin(), request))
    {
        if (it.rank > request->rank)
            continue;
        ++it.overtakers;
        if (it.overtakers >= settings_.min_overtakers &&
            now - it.sent >= settings_.min_wait)
            it.on_stall();
    }
}

void stall_detector::remove(handle request)
{
    pending_.erase(request);
}

} // namespace poplar::policy
