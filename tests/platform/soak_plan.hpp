/// The faults of a soak, drawn from its seed alone.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace poplar::gateway
{

enum class fault_kind
{
    cut_link,
    silence_link,
    drop_to_target,
    drop_to_client,
    delay_link,
    pause_gateway,
    kill_gateway,
    end_gateway,
    change_configuration,
    stop_store,
    add_route,
    leave,
    copy_store,
    restore_store,
    odd_entry,
    clear
};
constexpr unsigned fault_kinds = unsigned(fault_kind::clear) + 1;

struct planned_fault
{
    fault_kind kind{};
    unsigned target = 0; ///< Taken modulo the number of targets.
    unsigned amount = 0; ///< 0 to 999
    unsigned pause_ms = 0;

    bool operator==(const planned_fault&) const = default;
};

/// Faults in series of one to four of a kind.
std::vector<planned_fault> plan_faults(std::uint64_t seed);

} // namespace poplar::gateway
