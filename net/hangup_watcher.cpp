#include "net/hangup_watcher.hpp"

#include "base/error.hpp"

#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace poplar::net
{

namespace
{

/// Number of the event that ends the thread; sockets count from 1.
constexpr std::uint64_t stop_number = 0;

void add_to_epoll(int epoll, int socket, std::uint32_t events,
                  std::uint64_t number)
{
    epoll_event event{};
    event.events = events;
    event.data.u64 = number;
    if (epoll_ctl(epoll, EPOLL_CTL_ADD, socket, &event) != 0)
        throw system_failure("epoll_ctl", errno);
}

} // namespace

hangup_watcher::hangup_watcher()
    : epoll_(epoll_create1(EPOLL_CLOEXEC)),
      stop_event_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (epoll_ < 0 || stop_event_ < 0)
        throw system_failure("epoll_create1", errno);
    add_to_epoll(epoll_, stop_event_, EPOLLIN, stop_number);
    thread_ = std::thread([this] { run(); });
}

hangup_watcher::~hangup_watcher()
{
    eventfd_write(stop_event_, 1);
    thread_.join();
    close(stop_event_);
    close(epoll_);
}

std::uint64_t hangup_watcher::add(int socket, std::function<void()> hook)
{
    std::uint64_t number = 0;
    {
        absl::MutexLock lock(&mutex_);
        number = ++last_number_;
        hooks_[number] = std::move(hook);
    }
    add_to_epoll(epoll_, socket, EPOLLRDHUP | EPOLLONESHOT, number);
    return number;
}

void hangup_watcher::remove(std::uint64_t number, int socket)
{
    epoll_ctl(epoll_, EPOLL_CTL_DEL, socket, nullptr);
    take(number);
}

std::function<void()> hangup_watcher::take(std::uint64_t number)
{
    absl::MutexLock lock(&mutex_);
    auto node = hooks_.extract(number);
    return node.empty() ? std::function<void()>() : std::move(node.mapped());
}

void hangup_watcher::run()
{
    std::array<epoll_event, 64> events{};
    for (;;)
    {
        const int n = epoll_wait(epoll_, events.data(), events.size(), -1);
        for (int i = 0; i < n; ++i)
        {
            const std::uint64_t number = events.at(i).data.u64;
            if (number == stop_number)
                return;
            if (auto hook = take(number))
                hook();
        }
    }
}

} // namespace poplar::net
