#include "policy/overtaking.hpp"

#include <ranges>

namespace poplar::policy
{

overtaking::overtaking(const overtaking_settings& settings)
    : settings_(settings)
{
}

overtaking::place overtaking::begin(std::size_t rank, mono_time now,
                                    hook on_overtaken)
{
    return open_.insert(open_.end(), {rank, now, 0, std::move(on_overtaken)});
}

void overtaking::answered(place p, mono_time now)
{
    for (open_request& it : std::ranges::subrange(open_.begin(), p))
    {
        if (it.rank > p->rank)
            continue;
        ++it.overtakers;
        if (it.overtakers >= settings_.least_overtakers &&
            now - it.sent >= settings_.shortest)
            it.on_overtaken();
    }
}

void overtaking::end(place p)
{
    open_.erase(p);
}

} // namespace poplar::policy
