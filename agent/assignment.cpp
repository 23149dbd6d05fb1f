#include "agent/assignment.hpp"

#include "base/error.hpp"

#include <algorithm>
#include <array>

namespace poplar::agent
{

using sheet::engine_role;
using sheet::upstream_state;

engine_role from_wire(fb::engine_role role)
{
    switch (role)
    {
    case fb::engine_role::prefill:
        return engine_role::prefill;
    case fb::engine_role::decode:
        return engine_role::decode;
    case fb::engine_role::mixed:
        return engine_role::mixed;
    default:
        return engine_role::unassigned;
    }
}

fb::engine_role to_wire(engine_role role)
{
    switch (role)
    {
    case engine_role::prefill:
        return fb::engine_role::prefill;
    case engine_role::decode:
        return fb::engine_role::decode;
    case engine_role::mixed:
        return fb::engine_role::mixed;
    default:
        return fb::engine_role::unassigned;
    }
}

upstream_state from_wire(fb::upstream_state state)
{
    switch (state)
    {
    case fb::upstream_state::draining:
        return upstream_state::draining;
    case fb::upstream_state::withdrawn:
        return upstream_state::withdrawn;
    default:
        return upstream_state::active;
    }
}

fb::upstream_state to_wire(upstream_state state)
{
    switch (state)
    {
    case upstream_state::draining:
        return fb::upstream_state::draining;
    case upstream_state::withdrawn:
        return fb::upstream_state::withdrawn;
    default:
        return fb::upstream_state::active;
    }
}

assignment from_wire(const fb::assignmentT& message)
{
    assignment a;
    a.version = object_version(message.version);
    a.epoch = owner_epoch(message.epoch);
    a.setup.role = from_wire(message.role);
    a.setup.model = model_id(message.model);
    a.setup.version = model_version(message.model_version);
    for (const std::string& it : message.adapters)
        a.setup.adapters.emplace_back(it);
    std::ranges::sort(a.setup.adapters);
    a.state = from_wire(message.state);
    a.generation = sheet_generation(message.sheet_generation);
    return a;
}

engine_role parse_role(const std::string& text)
{
    for (const auto it : {engine_role::unassigned, engine_role::prefill,
                          engine_role::decode, engine_role::mixed})
        if (sheet::to_string(it) == text)
            return it;
    throw parse_error("not an engine role: " + text);
}

upstream_state parse_state(const std::string& text)
{
    for (const auto it : {upstream_state::active, upstream_state::draining,
                          upstream_state::withdrawn})
        if (sheet::to_string(it) == text)
            return it;
    throw parse_error("not an upstream state: " + text);
}

} // namespace poplar::agent
