/// Decides which usage reports the holder of the duty fixes next.
///
/// A report is fixed when the holder has written it to the store; only then may
/// it be sent, always with the same counts. Pure: the caller reads and writes
/// the store.
#pragma once

#include "policy/usage_windows.hpp"

#include <functional>
#include <optional>
#include <set>

namespace poplar::policy
{

/// A report whose counts no longer change.
struct usage_report
{
    window_number window;
    account_counts counts;

    bool operator==(const usage_report&) const = default;
};

/// What the store holds about usage reports.
struct usage_record
{
    /// All windows up to this one are fixed or abandoned; empty if none is.
    std::optional<window_number> fixed_through;
    /// Fixed reports that may not have arrived, in ascending order.
    std::vector<usage_report> pending;

    bool operator==(const usage_record&) const = default;
};

struct usage_plan_settings
{
    duration window = std::chrono::seconds(5);
    /// Time after the end of a window until the counts of all gateways have
    /// arrived.
    duration settle = std::chrono::milliseconds(1500);
    /// Windows that ended longer ago are abandoned.
    duration max_age = std::chrono::seconds(60);
};

/// State of the holder that the next record depends on.
struct usage_plan_input
{
    usage_record record; ///< As in the store.
    unix_time now{};
    /// When this process began to serve.
    unix_time started{};
    /// When this process noticed a restoration of the store. Reports that
    /// another process fixed before may be missing in the record.
    std::optional<unix_time> restored;
    std::set<window_number> confirmed; ///< Reports that have arrived.
    /// Reports that this process fixed, by window.
    std::map<window_number, account_counts> own_fixed;
    /// Returns the counts of a window over all gateways.
    std::function<account_counts(window_number)> total;
};

/// The next record, with the windows that are given up without a report.
struct usage_plan
{
    usage_record record;
    std::vector<window_number> abandoned;
};

/// Last window whose counts are complete; empty before the first.
std::optional<window_number> last_settled(const usage_plan_settings& settings,
                                          unix_time now);

/// Fixes all windows whose counts are complete and drops confirmed reports.
/// Returns the record unchanged when nothing is to be written.
usage_plan plan_usage(const usage_plan_settings& settings,
                      const usage_plan_input& input);

} // namespace poplar::policy
