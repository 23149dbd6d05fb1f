/// The sheet and the assignments in force at this entry.
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

/// The sheet in force; `sheet` is null until there is one.
struct sheet_in_force
{
    std::shared_ptr<const sheet::sheet> sheet;
    sheet_generation generation;
};

/// Content of one object assignments/<group>.
struct group_assignments
{
    group_id group;
    object_version version;
    owner_epoch epoch;
    instance_id owner;                        ///< Entry that wrote it.
    std::vector<fb::assignmentT> assignments; ///< One for each instance.
};

/// Reads an object assignments/<group>; throws parse_error.
group_assignments parse_assignments(const store::object& o);

/// Drained and withdrawn instances.
std::set<instance_id> drained_instances(const sheet::sheet& s);

/// Members may be called from any thread; the lock is a leaf.
class live_config
{
public:
    /// True when the object was put in force: a valid sheet with a generation
    /// above the one stored. Throws parse_error or settings_error.
    bool take_sheet(const store::object& o);
    /// The new assignments, when their version is above the one stored. Throws
    /// parse_error.
    std::optional<group_assignments> take_assignments(const store::object& o);

    sheet_in_force current() const;
    /// The part of an instance, with the sheet generation in force.
    std::optional<fb::assignmentT>
    find_assignment(const instance_id& instance) const;
    fb::heartbeatT heartbeat() const;

private:
    mutable absl::Mutex mutex_;
    sheet_in_force sheet_ ABSL_GUARDED_BY(mutex_);
    std::map<group_id, group_assignments> groups_ ABSL_GUARDED_BY(mutex_);
    object_version newest_assignments_version_ ABSL_GUARDED_BY(mutex_);
};

} // namespace poplar::entry
