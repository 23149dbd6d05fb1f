/// Builds load reports and sends them to all entries when something changed.
#pragma once

#include "agent/engine_api.hpp"
#include "agent/entry_links.hpp"
#include "agent/settings.hpp"

#include <absl/synchronization/mutex.h>
#include <optional>

namespace poplar::agent
{

/// What a report says besides the engine's load and cache.
struct agent_view
{
    engine_setup setup;
    sheet::upstream_state state = sheet::upstream_state::active;
    bool changing = false;
    bool ready = false;
    std::vector<std::uint32_t> ledger_shards;
    object_version assignments;
    sheet_generation generation;

    bool operator==(const agent_view&) const = default;
};

/// All members may be called from any thread.
class load_reporter
{
public:
    load_reporter(entry_links& links, poll_options options);

    void set_view(const agent_view& view);
    /// `t`: when the answer arrived.
    void set_load(const engine_load& load, mono_time t);
    void add_cache_changes(const cache_changes& changes);
    /// Sends a report to all entries if one is due.
    void tick(mono_time t);
    /// First report of a connection.
    void send_first(const wire::connection_ptr& c, mono_time t);

private:
    fb::load_reportT make_report(mono_time t) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    entry_links& links_;
    const poll_options options_;
    mutable absl::Mutex mutex_;
    agent_view view_ ABSL_GUARDED_BY(mutex_);
    engine_load load_ ABSL_GUARDED_BY(mutex_);
    mono_time load_at_ ABSL_GUARDED_BY(mutex_);
    cache_changes cache_ ABSL_GUARDED_BY(mutex_);
    bool has_changed_ ABSL_GUARDED_BY(mutex_) = true;
    std::uint64_t sequence_ ABSL_GUARDED_BY(mutex_) = 0;
    std::optional<mono_time> sent_at_ ABSL_GUARDED_BY(mutex_);
};

} // namespace poplar::agent
