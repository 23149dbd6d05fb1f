/// Watches the platform for changes of the sheet, of the assignments and of the
/// list of instances.
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

/// Callbacks for changes. They run on the feed's threads and must not block for
/// long.
struct platform_hooks
{
    /// A new sheet has come into force.
    std::function<void(const sheet_in_force&)> sheet_changed;
    std::function<void(const group_assignments&)> assignments_changed;
    /// Called with every polled list of instances.
    std::function<void(const std::vector<store::instance_record>&)> listed;
};

struct platform_feed_options
{
    /// Interval between polls of the instance list.
    duration instance_poll = std::chrono::seconds(1);
    /// Longest wait of one watch call for the sheet or the assignments.
    duration watch_timeout = std::chrono::seconds(30);
};

/// Starts its threads in the constructor and stops them in the destructor.
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
    /// Returns false when the feed is stopping.
    bool wait_for_next_poll();

    store::object_store& store_;
    live_config& config_;
    const platform_feed_options options_;
    const platform_hooks hooks_;
    /// Result of the last poll; used by the poll thread only.
    bool is_list_available_ = true;
    absl::Mutex mutex_;
    bool is_stopping_ ABSL_GUARDED_BY(mutex_) = false;
    store::watcher sheet_watcher_;
    store::watcher assignments_watcher_;
    std::thread poller_;
};

} // namespace poplar::entry
