/// Settings of poplar-entry; docs/settings-entry.md describes each one.
#pragma once

#include "base/address.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "base/units.hpp"
#include "policy/work.hpp"
#include "settings/reader.hpp"

#include <cstdint>

namespace poplar::entry
{

/// Table [limits].
struct entry_limits
{
    std::uint32_t max_open_requests = 4096;
    byte_count max_body{std::int64_t(1) << 20};
    token_count max_output{8192};       ///< Highest max_tokens accepted.
    token_count default_output{256};    ///< If a request has no max_tokens.
    byte_count window{64 << 10};        ///< Most unwritten text of a stream.
    byte_count answer_buffer{64 << 10}; ///< Unsent bytes per answer.
    unsigned max_attempts = 8;          ///< Most failed attempts per request.
    double retry_ratio = 0.1;           ///< Retries per offered request.
    unsigned tenant_labels = 50;        ///< Tenants with their own label.
    unsigned decision_records = 8192;
    unsigned http_threads = 2;
    unsigned wire_threads = 2;
};

/// Table [timeouts].
struct entry_timeouts
{
    /// Timeout of a chat request without Poplar-Deadline-Ms.
    duration default_deadline = std::chrono::seconds(60);
    /// Longest timeout that a caller can set.
    duration max_deadline = std::chrono::minutes(30);
    /// Longest wait for the reconnection of a disconnected agent. After it, its
    /// streams are resumed on another engine and its at-most-once calls fail
    /// with an unknown outcome.
    duration attach_wait = std::chrono::seconds(3);
    /// Longest wait for an engine that can resume an open stream.
    duration resume_patience = std::chrono::seconds(5);
    /// Interval between reads of the platform's instance list.
    duration instance_poll = std::chrono::seconds(1);
    /// Timeout of one watch request. If the watch connection stops delivering
    /// data, a change is detected after this time plus one second. An accepted
    /// sheet must be in force within 4 s.
    duration watch = std::chrono::milliseconds(1500);
    /// Lowest and highest backoff between connection attempts to an agent.
    duration lowest_reconnect = std::chrono::milliseconds(50);
    duration highest_reconnect = std::chrono::seconds(2);
    /// Delay at shutdown between reporting not ready and closing the listening
    /// socket, so that the load balancer stops sending requests first.
    duration close_delay = std::chrono::seconds(1);
};

/// Table [control]: timing of the control ownership of engine groups.
struct control_timeouts
{
    /// Time without a renewal after which another entry takes over.
    duration lease = std::chrono::seconds(10);
    /// Interval between renewals of a held lease.
    duration renewal = std::chrono::seconds(3);
    /// Extra wait for each candidate that precedes this entry before it takes
    /// over an expired lease, so that they do not all try at once.
    duration takeover_stagger = std::chrono::seconds(2);
    /// Interval between plans for a group.
    duration planning = std::chrono::seconds(1);
};

/// All settings of the process.
struct entry_settings
{
    instance_id instance;
    region_id region;
    failure_domain_id failure_domain;
    ip_address listen;
    ip_address inner_listen;
    ip_address admin;
    ip_address platform;
    unsigned cell_count = 1;
    entry_limits limits;
    entry_timeouts timeouts;
    policy::engine_speed speed; ///< Assumed for each engine.
    control_timeouts control;
};

/// Reads all settings and calls finish(), which rejects unknown ones; throws
/// settings_error.
entry_settings parse_entry_settings(settings::reader& root);

} // namespace poplar::entry
