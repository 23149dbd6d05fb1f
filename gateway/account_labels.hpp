/// Bounds the number of client accounts that metrics name.
#pragma once

#include "gateway/types.hpp"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <map>
#include <string>

namespace poplar::gateway
{

/// Chooses the accounts with the most requests; the others share one label.
class account_labels
{
public:
    /// Label of the accounts that are not named.
    static constexpr const char* other = "(other)";

    /// `on_dropped` is called with the name of an account that is no longer
    /// named.
    account_labels(std::size_t max_named,
                   std::function<void(const std::string&)> on_dropped);

    /// Counts a request of the account and returns its label.
    std::string count(const account_name& account);

private:
    /// An account replaces the least one only if it has this many times its
    /// requests. Equal accounts would otherwise replace each other for ever.
    static constexpr std::uint64_t replacement_factor = 2;

    const std::size_t max_named_;
    const std::function<void(const std::string&)> on_dropped_;
    absl::flat_hash_map<std::string, std::uint64_t> requests_;
    std::map<std::string, std::uint64_t> named_;
};

} // namespace poplar::gateway
