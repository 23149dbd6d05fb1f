/// What an engine is assigned and what it reports, as the agent sees them.
#pragma once

#include "base/ids.hpp"
#include "control/wire_types.hpp"
#include "sheet/sheet.hpp"
#include "wire/generated/inner_generated.h"

#include <string>
#include <vector>

namespace poplar::agent
{

namespace fb = wire::fb;

/// The part of an engine's state that an order changes.
struct engine_setup
{
    sheet::engine_role role = sheet::engine_role::unassigned;
    model_id model;
    model_version version;
    std::vector<adapter_id> adapters; ///< Sorted.

    bool operator==(const engine_setup&) const = default;
};

/// One agent's part of the object assignments/<group>.
struct assignment
{
    object_version version; ///< Of the object; 0: no assignment.
    owner_epoch epoch;
    engine_setup setup;
    sheet::upstream_state state = sheet::upstream_state::active;
    sheet_generation generation;
};

/// Answer of GET /v1/state.
struct engine_state
{
    engine_setup setup;
    bool changing = false; ///< An order is being carried out.
};

using control::from_wire;
using control::to_wire;
assignment from_wire(const fb::assignmentT& message);

/// Throws parse_error.
sheet::engine_role parse_role(const std::string& text);
/// Throws parse_error.
sheet::upstream_state parse_state(const std::string& text);

} // namespace poplar::agent
