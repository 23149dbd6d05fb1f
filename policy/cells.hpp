/// Deterministic assignment of members to cells (disjoint subsets of the
/// members, of similar size) and of agents to entries.
///
/// Every process computes the same result from the same member list in any
/// order. The assignment is rendezvous hashing with bounded loads: each member
/// goes to its most preferred bin that has free capacity, so bins stay balanced
/// and few members move when one is removed.
#pragma once

#include "base/ids.hpp"

#include <cstdint>
#include <vector>

namespace poplar::policy
{

/// Returns the cell of each member, in the order of `members`. No cell holds
/// more than `balance_factor` times the average number, rounded up.
std::vector<std::uint32_t> assign_cells(const std::vector<instance_id>& members,
                                        std::uint32_t cells,
                                        double balance_factor = 1.1);

/// Returns the agents that `entry` connects to when each agent connects to
/// `degree` of the entries, or to fewer if the remaining ones are full; all
/// agents if `degree` is at least the number of entries.
std::vector<instance_id> agent_subset(const instance_id& entry,
                                      const std::vector<instance_id>& entries,
                                      const std::vector<instance_id>& agents,
                                      std::uint32_t degree,
                                      double balance_factor = 1.1);

} // namespace poplar::policy
