/// Finds requests that crash the upstreams which run them. Used by gateways;
/// takes no lock.
///
/// A request is identified by a digest that is the same each time a caller
/// sends it. All requests at an upstream break off when it crashes, so that a
/// crash implicates sound ones too; these are cleared when they complete.
#pragma once

#include "base/time.hpp"
#include "policy/fatal_blocks.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace poplar::policy
{

struct fatal_request_settings
{
    /// Processes that must have crashed under a request before it is held.
    std::size_t min_crashes = 3;
    /// Time after the last crash for which a request is held. Each trial costs
    /// a process with all that it runs.
    duration hold{std::chrono::hours(24)};
    /// Processes that crash together may have another cause in common, and hold
    /// many copies of a request that callers send often.
    duration joint_crash_span{std::chrono::seconds(1)};
    duration joint_crash_hold{std::chrono::minutes(1)};
    /// Requests with crashes that are remembered; of those with the fewest
    /// crashes the oldest are dropped first.
    std::size_t max_requests = 4000;
    /// Crashes that are remembered for each request.
    std::size_t max_crashes = 8;
};

/// A process crashed while it ran the request.
struct request_crash
{
    std::uint64_t request = 0; ///< Digest.
    engine_process process;
    mono_time at{};
};

/// The request completed.
struct request_completion
{
    std::uint64_t request = 0; ///< Digest.
    mono_time at{};
};

/// Crashes and completions by request, as seen by this gateway and its peers.
class fatal_request_detector
{
public:
    explicit fatal_request_detector(
        const fatal_request_settings& settings = {});

    /// True if the crash was not known; ignored if the request has completed
    /// since.
    bool record_crash(const request_crash& crash);
    /// Clears the request; false if it had no crashes that were older.
    bool record_completion(const request_completion& completion);
    /// Drops all that is known of the request.
    void forget(std::uint64_t request);

    /// Time for which the request is not to be sent to upstreams; empty if it
    /// may be sent.
    std::optional<duration> hold(std::uint64_t request, mono_time now) const;
    /// Processes that crashed under the request since it completed last.
    std::size_t crash_count(std::uint64_t request) const;
    std::vector<request_crash> crashes_of(std::uint64_t request) const;
    std::size_t held_count(mono_time now) const;

    /// News for peer gateways that is not older than `since`, at most
    /// `max_count` of each. Requests with the most crashes come first.
    std::vector<request_crash> crashes(mono_time since,
                                       std::size_t max_count) const;
    std::vector<request_completion> completions(mono_time since,
                                                std::size_t max_count) const;

private:
    struct record
    {
        std::map<engine_process, mono_time> crashes;
        mono_time last_crash{};
        mono_time last_completion{};
    };

    void drop_least();
    duration hold_after_crashes(const record& r) const;

    fatal_request_settings settings_;
    std::map<std::uint64_t, record> records_;
};

} // namespace poplar::policy
