/// The objects assignments/<group> and lease/<group>.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "sheet/sheet.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace poplar::control
{

/// What one engine is to run. The object's version is the order number.
struct assignment
{
    instance_id instance;
    sheet::engine_role role = sheet::engine_role::mixed;
    model_id model;
    model_version version;
    std::vector<adapter_id> adapters; ///< Sorted.
    sheet::upstream_state state = sheet::upstream_state::active;
    std::string reason; ///< Why it is so, for the operators' record.

    bool operator==(const assignment&) const = default;
};

/// Content of assignments/<group>. Whoever writes it under a higher epoch is
/// the owner of the group from then on.
struct group_assignments
{
    owner_epoch epoch;
    instance_id owner;
    std::string write_id; ///< Tells a writer its own write from another's.
    sheet_generation generation; ///< Sheet from which it was worked out.
    std::vector<assignment> assignments; ///< Ordered by instance.
};

/// When assignments/<group> was written.
struct assignments_stamp
{
    owner_epoch epoch;
    object_version version;
};

/// False for what a restored store has of an earlier time: in a new era an
/// owner writes only after it has raised the epoch.
bool is_newer(const assignments_stamp& a, const assignments_stamp& than);

/// Content of lease/<group>: tells the candidates that the owner is alive. It
/// proves nothing; authority is the epoch in assignments/<group>.
struct group_lease
{
    instance_id owner; ///< Empty: released, a candidate may take over at once.
    std::string address; ///< Inner-protocol address of the owner.
    owner_epoch epoch;
    std::uint64_t renewals = 0;
};

inline const std::string assignments_prefix = "assignments/";
inline const std::string lease_prefix = "lease/";

object_key assignments_key(const group_id& group);
object_key lease_key(const group_id& group);

/// JSON forms; the parse functions throw parse_error.
std::string to_json(const group_assignments& a);
group_assignments parse_group_assignments(const std::string& json);
std::string to_json(const group_lease& lease);
group_lease parse_group_lease(const std::string& json);

const assignment* find_assignment(const group_assignments& a,
                                  const instance_id& instance);

} // namespace poplar::control
