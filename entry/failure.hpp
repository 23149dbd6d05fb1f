/// Typed failures of callers' requests and their HTTP form.
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
    bad_request, ///< Unreadable JSON or a field of the wrong form.
    too_long,
    not_found,
    unknown_model,
    unknown_service,
    unknown_rank,
    rank_not_allowed,
    key_missing,
    key_reused,
    refused_by_upstream, ///< The upstream found the request wrong.
    overloaded,
    no_upstream,
    not_ready,
    shutting_down,
    ledger_unavailable,
    in_progress, ///< The same key is still running.
    deadline,
    upstream_lost, ///< The outcome is not known.
    body_too_large ///< A result does not fit the inner protocol.
};

/// The final answer of a request that failed.
struct failure
{
    failure_kind kind = failure_kind::no_upstream;
    std::string message;
    fb::ran_state ran = fb::ran_state::no;
    duration retry_after{}; ///< 0: no time is known.
};

/// Figures of one failure type.
struct http_error
{
    failure_kind kind;
    unsigned status;
    std::string_view type;
};

const http_error& http_error_of(failure_kind kind);

/// Value of the Poplar-Ran header.
std::string_view ran_text(fb::ran_state ran);

/// {"error":{...}} as sent to callers.
std::string failure_json(const failure& f);

/// Whole answer with Poplar-Ran, Poplar-Request-Id and, when known,
/// Retry-After in whole seconds, rounded up.
net::http_response failure_response(const failure& f,
                                    const std::string& request);

} // namespace poplar::entry
