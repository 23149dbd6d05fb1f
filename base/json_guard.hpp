/// Failures of the JSON library as parse_error.
#pragma once

#include "base/error.hpp"

#include <nlohmann/json.hpp>

namespace poplar
{

/// Runs `parse`; throws parse_error where the JSON library fails.
template <class Parse>
auto guard_json(Parse&& parse)
{
    try
    {
        return parse();
    }
    catch (const nlohmann::json::exception& ec)
    {
        throw parse_error(excerpt(ec.what()));
    }
}

} // namespace poplar
