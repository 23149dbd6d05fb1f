/// Sheet text shared by tests.
#pragma once

#include <string>

namespace poplar::sheet
{

/// Two ranks, one group, one service and one tenant.
inline const std::string sample_sheet = R"(# spring fleet
drained = ["writer-1"] # new fan
withdrawn = []

[[rank]]
name = "urgent"
first_token_target = "360ms"
token_interval_target = "27ms"
guaranteed_share = 0.6
worth = 8
engine_priority = 10

[[rank]]
name = "later"
first_token_target = "1h"
token_interval_target = "1s"
guaranteed_share = 0.4

[[group]]
name = "writers"
model = "layout-writer"
version = "3"
adapters = ["tt-south"]
checks_fencing = true

[[service]]
name = "order-app"
once = ["POST /orders", "PUT /orders/print"]
timeout = "5s"

[[tenant]]
name = "press"
weight = 2
rank = "later"
most_urgent_rank = "urgent"
)";

} // namespace poplar::sheet
