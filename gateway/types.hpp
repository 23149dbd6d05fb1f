/// What the gateway knows of requests, routes and upstreams. The platform
/// adapter fills these types; nothing here depends on its wire.
#pragma once

#include "base/address.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "base/units.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplar::gateway
{

/// Identifies one attempt of a caller; a caller's repeat has another.
using attempt_id = text_id<struct attempt_tag>;
/// One incarnation of an upstream process.
using upstream_id = text_id<struct upstream_tag>;
/// Version of the operators' configuration; rises in uneven steps.
using config_version = number_id<struct config_version_tag>;
/// Digest of a prompt part, for one model.
using block_digest = number_id<struct block_digest_tag>;

enum class call_kind
{
    idempotent,
    non_idempotent,
    stream
};

/// One of the services that a route sends to.
struct route_target
{
    service_id service;
    double weight = 1;
};

struct route
{
    std::string host;        ///< Lower case, without port.
    std::string path_prefix; ///< Begins and ends with a slash.
    std::vector<route_target> targets;
    call_kind kind = call_kind::non_idempotent;
    unsigned max_attempts = 1;
    duration timeout{std::chrono::seconds(30)};
    /// Until the answer, or the first event of a stream.
    duration target{std::chrono::seconds(1)};
    /// Longest pause between the events of a stream.
    duration pause_target{std::chrono::milliseconds(200)};
    unsigned priority = 5; ///< 0 is the most urgent.
    bool resumable = false;
};

/// What the operator states of a service.
struct service
{
    service_id name;
    std::uint32_t max_connections = 64; ///< Of all callers to one upstream.
    /// Zero for services without engines.
    token_count kv_capacity;
};

/// Limits on what a caller may send.
struct caller_limits
{
    std::uint32_t header_bytes = 16 << 10;
    std::uint64_t body_bytes = std::uint64_t(1) << 20;
    duration header_timeout{std::chrono::seconds(10)};
    duration idle_timeout{std::chrono::seconds(30)};
};

struct configuration
{
    config_version version;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
};

enum class engine_stage
{
    none, ///< Not an engine.
    prefill,
    decode
};

enum class upstream_state
{
    ready,
    draining
};

/// An upstream as it registered itself.
struct upstream_record
{
    upstream_id id;
    service_id service;
    ip_address address;
    failure_domain_id failure_domain;
    upstream_state state = upstream_state::ready;
    engine_stage stage = engine_stage::none;
    std::uint32_t slots = 1;     ///< Requests served at once.
    std::int64_t started_ms = 0; ///< Unix time; tells restarts apart.
};

/// One part of a prompt. It is of use in a cache behind the parts before it.
struct prefix_block
{
    block_digest digest;
    token_count tokens;
};

struct prompt
{
    std::string model;
    token_count input;
    token_count max_output; ///< At most.
    std::vector<prefix_block> blocks;
};

/// What the head of a caller's request says.
struct request_info
{
    attempt_id id;
    std::optional<duration> caller_timeout;    ///< How long the caller waits.
    std::optional<prompt> engine_prompt;       ///< For engines.
    std::optional<std::uint64_t> resume_after; ///< Last event the caller has.
};

/// What the head of an upstream's answer says.
struct answer_info
{
    attempt_id id;
    unsigned status = 0;
    bool not_executed = false; ///< The upstream did not run the request.
    /// Bears the upstream's signature; a success without one is not its answer.
    bool is_signed = false;
    std::optional<duration> keep_alive;
    /// The upstream takes no requests for this long.
    std::optional<duration> pause;
    bool has_bad_pause = false; ///< A pause that cannot be read.
    bool is_leaving = false;    ///< The upstream will end.
};

/// KV cache that an upstream keeps for a request whose prompt it has read.
struct kv_handle
{
    ip_address source;
    std::string handle;

    bool empty() const
    {
        return handle.empty();
    }
};

/// How a request is sent to one upstream.
struct send_options
{
    upstream_id upstream;
    duration remaining_time{};
    std::optional<unsigned> priority;
    bool prefill_only = false;
    kv_handle kv; ///< Empty: the upstream reads the prompt itself.
    /// Upstream that keeps parts of the prompt; empty: none.
    ip_address fetch_from;
    std::optional<std::uint64_t> resume_after;
};

} // namespace poplar::gateway
