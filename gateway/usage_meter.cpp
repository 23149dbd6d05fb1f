#include "gateway/usage_meter.hpp"

namespace poplar::gateway
{

void usage_meter::enable(duration window)
{
    window_ = window;
}

void usage_meter::count(const account_name& account, mono_time began)
{
    if (window_)
        windows_.count(policy::window_at(clock_.at(began), *window_),
                       account.value);
}

} // namespace poplar::gateway
