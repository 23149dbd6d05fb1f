/// Settings of poplar-agent; docs/settings-agent.md is the reference.
#pragma once

#include "agent/order_machine.hpp"
#include "base/address.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "settings/reader.hpp"

#include <cstdint>

namespace poplar::agent
{

enum class upstream_kind
{
    engine,
    service
};

struct stream_options
{
    std::size_t max_open = 1024;
    /// Output is kept this long for an entry that lost its connection.
    duration keep_time = std::chrono::seconds(10);
    /// An engine that gives no token for this long has failed.
    duration token_idle_limit = std::chrono::seconds(5);
    /// The same before the first token, when a stream may wait its turn.
    duration first_token_limit = std::chrono::minutes(1);
    duration cancel_timeout = std::chrono::seconds(2);
};

struct poll_options
{
    duration interval = std::chrono::milliseconds(250);
    duration timeout = std::chrono::seconds(1);
    duration report_interval = std::chrono::milliseconds(500);
    duration longest_report_interval = std::chrono::seconds(2);
    duration order_timeout = std::chrono::seconds(5);
};

struct call_options
{
    std::size_t max_open = 256;
    duration timeout = std::chrono::seconds(10);
    unsigned max_ledger_writes = 50; ///< Per second.
};

struct agent_settings
{
    instance_id instance;
    group_id group;
    region_id region;
    failure_domain_id failure_domain;
    upstream_kind kind = upstream_kind::engine;
    ip_address upstream;
    ip_address listen;
    ip_address admin;
    ip_address platform;
    std::uint16_t slot_lock_port = 0; ///< 0: no lock.
    bool checks_fencing = false;
    duration slot_check_interval = std::chrono::seconds(2);
    stream_options streams;
    order_options orders;
    poll_options polls;
    call_options calls;
    duration shutdown_limit = std::chrono::minutes(10);
};

/// Reads all settings and calls finish(); throws settings::settings_error.
agent_settings parse_settings(settings::reader& all);

} // namespace poplar::agent
