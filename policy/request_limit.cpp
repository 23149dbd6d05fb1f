#include "policy/request_limit.hpp"

#include <utility>

namespace poplar::policy
{

bool request_limit::announce(double per_second, mono_time at)
{
    const bool is_changed = !is_active_ || per_second != per_second_;
    is_active_ = true;
    per_second_ = per_second;
    announced_at_ = at;
    return is_changed;
}

bool request_limit::end(mono_time sent)
{
    if (!is_active_ || sent < announced_at_)
        return false;
    is_active_ = false;
    return true;
}

void request_limit::record_call()
{
    ++calls_;
}

unsigned request_limit::take_call_count()
{
    return std::exchange(calls_, 0);
}

} // namespace poplar::policy
