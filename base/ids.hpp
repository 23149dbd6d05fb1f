/// Strong types for identifiers. Values are opaque text unless stated.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace poplar
{

/// Text identifier that converts to no other kind of identifier.
template <class Tag>
struct text_id
{
    std::string value;

    text_id() = default;
    explicit text_id(std::string text) : value(std::move(text)) {}

    bool empty() const
    {
        return value.empty();
    }
    auto operator<=>(const text_id&) const = default;

    template <class H>
    friend H AbslHashValue(H h, const text_id& id)
    {
        return H::combine(std::move(h), id.value);
    }

    friend std::ostream& operator<<(std::ostream& out, const text_id& id)
    {
        return out << id.value;
    }
};

/// Integer identifier or counter that converts to no other kind.
template <class Tag>
struct number_id
{
    std::uint64_t value = 0;

    number_id() = default;
    explicit constexpr number_id(std::uint64_t number) : value(number) {}

    auto operator<=>(const number_id&) const = default;

    template <class H>
    friend H AbslHashValue(H h, const number_id& id)
    {
        return H::combine(std::move(h), id.value);
    }

    friend std::ostream& operator<<(std::ostream& out, const number_id& id)
    {
        return out << id.value;
    }
};

/// A machine or process slot that runs an entry, an engine or a service.
using instance_id = text_id<struct instance_tag>;
/// A set of instances that may fail together.
using failure_domain_id = text_id<struct failure_domain_tag>;
using region_id = text_id<struct region_tag>;
/// A set of engines that serve the same models, or the instances of a service.
using group_id = text_id<struct group_tag>;
using model_id = text_id<struct model_tag>;
using model_version = text_id<struct model_version_tag>;
using adapter_id = text_id<struct adapter_tag>;
using tenant_id = text_id<struct tenant_tag>;
using service_id = text_id<struct service_tag>;
using idempotency_key = text_id<struct idempotency_key_tag>;
/// Key of an object in the platform's object API.
using object_key = text_id<struct object_key_tag>;

/// Place of a rank in the sheet, 0 being the most urgent.
using rank_index = number_id<struct rank_tag>;
/// Generation of the sheet; rises by one with each accepted sheet.
using sheet_generation = number_id<struct sheet_generation_tag>;
/// Rises by one each time the platform's store is restored from a copy.
using store_era = number_id<struct store_era_tag>;
/// Version of an object: the platform's global rising revision, with the era of
/// the store above it; 0 means that the object does not exist. A restored store
/// gives out revisions again, so that revisions of two eras cannot be compared.
using object_version = number_id<struct object_version_tag>;

/// 10^12 revisions, 34 years at 1,000 writes a second; with 13 bits of eras a
/// version is still exact in JSON readers that use doubles.
constexpr unsigned revision_bits = 40;

constexpr object_version make_version(store_era era, std::uint64_t revision)
{
    return object_version((era.value << revision_bits) | revision);
}

constexpr store_era era_of(object_version version)
{
    return store_era(version.value >> revision_bits);
}

constexpr std::uint64_t revision_of(object_version version)
{
    return version.value & ((std::uint64_t(1) << revision_bits) - 1);
}

/// Rises each time another process becomes owner of a control object.
using owner_epoch = number_id<struct owner_epoch_tag>;
/// Rises each time an agent process starts beside an upstream.
using agent_incarnation = number_id<struct agent_incarnation_tag>;
/// Number that an engine compares with the highest it has seen.
using fencing_token = number_id<struct fencing_token_tag>;
/// Number of a stream or call on one connection.
using stream_number = number_id<struct stream_number_tag>;
/// Counts the dispatches of one request, from 1.
using attempt_number = number_id<struct attempt_number_tag>;

/// 128-bit random identifier of a caller's request.
struct request_id
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const request_id&) const = default;

    template <class H>
    friend H AbslHashValue(H h, const request_id& id)
    {
        return H::combine(std::move(h), id.high, id.low);
    }
};

/// Returns 32 lower-case hexadecimal digits.
std::string to_string(const request_id& id);

/// Parses 32 hexadecimal digits; throws parse_error.
request_id parse_request_id(const std::string& text);

/// Returns a random id from the kernel's random source.
request_id make_request_id();

} // namespace poplar

template <class Tag>
struct std::hash<poplar::text_id<Tag>>
{
    std::size_t operator()(const poplar::text_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>()(id.value);
    }
};

template <class Tag>
struct std::hash<poplar::number_id<Tag>>
{
    std::size_t operator()(const poplar::number_id<Tag>& id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.value);
    }
};
