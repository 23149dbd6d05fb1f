/// JSON that comes from outside of the process.
#pragma once

#include "base/error.hpp"
#include "base/json_guard.hpp"

#include <cmath>
#include <concepts>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace poplar
{

/// Levels of arrays and objects that a document may have. The JSON library
/// copies and writes documents recursively, so that a text of 1 MB could
/// overflow the stack of a thread. Documents of the wire have fewer than ten.
constexpr std::size_t max_json_depth = 100;

/// Throws parse_error for text that is not JSON, has bytes that are not UTF-8
/// or a number out of range, or is nested too deeply.
nlohmann::json parse_json(std::string_view text);

/// A member whose value has not been parsed.
struct json_member
{
    std::string name;
    std::string_view value;
};

/// Splits the outermost level only, without recursion. A value that cannot be
/// parsed does not hide its neighbours as long as its quotes and brackets
/// match. The views point into `text`. Throws parse_error.
std::vector<json_member> split_json_object(std::string_view text);
std::vector<std::string_view> split_json_array(std::string_view text);

/// Text of a member's value; of several with this name the last. Empty when
/// there is none.
std::string_view find_json_member(const std::vector<json_member>& members,
                                  std::string_view name);
/// Throws parse_error when there is none.
std::string_view json_member_at(const std::vector<json_member>& members,
                                std::string_view name);

/// The whole number in `j`; throws parse_error for another type, a fraction or
/// a number outside the range of `Integer`.
template <std::integral Integer>
Integer json_integer(const nlohmann::json& j)
{
    // Up to here a double holds every whole number.
    constexpr double max_exact = 9007199254740992.0;
    if (j.is_number_unsigned())
    {
        if (const auto n = j.get<std::uint64_t>(); std::in_range<Integer>(n))
            return Integer(n);
    }
    else if (j.is_number_integer())
    {
        if (const auto n = j.get<std::int64_t>(); std::in_range<Integer>(n))
            return Integer(n);
    }
    else if (j.is_number_float())
    {
        const auto d = j.get<double>();
        if (std::trunc(d) == d && std::abs(d) <= max_exact &&
            std::in_range<Integer>(std::int64_t(d)))
            return Integer(d);
    }
    throw parse_error("expected a whole number in range");
}

/// Member `name` of the object `j`, or `otherwise` when it is absent.
template <std::integral Integer>
Integer json_integer(const nlohmann::json& j, const char* name,
                     Integer otherwise)
{
    const auto it = j.find(name);
    if (it == j.end())
        return otherwise;
    try
    {
        return json_integer<Integer>(*it);
    }
    catch (const parse_error& ec)
    {
        throw parse_error(std::string(name) + ": " + ec.what());
    }
}

} // namespace poplar
