/// The object slot/<instance>: which agent process is the present one.
#pragma once

#include "base/address.hpp"
#include "base/ids.hpp"
#include "store/object_store.hpp"

#include <string>

namespace poplar::agent
{

struct slot_record
{
    agent_incarnation incarnation;
    std::string address;
    std::string process; ///< Random text of the process that wrote it.
};

std::string to_json(const slot_record& record);
/// Throws parse_error.
slot_record parse_slot(const std::string& json);

object_key slot_key(const instance_id& instance);

/// Raises the incarnation until a write of this process took effect; returns
/// it. Throws store::store_error, and then nothing is certain; call again.
agent_incarnation take_slot(store::object_store& store,
                            const instance_id& instance,
                            const ip_address& address,
                            const std::string& process);

/// Incarnation that the slot has now. Throws store::store_error.
agent_incarnation read_slot(store::object_store& store,
                            const instance_id& instance);

} // namespace poplar::agent
