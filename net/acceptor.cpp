#include "net/acceptor.hpp"

#include "base/error.hpp"
#include "net/socket.hpp"

#include <array>
#include <cerrno>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace poplar::net
{

namespace
{

/// Pause after a failure such as EMFILE, which leaves the connection waiting
/// and would otherwise be met again at once.
constexpr auto failure_pause = std::chrono::milliseconds(10);

} // namespace

acceptor::acceptor(const ip_address& at)
    : listener_(listen_on(at)), stop_event_(eventfd(0, EFD_CLOEXEC)),
      address_(local_address(listener_))
{
    if (stop_event_ < 0)
        throw system_failure("eventfd", errno);
}

acceptor::~acceptor()
{
    stop();
    if (listener_ >= 0)
        close(listener_);
    close(stop_event_);
}

void acceptor::start(accept_hook hook)
{
    absl::MutexLock lock(&mutex_);
    hook_ = std::move(hook);
    thread_ = std::thread([this] { run(); });
}

void acceptor::stop()
{
    absl::MutexLock lock(&mutex_);
    if (!thread_.joinable())
        return;
    eventfd_write(stop_event_, 1);
    thread_.join();
}

void acceptor::run()
{
    std::array<pollfd, 2> polled{
        {{stop_event_, POLLIN, 0}, {listener_, POLLIN, 0}}};
    while (polled[0].revents == 0)
    {
        poll(polled.data(), polled.size(), -1);
        accept_waiting();
    }
    close(listener_);
    listener_ = -1;
}

void acceptor::accept_waiting()
{
    for (;;)
    {
        sockaddr_storage peer{};
        socklen_t size = sizeof peer;
        auto* address = reinterpret_cast<sockaddr*>(&peer);
        const int s =
            accept4(listener_, address, &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (s >= 0)
        {
            hook_(s, address, size);
            continue;
        }
        if (errno == EINTR || errno == ECONNABORTED)
            continue;
        if (errno != EAGAIN)
            std::this_thread::sleep_for(failure_pause);
        return;
    }
}

} // namespace poplar::net
