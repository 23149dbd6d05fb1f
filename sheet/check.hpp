/// Checks of one sheet that need more than one key.
#pragma once

#include "settings/reader.hpp"
#include "sheet/sheet.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace poplar::sheet
{

/// Readers of the items of a sheet, in the order of the items, so that a fault
/// found later names the line of the item.
struct item_readers
{
    std::vector<settings::reader> ranks;
    std::vector<settings::reader> groups;
    std::vector<settings::reader> services;
    std::vector<settings::reader> tenants;
};

/// True for 1 to 128 letters, digits, '.', '_', '-' and ':', the first one a
/// letter or digit. Names become parts of object keys.
bool is_name(std::string_view text);

/// Records every fault between the items of the sheet.
void check_items(const sheet& s, settings::reader& all, item_readers& items);

} // namespace poplar::sheet
