/// One dispatch at the stand-in engine.
#pragma once

#include "base/time.hpp"
#include "net/http_server.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace poplar::standin
{

/// Body of /v1/generate and /v1/prefill.
struct job_request
{
    std::string request_id;
    std::string model;
    std::string adapter;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    int priority = 0; ///< Higher is served first.
    std::uint32_t resume_tokens = 0;
    std::string kv_source; ///< Empty: no KV cache to import.
    std::string kv_handle;
    bool prefill_only = false;
};

struct job
{
    job_request request;
    net::responder_ptr answer;
    std::uint64_t digest = 0; ///< Of the answer, see standin/common/tokens.hpp.
    std::vector<std::uint64_t> blocks;
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
    std::uint32_t end_token = 0; ///< Tokens of the whole answer.
    std::uint32_t next_token = 0;
    std::int64_t prefill_left = 0;
    std::int64_t kv_pieces = 0; ///< Reserved while running.
    std::uint64_t arrival = 0;  ///< Order of arrival.
    bool kv_imported = false;
    bool begun = false; ///< The status line has been sent.
    bool ended = false;
};

using job_ptr = std::shared_ptr<job>;

/// Orders waiting jobs: by priority, then by arrival.
inline bool goes_before(const job_ptr& a, const job_ptr& b)
{
    if (a->request.priority != b->request.priority)
        return a->request.priority > b->request.priority;
    return a->arrival < b->arrival;
}

} // namespace poplar::standin
