/// Division of the keys of a service into ledger shards.
#pragma once

#include "base/digest.hpp"
#include "base/ids.hpp"

#include <cstdint>
#include <string>

namespace poplar::ledger
{

/// Shards of each service. A fixed number, since a key must map to the same
/// shard for as long as its record is kept.
constexpr unsigned shard_count = 64;

/// Names a call that runs at most once. Method and path are no part of it: one
/// path has many spellings, and under each the call would run again. They count
/// as content, like the body.
struct call_key
{
    service_id service;
    tenant_id tenant;
    idempotency_key key;

    auto operator<=>(const call_key&) const = default;
};

/// Shard of a call: the same in every process.
inline unsigned shard_of(const call_key& call)
{
    const std::string text = call.tenant.value + '\n' + call.key.value;
    return static_cast<unsigned>(digest(text) % shard_count);
}

} // namespace poplar::ledger
