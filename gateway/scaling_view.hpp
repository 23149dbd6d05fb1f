/// Load of the services whose number of upstreams is adjusted, by failure
/// domain.
#pragma once

#include "gateway/types.hpp"

#include <map>
#include <span>
#include <vector>

namespace poplar::gateway
{

/// Load of a scaled service in each failure domain in which it runs.
struct scaled_service
{
    service_id name;
    scaling_bounds bounds;
    std::map<failure_domain_id, policy::scaling_load> domains;
};

/// State of an upstream that serves.
struct scaled_upstream
{
    failure_domain_id failure_domain;
    engine_stage stage = engine_stage::none;
    std::uint32_t slots = 1;
    unsigned in_flight = 0; ///< Requests placed by all gateways.
};

/// Work that callers ask of a service at gateways in a failure domain, in
/// engine seconds per second. An empty domain is unknown.
struct asked_work
{
    failure_domain_id failure_domain;
    double work = 0;
};

/// Adds up the load by failure domain. Work that is asked where the service has
/// no upstream is divided among the domains where it has one, since these do
/// it.
std::map<failure_domain_id, policy::scaling_load>
sum_scaling_load(std::span<const scaled_upstream> upstreams,
                 std::span<const asked_work> asked);

} // namespace poplar::gateway
