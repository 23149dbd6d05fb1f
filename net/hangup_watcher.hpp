/// Reports sockets whose peer has closed, for connections that libmicrohttpd
/// has suspended and therefore does not poll.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <cstdint>
#include <functional>
#include <thread>

namespace poplar::net
{

/// A peer that closes its sending side counts as gone, as HTTP callers keep
/// it open until they have the answer.
class hangup_watcher
{
public:
    hangup_watcher(); ///< Throws system_failure.
    ~hangup_watcher();
    hangup_watcher(const hangup_watcher&) = delete;
    hangup_watcher& operator=(const hangup_watcher&) = delete;

    /// Calls `hook` on the watcher's thread, at most once, when the peer of
    /// `socket` closes. Returns the number to pass to remove.
    std::uint64_t add(int socket, std::function<void()> hook);
    /// To be called before the socket is closed; the hook may be running.
    void remove(std::uint64_t number, int socket);

private:
    void run();
    std::function<void()> take(std::uint64_t number);

    int epoll_;
    int stop_event_;
    absl::Mutex mutex_;
    std::uint64_t last_number_ ABSL_GUARDED_BY(mutex_) = 0;
    absl::flat_hash_map<std::uint64_t, std::function<void()>>
        hooks_ ABSL_GUARDED_BY(mutex_);
    std::thread thread_;
};

} // namespace poplar::net
