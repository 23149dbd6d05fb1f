/// Deterministic division of entries and agents into cells and subsets.
///
/// Every process computes the same result from the same member list, whatever
/// its order. Bounded rendezvous hashing: a member goes to its best bin with
/// room, so bins stay balanced and few members move when one leaves.
#pragma once

#include "base/ids.hpp"

#include <cstdint>
#include <vector>

namespace poplar::policy
{

/// Cell of each member, in the order of `members`. No cell holds more than
/// `balance_factor` times the average, rounded up.
std::vector<std::uint32_t> assign_cells(const std::vector<instance_id>& members,
                                        std::uint32_t cells,
                                        double balance_factor = 1.1);

/// Agents that `entry` connects to when each agent connects to `degree` of
/// the entries; all agents when degree is at least the number of entries.
std::vector<instance_id> agent_subset(const instance_id& entry,
                                      const std::vector<instance_id>& entries,
                                      const std::vector<instance_id>& agents,
                                      std::uint32_t degree,
                                      double balance_factor = 1.1);

} // namespace poplar::policy
