/// Conversion between the sheet's types and those of the inner protocol.
#pragma once

#include "sheet/sheet.hpp"
#include "wire/generated/inner_generated.h"

namespace poplar::control
{

sheet::engine_role from_wire(wire::fb::engine_role role);
wire::fb::engine_role to_wire(sheet::engine_role role);
sheet::upstream_state from_wire(wire::fb::upstream_state state);
wire::fb::upstream_state to_wire(sheet::upstream_state state);

} // namespace poplar::control
