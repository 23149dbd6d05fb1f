/// Settings of poplar-gateway; docs/settings-gateway.md is the reference.
#pragma once

#include "base/address.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "base/units.hpp"
#include "settings/reader.hpp"

#include <optional>
#include <string>

namespace poplar::gateway
{

/// Limit for the retries that all gateways together send, for each service.
struct shared_retry_settings
{
    /// Retries per first attempt, in any time window.
    double ratio = 0.2;
    /// Retries in any time window in addition to the ratio.
    unsigned slack = 50;
};

/// Limits of one gateway.
struct gateway_limits
{
    unsigned max_open_requests = 1500;
    byte_count max_body_bytes{std::int64_t(48) << 20}; ///< Sum of all bodies.
    unsigned max_callers = 2500;                       ///< Open connections.
    /// Of one connection: received and not parsed. A chunk-size line with its
    /// extensions and a trailer are parsed as a whole.
    byte_count max_unparsed_bytes{std::int64_t(64) << 10};
    /// Open connections to the ready port, and to the admin port.
    unsigned max_status_callers = 64;
    /// Memory of the machine; callers may occupy a fixed part of it. Empty: no
    /// budget.
    std::optional<byte_count> memory;
};

struct gateway_timeouts
{
    /// Maximum time from the acknowledgement of a configuration change by the
    /// store until the change is in force here.
    duration apply = std::chrono::milliseconds(2000);
    /// Interval between two registrations of an upstream; its entry lapses
    /// after three missed ones.
    duration heartbeat = std::chrono::milliseconds(1200);
    /// Maximum time for which requests still reach an upstream after the store
    /// has announced that the upstream drains.
    duration drain = std::chrono::milliseconds(2000);
    /// Time from "not ready" to the refusal of new requests, so that the load
    /// balancer detects the shutdown first.
    duration close_delay = std::chrono::milliseconds(2900);
    /// Maximum time from SIGTERM until open requests are answered with a
    /// failure; streams that have begun are cut a little later.
    duration drain_limit = std::chrono::milliseconds(7300);
    /// Least time between the orders to engines of two successive holders of
    /// the order lease; part of the time that others wait before taking over.
    duration order_lease = std::chrono::seconds(3);
};

/// The platform's API for the duties of one gateway at a time.
struct platform_api_settings
{
    ip_address address;
    /// Names of the duties that the platform expects, separated by commas.
    std::string duties;
    /// Calls of all gateways together.
    double calls_per_second = 50;
    duration usage_window = std::chrono::seconds(5);
    /// Time after the end of a window at which its report is due.
    duration usage_late = std::chrono::seconds(10);
};

/// A watch of the store is given up when its answer is overdue by this fraction
/// of the drain time.
inline constexpr double watch_margin_share = 0.2;

/// All settings of the process.
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
    /// Empty: the gateways have no duties towards the platform.
    std::optional<platform_api_settings> platform_api;
};

/// Reads all settings and calls finish(), which rejects unknown ones; throws
/// settings_error.
gateway_settings parse_gateway_settings(settings::reader& all);

} // namespace poplar::gateway
