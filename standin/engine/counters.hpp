/// What the stand-in engine counts for tests.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace poplar::standin
{

/// An order as it was received.
struct received_order
{
    std::uint64_t fencing = 0;
    std::string role;
    std::string result; ///< accepted, unchanged, stale or busy.
};

struct engine_counters
{
    std::map<std::string, std::uint64_t> executions; ///< By request_id.
    std::uint64_t completed = 0;
    std::uint64_t canceled = 0;
    std::uint64_t cut_streams = 0; ///< Cut by a change of the engine.
    std::uint64_t output_tokens = 0;
    std::uint64_t prefill_tokens = 0;
    std::uint64_t cached_tokens = 0;
    std::uint64_t kv_exports = 0;
    std::uint64_t kv_imports = 0;
    std::uint64_t changes = 0;
    std::uint64_t stale_orders = 0;       ///< With an old fencing token.
    std::uint64_t stale_executed = 0;     ///< Of these, carried out.
    std::uint64_t overlapping_orders = 0; ///< Received during a change.
    std::vector<received_order> orders;
};

nlohmann::json to_json(const engine_counters& c);

} // namespace poplar::standin
