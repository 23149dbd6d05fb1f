/// Settings of poplar-gateway; docs/settings-gateway.md is the reference.
#pragma once

#include "base/address.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "base/units.hpp"
#include "settings/reader.hpp"

namespace poplar::gateway
{

/// Retries that all gateways together may send, for each service.
struct shared_retry_settings
{
    /// Per first send, in any window.
    double ratio = 0.2;
    /// In any window, besides the ratio.
    unsigned slack = 50;
};

struct gateway_limits
{
    unsigned max_open_requests = 1500;
    byte_count max_body_bytes{std::int64_t(48) << 20}; ///< Of all requests.
    unsigned max_callers = 2500;                       ///< Connections.
};

struct gateway_timeouts
{
    /// Within this time of its acknowledgement by the store a change is in
    /// force here.
    duration apply = std::chrono::milliseconds(2000);
    /// Between two registrations of an upstream; its entry lapses after three
    /// that are missing.
    duration heartbeat = std::chrono::milliseconds(1200);
    /// Requests reach an upstream no later than this after the store has said
    /// that it drains.
    duration drain = std::chrono::milliseconds(2000);
    /// Between the end of readiness and the refusal of new requests, so that
    /// the load balancer notices first.
    duration close_delay = std::chrono::milliseconds(2900);
    /// From SIGTERM until open requests are cut.
    duration drain_limit = std::chrono::milliseconds(7300);
    /// A process that orders engines keeps the right to for this long after
    /// its last use, and others wait it out.
    duration order_lease = std::chrono::seconds(3);
};

/// Part of the drain time after which a watch of the store that is overdue is
/// given up.
inline constexpr double watch_margin_share = 0.2;

struct gateway_settings
{
    instance_id instance;
    failure_domain_id failure_domain;
    ip_address listen;
    ip_address ready;
    ip_address admin;
    ip_address peer; ///< UDP address for load reports between gateways.
    ip_address store;
    shared_retry_settings retries;
    gateway_limits limits;
    gateway_timeouts timeouts;
};

/// Reads the whole file and calls finish(); throws settings_error.
gateway_settings parse_gateway_settings(settings::reader& all);

} // namespace poplar::gateway
