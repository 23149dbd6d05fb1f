#include "control/wire_types.hpp"

namespace poplar::control
{

namespace fb = wire::fb;

sheet::engine_role from_wire(fb::engine_role role)
{
    switch (role)
    {
    case fb::engine_role::unassigned:
        return sheet::engine_role::unassigned;
    case fb::engine_role::prefill:
        return sheet::engine_role::prefill;
    case fb::engine_role::decode:
        return sheet::engine_role::decode;
    case fb::engine_role::mixed:
        return sheet::engine_role::mixed;
    }
    return sheet::engine_role::unassigned;
}

fb::engine_role to_wire(sheet::engine_role role)
{
    switch (role)
    {
    case sheet::engine_role::unassigned:
        return fb::engine_role::unassigned;
    case sheet::engine_role::prefill:
        return fb::engine_role::prefill;
    case sheet::engine_role::decode:
        return fb::engine_role::decode;
    case sheet::engine_role::mixed:
        return fb::engine_role::mixed;
    }
    return fb::engine_role::unassigned;
}

sheet::upstream_state from_wire(fb::upstream_state state)
{
    switch (state)
    {
    case fb::upstream_state::active:
        return sheet::upstream_state::active;
    case fb::upstream_state::draining:
        return sheet::upstream_state::draining;
    case fb::upstream_state::withdrawn:
        return sheet::upstream_state::withdrawn;
    }
    return sheet::upstream_state::active;
}

fb::upstream_state to_wire(sheet::upstream_state state)
{
    switch (state)
    {
    case sheet::upstream_state::active:
        return fb::upstream_state::active;
    case sheet::upstream_state::draining:
        return fb::upstream_state::draining;
    case sheet::upstream_state::withdrawn:
        return fb::upstream_state::withdrawn;
    }
    return fb::upstream_state::active;
}

} // namespace poplar::control
