/// One epoll thread of the inner protocol with its timers and connections.
#pragma once

#include "base/time.hpp"
#include "wire/socket.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <thread>
#include <tuple>
#include <vector>

namespace poplar::wire
{

/// A file descriptor that a worker watches. Called on the worker's thread.
class watched
{
public:
    virtual ~watched() = default;
    /// `events` are epoll's.
    virtual void handle(std::uint32_t events) = 0;
    /// Called at least every tick_interval.
    virtual void tick(mono_time t) = 0;
    /// The worker stops; no call follows.
    virtual void stop() = 0;
};

/// Shortest time in which timeouts of connections are noticed.
constexpr duration tick_interval = std::chrono::milliseconds(100);

/// Members may be called from any thread unless stated.
class worker
{
public:
    worker();
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    void start();
    /// Stops everything watched and joins the thread.
    void stop();

    /// Runs `task` on the worker's thread; false, and the task is dropped, once
    /// the worker has stopped.
    bool post(std::function<void()> task);
    void post_at(mono_time t, std::function<void()> task);
    /// epoll_ctl for a watched descriptor.
    void set_events(int fd, std::uint32_t events, std::uint64_t id);
    std::uint64_t make_id();
    bool is_current() const;

    /// On the worker's thread only. Events for `id` go to `w` until `forget`.
    void watch(std::uint64_t id, std::shared_ptr<watched> w, int fd,
               std::uint32_t events);
    void forget(std::uint64_t id, int fd);

private:
    struct timer
    {
        mono_time at;
        std::uint64_t order = 0;
        std::function<void()> task;

        bool operator>(const timer& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };
    using timer_queue =
        std::priority_queue<timer, std::vector<timer>, std::greater<>>;

    void run();
    void run_posted();
    void run_last();
    bool has_finished();
    void run_timers(mono_time t);
    void run_ticks(mono_time t);
    void poll_events();
    void stop_watched();
    int wait_milliseconds();
    void wake();

    file_handle epoll_;
    file_handle wake_;
    std::thread thread_;
    std::atomic<std::thread::id> thread_id_;
    std::atomic<bool> stopping_{false};
    mono_time next_tick_;
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<watched>> watched_;

    absl::Mutex mutex_;
    std::vector<std::function<void()>> posted_ ABSL_GUARDED_BY(mutex_);
    timer_queue timers_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t timer_order_ ABSL_GUARDED_BY(mutex_) = 0;
    bool finished_ ABSL_GUARDED_BY(mutex_) = false;
};

} // namespace poplar::wire
