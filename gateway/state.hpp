/// State that all requests of a gateway share.
#pragma once

#include "gateway/caller_memory.hpp"
#include "gateway/fleet.hpp"
#include "gateway/load_exchange.hpp"
#include "gateway/metrics.hpp"
#include "gateway/routing.hpp"
#include "gateway/settings.hpp"
#include "gateway/stream_origin_exchange.hpp"
#include "gateway/usage_meter.hpp"

#include <functional>
#include <memory>
#include <random>

namespace poplar::gateway
{

/// State shared by sessions and exchanges. Used on the gateway's loop only.
struct gateway_state
{
    /// Opens the socket for load reports; throws system_failure.
    gateway_state(asio::io_context& context, gateway_settings s,
                  const fleet_settings& f)
        : loop(context), settings(std::move(s)), upstreams(context, f),
          loads(context, upstreams, settings.instance.value, settings.peer),
          origins(context, loads)
    {
    }

    asio::io_context& loop;
    gateway_settings settings;
    fleet upstreams;
    load_exchange loads;
    stream_origin_exchange origins;
    gateway_metrics metrics;
    caller_memory memory{metrics};
    usage_meter usage;
    /// True if the store has confirmed the configuration recently. Otherwise an
    /// unknown key may be one that a newer configuration adds.
    std::function<bool()> is_configuration_confirmed = []
    {
        return true;
    };
    /// Whether the record of earlier software versions has been read.
    bool are_versions_known = false;
    /// True if the store has confirmed the upstreams recently. Otherwise there
    /// may be one of a software version that is not known here.
    std::function<bool()> are_upstreams_confirmed = []
    {
        return true;
    };
    /// Null until a configuration is received.
    std::shared_ptr<const routing> current_routing;
    std::mt19937_64 random{std::random_device()()};
    /// A shutdown has started: readiness fails, answers close connections.
    bool is_draining = false;
    /// Set `close_delay` after the start of a shutdown.
    bool rejects_new_requests = false;
    unsigned open_requests = 0;
    std::size_t body_bytes = 0; ///< Bodies of all open requests.
};

} // namespace poplar::gateway
