/// Publishing a sheet by conditional update of sheet/current.
#pragma once

#include "base/time.hpp"
#include "sheet/diff.hpp"
#include "sheet/sheet.hpp"
#include "store/object_store.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace poplar::sheet
{

/// The object sheet/current as read; without a record when it does not exist.
struct current_sheet
{
    object_version version;
    std::optional<sheet_record> record;
    store_era era; ///< Of the answer.

    /// 0 when no sheet was published yet.
    sheet_generation generation() const
    {
        return record ? record->generation : sheet_generation();
    }
};

/// Throws store_error, and parse_error when the object is not a sheet record.
current_sheet read_current(store::object_store& store);

/// Random export id of 16 hexadecimal digits.
std::string make_export_id();

/// The export with this id when `record` shows that it was accepted: it is the
/// present one or among the past ones.
std::optional<past_export> find_export(const sheet_record& record,
                                       const std::string& export_id);

struct publish_request
{
    std::string text;
    std::string file; ///< Names the text in faults.
    std::string operator_name;
    std::string export_id;        ///< Unique to this export: make_export_id.
    std::int64_t exported_at = 0; ///< Seconds since 1970, UTC.
    /// Generation that the operator has read; the export is refused when
    /// another one is current. Absent: what is current when publish reads it.
    std::optional<sheet_generation> base;
};

struct publish_options
{
    /// Calls of the same kind that may fail before publish gives up.
    unsigned attempts = 5;
    /// Waits between them; tests pass their own.
    std::function<void(unsigned attempt)> pause;
};

enum class publish_status
{
    accepted, ///< In force, or was until a later export replaced it.
    conflict, ///< Another export took the place; ours was not accepted.
    unknown   ///< The response was lost and the object cannot be read.
};

struct publish_result
{
    publish_status status = publish_status::unknown;
    std::string export_id;
    /// Generation of our export; 0 unless accepted.
    sheet_generation generation;
    /// On conflict: the export that is current, absent when there is none.
    std::optional<sheet_record> winner;
    /// On conflict: from the current sheet to ours.
    std::vector<difference> differences;
};

/// Checks the text and publishes it. Throws settings::settings_error for faults
/// of the text, and store_error when the platform could not be reached and the
/// sheet was certainly not written.
publish_result publish(store::object_store& store,
                       const publish_request& request,
                       const publish_options& options = {});

} // namespace poplar::sheet
