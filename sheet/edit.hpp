/// Edits of the sheet text that keep everything else of it, comments included.
#pragma once

#include "sheet/publish.hpp"

#include <functional>
#include <string>

namespace poplar::sheet
{

/// Returns the text with the instance in (or out of) the list `drained`. The
/// text comes back unchanged when that is so already. Throws
/// settings::settings_error when the text is not a valid sheet, and parse_error
/// when `instance` is not a name.
std::string edit_drained(const std::string& text, const instance_id& instance,
                         bool drained);

using text_edit = std::function<std::string(const std::string& text)>;

struct edit_result
{
    bool changed = false;   ///< False: the sheet already was as asked.
    publish_result publish; ///< Accepted when nothing had to be changed.
};

/// Publishes an edit of the current sheet. An edit that commutes with others
/// is repeated on the new text when another export wins. `request` gives the
/// operator and the time; its text, base and export id are not used. Throws as
/// publish, and missing_sheet when no sheet was published yet.
edit_result publish_edit(store::object_store& store,
                         const publish_request& request, const text_edit& edit,
                         const publish_options& options = {});

class missing_sheet : public error
{
public:
    missing_sheet() : error("no sheet was published yet") {}
};

} // namespace poplar::sheet
