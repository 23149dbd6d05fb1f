#include "entry/failure.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace poplar::entry
{

namespace
{

constexpr std::array http_errors{
    http_error{failure_kind::bad_request, 400, "bad_request"},
    http_error{failure_kind::too_long, 413, "too_long"},
    http_error{failure_kind::not_found, 404, "not_found"},
    http_error{failure_kind::unknown_model, 404, "unknown_model"},
    http_error{failure_kind::unknown_service, 404, "unknown_service"},
    http_error{failure_kind::unknown_rank, 400, "unknown_rank"},
    http_error{failure_kind::rank_not_allowed, 403, "rank_not_allowed"},
    http_error{failure_kind::key_missing, 400, "idempotency_key_missing"},
    http_error{failure_kind::key_reused, 422, "idempotency_key_reused"},
    http_error{failure_kind::refused_by_upstream, 400, "refused_by_upstream"},
    http_error{failure_kind::overloaded, 429, "overloaded"},
    http_error{failure_kind::no_upstream, 503, "no_upstream"},
    http_error{failure_kind::not_ready, 503, "not_ready"},
    http_error{failure_kind::shutting_down, 503, "shutting_down"},
    http_error{failure_kind::ledger_unavailable, 503, "ledger_unavailable"},
    http_error{failure_kind::in_progress, 504, "in_progress"},
    http_error{failure_kind::deadline, 504, "deadline"},
    http_error{failure_kind::upstream_lost, 504, "upstream_lost"},
    http_error{failure_kind::body_too_large, 502, "body_too_large"},
};

std::int64_t whole_seconds(duration d)
{
    return std::chrono::ceil<std::chrono::seconds>(d).count();
}

} // namespace

const http_error& http_error_of(failure_kind kind)
{
    return *std::ranges::find(http_errors, kind, &http_error::kind);
}

std::string_view ran_text(fb::ran_state ran)
{
    switch (ran)
    {
    case fb::ran_state::no:
        return "no";
    case fb::ran_state::yes:
        return "yes";
    default:
        return "unknown";
    }
}

std::string failure_json(const failure& f)
{
    nlohmann::json body;
    body["error"] = {{"type", http_error_of(f.kind).type},
                     {"message", f.message},
                     {"ran", ran_text(f.ran)},
                     {"retry_after_ms", to_milliseconds(f.retry_after)}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

net::http_response failure_response(const failure& f,
                                    const std::string& request)
{
    net::http_response response;
    response.status = http_error_of(f.kind).status;
    response.body = failure_json(f);
    response.headers.push_back({"Content-Type", "application/json"});
    response.headers.push_back({"Poplar-Ran", std::string(ran_text(f.ran))});
    response.headers.push_back({"Poplar-Request-Id", request});
    if (f.retry_after > duration::zero())
        response.headers.push_back(
            {"Retry-After", std::to_string(whole_seconds(f.retry_after))});
    return response;
}

} // namespace poplar::entry
