/// Strong types for quantities.
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace poplar
{

/// Count with a unit; arithmetic only with the same unit.
template <class Tag>
struct quantity
{
    std::int64_t value = 0;

    quantity() = default;
    explicit constexpr quantity(std::int64_t n) : value(n) {}

    auto operator<=>(const quantity&) const = default;

    constexpr quantity& operator+=(quantity other)
    {
        value += other.value;
        return *this;
    }

    constexpr quantity& operator-=(quantity other)
    {
        value -= other.value;
        return *this;
    }

    friend constexpr quantity operator+(quantity a, quantity b)
    {
        return quantity(a.value + b.value);
    }

    friend constexpr quantity operator-(quantity a, quantity b)
    {
        return quantity(a.value - b.value);
    }

    friend std::ostream& operator<<(std::ostream& out, quantity n)
    {
        return out << n.value;
    }
};

using token_count = quantity<struct token_count_tag>;
using byte_count = quantity<struct byte_count_tag>;
/// Pieces of an engine's KV cache memory.
using kv_piece_count = quantity<struct kv_piece_count_tag>;

} // namespace poplar
