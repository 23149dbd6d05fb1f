/// Accepts TCP connections on a thread of its own.
#pragma once

#include "base/address.hpp"

#include <absl/synchronization/mutex.h>
#include <functional>
#include <sys/socket.h>
#include <thread>

namespace poplar::net
{

/// Takes ownership of a non-blocking socket.
using accept_hook =
    std::function<void(int socket, const sockaddr* peer, socklen_t size)>;

class acceptor
{
public:
    /// Throws system_failure when the address cannot be bound.
    explicit acceptor(const ip_address& at);
    ~acceptor();
    acceptor(const acceptor&) = delete;
    acceptor& operator=(const acceptor&) = delete;

    void start(accept_hook hook);
    /// Passes on the connections that already wait, closes the listening
    /// socket and joins the thread. May be called more than once.
    void stop();
    ip_address address() const
    {
        return address_;
    }

private:
    void run();
    void accept_waiting();

    int listener_;
    int stop_event_;
    ip_address address_;
    accept_hook hook_;
    absl::Mutex mutex_;
    std::thread thread_ ABSL_GUARDED_BY(mutex_);
};

} // namespace poplar::net
