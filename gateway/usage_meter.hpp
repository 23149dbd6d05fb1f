/// Counts the requests of client accounts that began to run.
#pragma once

#include "base/time.hpp"
#include "gateway/types.hpp"

namespace poplar::gateway
{

/// Used on the gateway's event loop only.
class usage_meter
{
public:
    /// Counts a request of the account that began to run at `began`. To be
    /// called once for each request.
    void count(const account_name& account, mono_time began);
};

inline void usage_meter::count(const account_name& /*account*/,
                               mono_time /*began*/)
{
}

} // namespace poplar::gateway
