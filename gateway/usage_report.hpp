/// Messages with the usage counts of one gateway.
#pragma once

#include "base/error.hpp"
#include "policy/usage_windows.hpp"

#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace poplar::gateway
{

/// Counts of one gateway process, with what it announces about the duty lease.
struct usage_message
{
    policy::usage_source sender;
    std::vector<std::pair<policy::window_number, policy::account_counts>>
        windows;
    bool is_holder = false;
    std::optional<policy::window_number> fixed_through;
};

/// Splits the counts so that each message fits into a datagram.
std::vector<std::string> encode_usage(const usage_message& message);
bool is_usage_message(std::span<const char> bytes);
/// Throws parse_error.
usage_message decode_usage(std::span<const char> bytes);

} // namespace poplar::gateway
