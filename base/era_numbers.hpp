/// Numbers that rise by one, are kept in the store and must not be given out
/// again after it was restored, such as epochs.
#pragma once

#include "base/ids.hpp"

namespace poplar
{

/// Numbers of one era of those that rise by one and are kept in the store. A
/// restored store may hold one that was followed by others before.
constexpr std::uint64_t numbers_per_era = 1'000'000;

/// The number after `last`; above all that were given out in earlier eras.
constexpr std::uint64_t next_in_era(std::uint64_t last, store_era era)
{
    const std::uint64_t first = era.value * numbers_per_era;
    return (last < first ? first + last % numbers_per_era : last) + 1;
}

constexpr bool is_of_era(std::uint64_t number, store_era era)
{
    return number >= era.value * numbers_per_era;
}

} // namespace poplar
