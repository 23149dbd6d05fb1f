/// Types that describe requests, routes and upstreams. The platform adapter
/// fills them from its wire format, which nothing here depends on.
#pragma once

#include "base/address.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "base/units.hpp"
#include "policy/scaling.hpp"
#include "policy/stream_versions.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplar::gateway
{

/// Identifies one attempt of a caller; a retry by the caller has a new id.
using attempt_id = text_id<struct attempt_tag>;
/// Identifies an upstream; its process may restart under the same id.
using upstream_id = text_id<struct upstream_tag>;
/// Version of the operators' configuration; increases, but may skip numbers.
using config_version = number_id<struct config_version_tag>;
/// Name of a client account, which owns keys.
using account_name = text_id<struct account_tag>;
/// Version of an upstream's software. Only upstreams of the version that began
/// a stream may go on with it.
using software_version = policy::software_version;
/// Digest of a prefix block, valid for one model.
using block_digest = number_id<struct block_digest_tag>;

/// Priorities that the queues of engines distinguish.
inline constexpr unsigned engine_priority_count = 10;
/// Status with which a process answers requests that are meant for another one.
inline constexpr unsigned status_misdirected = 421;

/// How often a request of a route may execute and how it is answered.
enum class call_kind
{
    idempotent,
    non_idempotent,
    stream
};

/// A service that a route sends requests to, with its share of the traffic.
struct route_target
{
    service_id service;
    double weight = 1;
};

/// Maps a host and path prefix to services, with the limits that apply.
struct route
{
    std::string host;        ///< Lower case, without port.
    std::string path_prefix; ///< Begins and ends with a slash.
    std::vector<route_target> targets;
    call_kind kind = call_kind::non_idempotent;
    unsigned max_attempts = 1;
    duration timeout{std::chrono::seconds(30)};
    /// Target latency of the answer, or of the first event of a stream.
    duration target{std::chrono::seconds(1)};
    /// Target for the longest pause between two events of a stream.
    duration pause_target{std::chrono::milliseconds(200)};
    unsigned priority = 5; ///< 0 is the most urgent.
    bool resumable = false;
    bool is_public = false; ///< Requests need no key.
};

/// Limits on the number of upstreams of a service in each failure domain.
using scaling_bounds = policy::scaling_bounds;

/// Operator settings of a service.
struct service
{
    service_id name;
    /// Limit on the connections of all callers to one upstream.
    std::uint32_t max_connections = 64;
    /// KV cache capacity of an engine; zero for services without engines.
    token_count kv_capacity;
    /// Empty: the number of upstreams is not adjusted.
    std::optional<scaling_bounds> scaling;
};

/// A client account of the operators' configuration.
struct client_account
{
    account_name name;
    std::vector<std::string> keys;
    /// Replaces the priority of the route.
    std::optional<unsigned> priority;
};

/// Limits on the size and duration of a caller's requests.
struct caller_limits
{
    std::uint32_t header_bytes = 16 << 10;
    std::uint64_t body_bytes = std::uint64_t(1) << 20;
    duration header_timeout{std::chrono::seconds(10)};
    duration idle_timeout{std::chrono::seconds(30)};
};

/// A version of the configuration that the operators publish.
struct configuration
{
    config_version version;
    std::vector<route> routes;
    std::vector<service> services;
    /// Empty: requests need no key.
    std::optional<std::vector<client_account>> accounts;
    caller_limits limits;
};

/// The stage of requests that an engine is assigned to.
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

/// Registration record of an upstream, as the upstream wrote it.
struct upstream_record
{
    upstream_id id;
    service_id service;
    ip_address address;
    failure_domain_id failure_domain;
    software_version version;
    upstream_state state = upstream_state::ready;
    engine_stage stage = engine_stage::none;
    std::uint32_t slots = 1;     ///< Requests served concurrently.
    std::int64_t started_ms = 0; ///< Unix time; distinguishes restarts.
    /// Number of this write among those of the process; 0 if not stated.
    std::uint64_t write_number = 0;
};

/// A piece of a prompt that is cached as a unit. A cached block is only usable
/// if all blocks before it are cached too.
struct prefix_block
{
    block_digest digest;
    token_count tokens;
};

/// The prompt of a request to an engine.
struct prompt
{
    std::string model;
    token_count input;
    token_count max_output; ///< Most tokens that may be generated.
    std::vector<prefix_block> blocks;
};

/// Fields decoded from the head of a caller's request.
struct request_info
{
    attempt_id id;
    std::optional<duration> caller_timeout; ///< How long the caller waits.
    std::optional<prompt> engine_prompt;    ///< Set for requests to engines.
    /// Id of the last event that a resuming caller has received.
    std::optional<std::uint64_t> resume_after;
    /// The attempt that brought the first event of that stream; empty if the
    /// caller does not name it.
    attempt_id resumed_attempt;
    /// Key of a client account; empty if missing, malformed or repeated.
    std::optional<std::string> key;
};

/// Fields decoded from the head of an upstream's answer.
struct answer_info
{
    attempt_id id;
    unsigned status = 0;
    bool not_executed = false; ///< The upstream did not execute the request.
    /// Carries the upstream's signature. A successful answer without one cannot
    /// be attributed to the upstream.
    bool is_signed = false;
    /// How long the upstream keeps an idle connection open.
    std::optional<duration> keep_alive;
    /// How long the upstream accepts no requests.
    std::optional<duration> pause;
    bool has_bad_pause = false; ///< The pause field is malformed.
    bool is_leaving = false;    ///< The upstream announced its shutdown.
    /// Requests per second that the upstream accepts from all gateways
    /// together; empty if it states no limit.
    std::optional<double> request_limit;
    bool has_bad_limit = false; ///< The limit field is malformed.
};

/// Refers to KV cache that an upstream holds for a request after its prefill.
struct kv_handle
{
    ip_address source;
    std::string handle;

    bool empty() const
    {
        return handle.empty();
    }
};

/// Parameters of one attempt at an upstream.
struct send_options
{
    upstream_id upstream;
    duration remaining_time{};
    std::optional<unsigned> priority;
    bool prefill_only = false;
    kv_handle kv; ///< Empty: the upstream runs the prefill itself.
    /// Upstream to fetch cached prefix blocks from; empty: none.
    ip_address fetch_from;
    /// Id of the event after which a stream resumes.
    std::optional<std::uint64_t> resume_after;
    /// Drops the caller's key and account and states `account` instead.
    bool replaces_account = false;
    std::optional<account_name> account;
};

} // namespace poplar::gateway
