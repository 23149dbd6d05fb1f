/// Holds the sheet and the assignments that are in force at this entry.
#pragma once

#include "base/ids.hpp"
#include "control/assignments.hpp"
#include "sheet/sheet.hpp"
#include "store/object_store.hpp"
#include "wire/generated/inner_generated.h"

#include <absl/synchronization/mutex.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace poplar::entry
{

namespace fb = wire::fb;

inline const std::string sheet_prefix = "sheet/";
inline const std::string assignments_prefix = control::assignments_prefix;

/// The sheet in force. `sheet` is null until a sheet has been accepted.
struct sheet_in_force
{
    std::shared_ptr<const sheet::sheet> sheet;
    sheet_generation generation;
};

/// Content of one stored object assignments/<group>, in wire types.
struct group_assignments
{
    group_id group;
    object_version version;
    owner_epoch epoch;
    instance_id owner;                        ///< Entry that wrote the object.
    std::vector<fb::assignmentT> assignments; ///< One for each instance.
};

/// Parses an object assignments/<group>; throws parse_error.
group_assignments parse_assignments(const store::object& o);

/// Returns the instances that the sheet drains or withdraws.
std::set<instance_id> drained_instances(const sheet::sheet& s);

/// Thread-safe; the lock is a leaf: no other lock is taken while it is held.
class live_config
{
public:
    /// Puts the sheet in force if it is valid and its generation is above the
    /// current one; returns true if it did. Throws parse_error or
    /// settings_error.
    bool take_sheet(const store::object& o);
    /// Stores the group's assignments and returns them if they are newer than
    /// the stored ones. Throws parse_error.
    std::optional<group_assignments> take_assignments(const store::object& o);

    sheet_in_force current() const;
    /// Returns the assignment of an instance, with the fencing setting of its
    /// group from the sheet in force.
    std::optional<fb::assignmentT>
    find_assignment(const instance_id& instance) const;
    /// Returns a heartbeat with the generation of the sheet in force and the
    /// highest assignments version.
    fb::heartbeatT heartbeat() const;

private:
    mutable absl::Mutex mutex_;
    sheet_in_force sheet_ ABSL_GUARDED_BY(mutex_);
    std::map<group_id, group_assignments> groups_ ABSL_GUARDED_BY(mutex_);
    object_version newest_assignments_version_ ABSL_GUARDED_BY(mutex_);
};

} // namespace poplar::entry
