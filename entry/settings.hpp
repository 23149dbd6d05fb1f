/// Settings of poplar-entry; docs/settings-entry.md is the reference.
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

struct entry_limits
{
    std::uint32_t max_open_requests = 4096;
    byte_count max_body{std::int64_t(1) << 20};
    token_count max_output{8192};       ///< Highest max_tokens accepted.
    token_count default_output{256};    ///< Without max_tokens in the request.
    byte_count window{64 << 10};        ///< Unread text of one stream.
    byte_count answer_buffer{64 << 10}; ///< Bytes waiting for one caller.
    unsigned max_attempts = 8;          ///< Dispatches of one request.
    double retry_ratio = 0.1;           ///< Retries per first dispatch.
    unsigned tenant_labels = 50;        ///< Tenants with metrics of their own.
    unsigned decision_records = 8192;
    unsigned http_threads = 2;
    unsigned wire_threads = 2;
};

struct entry_timeouts
{
    duration default_deadline = std::chrono::seconds(60);
    duration max_deadline = std::chrono::minutes(30);
    /// Wait for the reconnection of a lost agent before resuming elsewhere.
    duration attach_wait = std::chrono::seconds(3);
    /// Wait for an engine that can resume an open stream.
    duration resume_patience = std::chrono::seconds(5);
    duration instance_poll = std::chrono::seconds(1);
    /// A change on a watch connection that went silent is seen after this time
    /// and the margin of one second, within the 4 s of an accepted sheet.
    duration watch = std::chrono::milliseconds(1500);
    duration lowest_reconnect = std::chrono::milliseconds(50);
    duration highest_reconnect = std::chrono::seconds(2);
    /// Between not ready and the end of listening, so that the load balancer
    /// notices first.
    duration close_delay = std::chrono::seconds(1);
};

/// Times of the choice of a group's control owner.
struct control_timeouts
{
    duration lease = std::chrono::seconds(10);
    duration renewal = std::chrono::seconds(3);
    duration takeover_stagger = std::chrono::seconds(2);
    duration planning = std::chrono::seconds(1);
};

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
    policy::engine_speed speed; ///< Of one engine, assumed by the decisions.
    control_timeouts control;
};

/// Reads the whole file and calls finish(); throws settings_error.
entry_settings parse_entry_settings(settings::reader& root);

} // namespace poplar::entry
