/// Follows the platform: sheet, assignments and the list of instances.
#pragma once

#include "entry/live_config.hpp"
#include "store/object_store.hpp"
#include "store/watcher.hpp"

#include <absl/synchronization/mutex.h>
#include <functional>
#include <thread>
#include <vector>

namespace poplar::entry
{

/// Called on the feed's threads; must not block for long.
struct platform_hooks
{
    /// Another sheet is in force.
    std::function<void(const sheet_in_force&)> sheet_changed;
    std::function<void(const group_assignments&)> assignments_changed;
    std::function<void(const std::vector<store::instance_record>&)> listed;
};

struct platform_feed_options
{
    duration instance_poll = std::chrono::seconds(1);
    duration watch_timeout = std::chrono::seconds(30);
};

class platform_feed
{
public:
    /// `store` and `config` must outlive the feed.
    platform_feed(store::object_store& store, live_config& config,
                  platform_feed_options options, platform_hooks hooks);
    ~platform_feed();
    platform_feed(const platform_feed&) = delete;
    platform_feed& operator=(const platform_feed&) = delete;

private:
    void take_sheet(const store::object& o);
    void take_assignments(const store::object& o);
    void run_instance_poll();
    void poll_instances();
    bool wait_for_next_poll();

    store::object_store& store_;
    live_config& config_;
    const platform_feed_options options_;
    const platform_hooks hooks_;
    bool is_list_available_ = true; ///< Used by the poll thread only.
    absl::Mutex mutex_;
    bool is_stopping_ ABSL_GUARDED_BY(mutex_) = false;
    store::watcher sheet_watcher_;
    store::watcher assignments_watcher_;
    std::thread poller_;
};

} // namespace poplar::entry
