#include "agent/assignment.hpp"

#include "base/error.hpp"

#include <algorithm>
#include <array>

namespace poplar::agent
{

using sheet::engine_role;
using sheet::upstream_state;

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
