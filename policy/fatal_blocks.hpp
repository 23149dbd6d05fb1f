/// Finds prefix blocks that crash the engines which run prompts with them. Used
/// by gateways; takes no lock.
///
/// All requests at an engine break off when it crashes, so that a crash
/// implicates the blocks of sound prompts too. These are cleared by the next
/// request with them that completes; a fatal block never is.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace poplar::policy
{

struct fatal_block_settings
{
    /// Engine processes that must have crashed under a block.
    std::size_t min_crashes = 4;
    /// Time after that many crashes in which a request may still clear the
    /// block. It is longer than reports between gateways take.
    duration clearing_time{std::chrono::seconds(1)};
    /// Time after the last crash for which prompts with a fatal block are
    /// refused. It doubles each time that the block turns out to be still
    /// fatal, since each such trial crashes an engine.
    duration first_hold{std::chrono::minutes(1)};
    duration max_hold{std::chrono::hours(1)};
    /// Blocks with crashes that are remembered; older ones are dropped.
    std::size_t max_blocks = 1000;
    /// Crashes that are remembered for each block.
    std::size_t max_crashes = 16;
};

/// One run of an engine's process.
struct engine_process
{
    std::uint64_t engine = 0; ///< Digest of its id.
    std::int64_t started_ms = 0;
    auto operator<=>(const engine_process&) const = default;
};

/// An engine process crashed while it ran a prompt with the block.
struct block_crash
{
    std::uint64_t block = 0; ///< Digest.
    engine_process process;
    mono_time at{};
};

/// A request with the block completed.
struct block_completion
{
    std::uint64_t block = 0; ///< Digest.
    mono_time at{};
};

/// Crashes and completions by block, as seen by this gateway and its peers.
class fatal_block_detector
{
public:
    explicit fatal_block_detector(const fatal_block_settings& settings = {});

    /// Ignored if the block has completed since.
    void record_crash(const block_crash& crash);
    /// Clears the block; ignored for blocks without crashes.
    void record_completion(const block_completion& completion);

    /// Time for which a prompt with these blocks is not to be sent to engines;
    /// empty if it may be sent. The last block of a prompt is specific to its
    /// request and is left out.
    std::optional<duration> refusal(std::span<const std::uint64_t> blocks,
                                    mono_time now) const;
    /// Engine processes that crashed under the block since it completed last.
    std::size_t crash_count(std::uint64_t block) const;

    /// News for peer gateways that is not older than `since`, at most
    /// `max_count` of each.
    std::vector<block_crash> crashes(mono_time since,
                                     std::size_t max_count) const;
    std::vector<block_completion> completions(mono_time since,
                                              std::size_t max_count) const;

private:
    struct record
    {
        std::map<engine_process, mono_time> crashes;
        mono_time last_crash{};
        mono_time last_completion{};
        /// Time at which the block had `min_crashes`; zero if it has fewer.
        mono_time suspected_at{};
        mono_time held_until{};
        duration hold{};
    };

    void start_hold(record& r, mono_time at) const;
    void drop_oldest();
    bool is_suspect(const record& r, mono_time now) const;
    /// True if every process that crashed under `r` crashed under `other` too,
    /// so that either may be the cause.
    static bool covers(const record& other, const record& r);

    fatal_block_settings settings_;
    std::map<std::uint64_t, record> records_;
};

} // namespace poplar::policy
