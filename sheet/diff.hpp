/// Differences between two sheets.
#pragma once

#include "sheet/sheet.hpp"

#include <string>
#include <vector>

namespace poplar::sheet
{

enum class difference_kind
{
    added,
    removed,
    changed
};

enum class difference_subject
{
    rank,
    rank_order,
    group,
    service,
    tenant,
    drained,
    withdrawn
};

struct difference
{
    difference_kind kind = difference_kind::changed;
    difference_subject subject = difference_subject::rank;
    std::string name;   ///< Of the rank, group, service, tenant or instance.
    std::string field;  ///< Key in the sheet; empty unless `changed`.
    std::string before; ///< Empty unless `changed`.
    std::string after;  ///< Empty unless `changed`.

    bool operator==(const difference&) const = default;
};

std::string to_string(difference_kind kind);
std::string to_string(difference_subject subject);

/// What changes when `after` takes the place of `before`.
std::vector<difference> diff(const sheet& before, const sheet& after);

/// One line for each difference, such as
/// "~ group layout: version 3 -> 4"; empty when there is none.
std::string to_text(const std::vector<difference>& differences);

/// JSON array of {"kind","subject","name","field","before","after"}.
std::string to_json(const std::vector<difference>& differences);

} // namespace poplar::sheet
