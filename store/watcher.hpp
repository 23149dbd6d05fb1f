/// Follows all objects with a prefix on a thread of its own.
#pragma once

#include "store/object_store.hpp"

#include <absl/synchronization/mutex.h>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <thread>

namespace poplar::store
{

struct watcher_options
{
    std::string prefix;
    /// Longest wait of one watch call. On a connection that has gone silent, a
    /// change is seen only after this and 1 s of margin, and a sheet must be in
    /// force within 4 s.
    duration poll = std::chrono::milliseconds(1500);
    /// Pause after an answer with changes, so that changes that come one after
    /// another cost one call. It delays the second of them.
    duration gather = duration::zero();
    /// Pause after the first failure; doubles with each further one up to the
    /// longest. Each pause is shortened by up to half at random, so that the
    /// watchers of many processes do not return together after an outage.
    duration shortest_pause = std::chrono::milliseconds(100);
    duration longest_pause = std::chrono::seconds(5);
    /// Unless it leads, the watcher calls the store only when its state has not
    /// been confirmed for this long. Zero: it always calls.
    duration confirmed_for = duration::zero();
};

/// What a watcher knows, to be compared with others that follow the same
/// objects.
struct watched_state
{
    std::uint64_t digest = 0; ///< Of all keys and versions.
    /// The store itself gave this state then. What others confirmed is not
    /// passed on: each hop adds its delay, and watchers would confirm each
    /// other without any of them asking the store.
    mono_time confirmed{};
};

/// Called on the watcher's thread; must not throw.
struct watcher_hooks
{
    /// A new, changed or removed (version 0) object. The versions of one key
    /// only rise; the objects of one answer come in the order of versions,
    /// removed ones first.
    std::function<void(const object&)> changed;
    /// True after the whole list was reported for the first time, and again
    /// after an outage; false when the platform cannot be reached.
    std::function<void(bool connected)> connection;
    /// The store was restored from a copy. The objects of the copy follow, with
    /// older contents than reported before; those that it lacks as removed.
    std::function<void()> restored;
};

/// Reports every object with the prefix and then every change. Changes made
/// between two answers may be reported as one.
class watcher
{
public:
    /// `store` must outlive the watcher.
    watcher(object_store& store, watcher_options options, watcher_hooks hooks);
    /// Waits for the thread, which may be in a watch call: call
    /// object_store::stop_watches before to end it at once.
    ~watcher();
    watcher(const watcher&) = delete;
    watcher& operator=(const watcher&) = delete;

    bool connected() const;
    watched_state state() const;
    /// When the store last gave the present state to this watcher, or to
    /// another one that follows the same objects.
    mono_time confirmed() const;
    /// State of another watcher. An equal one confirms that of this watcher; a
    /// different one that was confirmed later makes it call the store.
    void compare(const watched_state& other);
    /// A watcher that leads always has a call waiting at the store.
    void set_leading(bool leads);

private:
    void run();
    void follow_once();
    void report_list(const object_list& list);
    void report(std::vector<object> objects);
    void handle(const store_error& failure);
    void set_connected(bool connected);
    void pause_after_failure();
    void pause(duration d);
    bool stopping() const;
    /// Returns when the store is to be called; the time that the call waits
    /// for changes.
    duration wait_for_need();
    void confirm();

    object_store& store_;
    const watcher_options options_;
    const watcher_hooks hooks_;

    /// Used by the thread only.
    bool listed_ = false;
    object_version revision_;
    std::map<object_key, object_version> known_;
    unsigned failures_ = 0;
    std::mt19937 random_{std::random_device()()};

    mutable absl::Mutex mutex_;
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    bool connected_ ABSL_GUARDED_BY(mutex_) = false;
    bool leads_ ABSL_GUARDED_BY(mutex_) = true;
    bool is_behind_ ABSL_GUARDED_BY(mutex_) = false;
    watched_state state_ ABSL_GUARDED_BY(mutex_);
    mono_time confirmed_by_others_ ABSL_GUARDED_BY(mutex_){};
    std::thread thread_;
};

} // namespace poplar::store
