/// Typed failures of callers' requests and their HTTP responses.
#pragma once

#include "base/time.hpp"
#include "net/http_server.hpp"
#include "wire/generated/inner_generated.h"

#include <string>
#include <string_view>

namespace poplar::entry
{

namespace fb = wire::fb;

enum class failure_kind
{
    bad_request, ///< Invalid JSON or an invalid field.
    too_long,
    not_found,
    unknown_model,
    unknown_service,
    unknown_rank,
    rank_not_allowed,
    key_missing,
    key_reused,
    refused_by_upstream, ///< The upstream rejected the request as invalid.
    overloaded,
    no_upstream,
    not_ready,
    shutting_down,
    ledger_unavailable,
    in_progress, ///< A call with the same key is still in progress.
    deadline,
    upstream_lost, ///< The outcome is unknown.
    body_too_large ///< A message exceeds the inner protocol's limit.
};

/// The final answer of a request that failed.
struct failure
{
    failure_kind kind = failure_kind::no_upstream;
    std::string message;
    fb::ran_state ran = fb::ran_state::no;
    duration retry_after{}; ///< 0 if unknown.
};

/// HTTP status and error type of a failure kind.
struct http_error
{
    failure_kind kind;
    unsigned status;
    std::string_view type;
};

/// Returns the HTTP error for a failure kind.
const http_error& http_error_of(failure_kind kind);

/// Returns the value of the Poplar-Ran header.
std::string_view ran_text(fb::ran_state ran);

/// Returns the {"error":{...}} body that is sent to callers.
std::string failure_json(const failure& f);

/// Returns the complete response with Poplar-Ran, Poplar-Request-Id and, if
/// known, Retry-After in whole seconds, rounded up.
net::http_response failure_response(const failure& f,
                                    const std::string& request);

} // namespace poplar::entry
