/// Finds the client account that owns a key.
#pragma once

#include "gateway/types.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace poplar::gateway
{

/// Keys of all client accounts of a configuration. Immutable.
///
/// Keys are found by a hash with a secret seed, so that callers cannot choose
/// keys that collide, and are compared in a time that does not depend on their
/// contents.
class account_table
{
public:
    struct account
    {
        account_name name;
        std::optional<unsigned> priority;
    };

    /// Of accounts with the same key, the first one gets it.
    explicit account_table(const std::vector<client_account>& accounts);

    /// Null if no account has the key. The result is valid as long as the
    /// table.
    const account* find(std::string_view key) const;

    std::size_t account_count() const
    {
        return accounts_.size();
    }
    std::size_t key_count() const
    {
        return keys_.size();
    }
    /// Keys that several accounts list.
    std::size_t duplicate_count() const
    {
        return duplicate_count_;
    }

private:
    struct owned_key
    {
        std::string key;
        std::size_t account = 0; ///< Index into `accounts_`.
    };

    const owned_key* find_key(std::string_view key) const;

    std::uint64_t seed_;
    std::vector<account> accounts_;
    /// By digest; keys with the same digest are told apart by comparison.
    std::unordered_multimap<std::uint64_t, owned_key> keys_;
    std::size_t duplicate_count_ = 0;
};

} // namespace poplar::gateway
