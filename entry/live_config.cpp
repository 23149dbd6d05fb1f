#include "entry/live_config.hpp"

#include "control/assignments.hpp"
#include "control/wire_types.hpp"

#include <algorithm>

namespace poplar::entry
{

namespace
{

fb::assignmentT to_wire(const control::assignment& a)
{
    fb::assignmentT wire_assignment;
    wire_assignment.instance = a.instance.value;
    wire_assignment.role = control::to_wire(a.role);
    wire_assignment.model = a.model.value;
    wire_assignment.model_version = a.version.value;
    for (const adapter_id& it : a.adapters)
        wire_assignment.adapters.push_back(it.value);
    wire_assignment.state = control::to_wire(a.state);
    return wire_assignment;
}

} // namespace

group_assignments parse_assignments(const store::object& o)
{
    const control::group_assignments parsed =
        control::parse_group_assignments(o.value);
    group_assignments result;
    result.group = group_id(o.key.value.substr(assignments_prefix.size()));
    result.version = o.version;
    result.epoch = parsed.epoch;
    result.owner = parsed.owner;
    for (const control::assignment& a : parsed.assignments)
    {
        fb::assignmentT wire_assignment = to_wire(a);
        wire_assignment.group = result.group.value;
        wire_assignment.version = o.version.value;
        wire_assignment.epoch = parsed.epoch.value;
        wire_assignment.sheet_generation = parsed.generation.value;
        result.assignments.push_back(std::move(wire_assignment));
    }
    return result;
}

std::set<instance_id> drained_instances(const sheet::sheet& s)
{
    std::set<instance_id> result(s.drained.begin(), s.drained.end());
    result.insert(s.withdrawn.begin(), s.withdrawn.end());
    return result;
}

bool live_config::take_sheet(const store::object& o)
{
    if (o.key != sheet::sheet_key || o.version.value == 0)
        return false;
    const sheet::sheet_record record = sheet::parse_record(o.value);
    if (record.generation <= current().generation)
        return false;
    auto parsed = std::make_shared<const sheet::sheet>(
        sheet::parse_sheet(record.text, o.key.value));
    absl::MutexLock lock(&mutex_);
    if (record.generation <= sheet_.generation)
        return false;
    sheet_ = {std::move(parsed), record.generation};
    return true;
}

std::optional<group_assignments>
live_config::take_assignments(const store::object& o)
{
    if (o.version.value == 0)
        return std::nullopt;
    group_assignments next = parse_assignments(o);
    absl::MutexLock lock(&mutex_);
    group_assignments& stored = groups_[next.group];
    const bool is_first = stored.version == object_version();
    if (!is_first && !control::is_newer({next.epoch, next.version},
                                        {stored.epoch, stored.version}))
        return std::nullopt;
    stored = next;
    newest_assignments_version_ =
        std::max(newest_assignments_version_, next.version);
    return next;
}

sheet_in_force live_config::current() const
{
    absl::MutexLock lock(&mutex_);
    return sheet_;
}

std::optional<fb::assignmentT>
live_config::find_assignment(const instance_id& instance) const
{
    absl::MutexLock lock(&mutex_);
    for (const auto& [name, group] : groups_)
    {
        const auto it = std::ranges::find(group.assignments, instance.value,
                                          &fb::assignmentT::instance);
        if (it == group.assignments.end())
            continue;
        const sheet::engine_group* declared =
            sheet_.sheet ? sheet::find_group(*sheet_.sheet, name) : nullptr;
        fb::assignmentT wire_assignment = *it;
        wire_assignment.checks_fencing = declared && declared->checks_fencing;
        return wire_assignment;
    }
    return std::nullopt;
}

fb::heartbeatT live_config::heartbeat() const
{
    absl::MutexLock lock(&mutex_);
    fb::heartbeatT result;
    result.sheet_generation = sheet_.generation.value;
    result.assignments_version = newest_assignments_version_.value;
    return result;
}

} // namespace poplar::entry
