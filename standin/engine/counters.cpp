#include "standin/engine/counters.hpp"

#include <algorithm>

namespace poplar::standin
{

using nlohmann::json;

json to_json(const engine_counters& c)
{
    json orders = json::array();
    for (const received_order& it : c.orders)
        orders.push_back({{"fencing", it.fencing},
                          {"role", it.role},
                          {"result", it.result}});
    const auto repeated = std::ranges::count_if(c.executions, [](const auto& it)
                                                { return it.second > 1; });
    return {{"executions", c.executions},
            {"started", c.executions.size()},
            {"repeated", repeated},
            {"completed", c.completed},
            {"canceled", c.canceled},
            {"cut_streams", c.cut_streams},
            {"output_tokens", c.output_tokens},
            {"prefill_tokens", c.prefill_tokens},
            {"cached_tokens", c.cached_tokens},
            {"kv_exports", c.kv_exports},
            {"kv_imports", c.kv_imports},
            {"changes", c.changes},
            {"stale_orders", c.stale_orders},
            {"stale_executed", c.stale_executed},
            {"overlapping_orders", c.overlapping_orders},
            {"orders", std::move(orders)}};
}

} // namespace poplar::standin
