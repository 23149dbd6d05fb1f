/// Control objects as the status command shows them.
#pragma once

#include "base/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace poplar::ctl
{

struct assignment_row
{
    instance_id instance;
    std::string role;
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    std::string state;
    std::string reason;
};

/// Object assignments/<group>.
struct group_assignments
{
    group_id group;
    owner_epoch epoch;
    instance_id owner;
    sheet_generation generation;
    std::vector<assignment_row> rows;
};

/// Object lease/<group>.
struct group_lease
{
    group_id group;
    instance_id owner;
    std::string address;
    owner_epoch epoch;
    std::uint64_t renewals = 0;
};

/// Members that are absent stay empty; both throw parse_error.
group_assignments parse_assignments(const group_id& group,
                                    const std::string& json);
group_lease parse_lease(const group_id& group, const std::string& json);

} // namespace poplar::ctl
