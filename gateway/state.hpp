/// What all requests of a gateway share.
#pragma once

#include "gateway/fleet.hpp"
#include "gateway/load_exchange.hpp"
#include "gateway/metrics.hpp"
#include "gateway/route_table.hpp"
#include "gateway/settings.hpp"

#include <memory>
#include <random>

namespace poplar::gateway
{

/// A configuration in force; requests keep the one they began with.
struct routing
{
    configuration config;
    route_table table;
};

/// Used on the gateway's loop only.
struct gateway_state
{
    /// Listens for load reports; throws system_failure.
    gateway_state(asio::io_context& context, gateway_settings s,
                  const fleet_settings& f)
        : loop(context), settings(std::move(s)), upstreams(context, f),
          loads(context, upstreams, settings.instance.value, settings.peer)
    {
    }

    asio::io_context& loop;
    gateway_settings settings;
    fleet upstreams;
    load_exchange loads;
    gateway_metrics metrics;
    std::shared_ptr<const routing> current_routing; ///< Null before the first.
    std::mt19937_64 random{std::random_device()()};
    bool is_draining = false; ///< Not ready; answers close connections.
    bool rejects_new_requests = false; ///< New requests are refused.
    unsigned open_requests = 0;
    std::size_t body_bytes = 0; ///< Of all open requests.
};

} // namespace poplar::gateway
