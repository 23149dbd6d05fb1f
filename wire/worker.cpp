#include "wire/worker.hpp"

#include "base/error.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace poplar::wire
{

namespace
{

constexpr std::uint64_t wake_id = 0;
constexpr int max_events = 256;

} // namespace

worker::worker()
    : epoll_(::epoll_create1(EPOLL_CLOEXEC)),
      wake_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (!epoll_.is_open() || !wake_.is_open())
        throw system_failure("epoll", errno);
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = wake_id;
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, wake_.get(), &event);
}

worker::~worker()
{
    stop();
}

void worker::start()
{
    next_tick_ = now() + tick_interval;
    thread_ = std::thread([this] { run(); });
}

void worker::stop()
{
    stopping_ = true;
    wake();
    if (thread_.joinable())
        thread_.join();
}

bool worker::post(std::function<void()> task)
{
    {
        absl::MutexLock lock(&mutex_);
        if (finished_)
            return false;
        posted_.push_back(std::move(task));
    }
    if (!is_current())
        wake();
    return true;
}

void worker::post_at(mono_time t, std::function<void()> task)
{
    {
        absl::MutexLock lock(&mutex_);
        timers_.push({t, timer_order_++, std::move(task)});
    }
    if (!is_current())
        wake();
}

void worker::set_events(int fd, std::uint32_t events, std::uint64_t id)
{
    epoll_event event{};
    event.events = events;
    event.data.u64 = id;
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_MOD, fd, &event);
}

std::uint64_t worker::make_id()
{
    // Shared by all workers: ids serve as serials of connections as well.
    static std::atomic<std::uint64_t> next_id{1};
    return next_id++;
}

bool worker::is_current() const
{
    return thread_id_ == std::this_thread::get_id();
}

void worker::watch(std::uint64_t id, std::shared_ptr<watched> w, int fd,
                   std::uint32_t events)
{
    watched_[id] = std::move(w);
    epoll_event event{};
    event.events = events;
    event.data.u64 = id;
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event);
}

void worker::forget(std::uint64_t id, int fd)
{
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
    watched_.erase(id);
}

void worker::run()
{
    thread_id_ = std::this_thread::get_id();
    while (!stopping_)
    {
        // Events come before ticks, so that after a pause of this process
        // frames waiting in the kernel are read before silence is measured.
        poll_events();
        run_posted();
        const mono_time t = now();
        run_timers(t);
        run_ticks(t);
    }
    run_last();
}

void worker::run_last()
{
    do
    {
        run_posted();
        stop_watched();
    } while (!has_finished());
    // Destroyed outside the lock: what a task holds may call back.
    timer_queue timers;
    absl::MutexLock lock(&mutex_);
    timers.swap(timers_);
}

bool worker::has_finished()
{
    absl::MutexLock lock(&mutex_);
    finished_ = posted_.empty();
    return finished_;
}

void worker::run_posted()
{
    std::vector<std::function<void()>> tasks;
    {
        absl::MutexLock lock(&mutex_);
        tasks.swap(posted_);
    }
    for (auto& task : tasks)
        task();
}

void worker::run_timers(mono_time t)
{
    for (;;)
    {
        std::function<void()> task;
        {
            absl::MutexLock lock(&mutex_);
            if (timers_.empty() || timers_.top().at > t)
                return;
            task = timers_.top().task;
            timers_.pop();
        }
        task();
    }
}

void worker::run_ticks(mono_time t)
{
    if (t < next_tick_)
        return;
    next_tick_ = t + tick_interval;
    std::vector<std::shared_ptr<watched>> all;
    all.reserve(watched_.size());
    for (const auto& [id, w] : watched_)
        all.push_back(w);
    for (const auto& w : all)
        w->tick(t);
}

void worker::poll_events()
{
    std::array<epoll_event, max_events> events;
    const int n = ::epoll_wait(epoll_.get(), events.data(), max_events,
                               wait_milliseconds());
    for (int i = 0; i < n; ++i)
    {
        if (events[i].data.u64 == wake_id)
        {
            std::uint64_t count = 0;
            [[maybe_unused]] const auto got =
                ::read(wake_.get(), &count, sizeof count);
            continue;
        }
        const auto it = watched_.find(events[i].data.u64);
        if (it == watched_.end())
            continue;
        const std::shared_ptr<watched> w = it->second;
        w->handle(events[i].events);
    }
}

void worker::stop_watched()
{
    while (!watched_.empty())
    {
        const std::shared_ptr<watched> w = watched_.begin()->second;
        const std::uint64_t id = watched_.begin()->first;
        w->stop();
        watched_.erase(id);
    }
}

int worker::wait_milliseconds()
{
    mono_time until = next_tick_;
    {
        absl::MutexLock lock(&mutex_);
        if (!posted_.empty())
            return 0;
        if (!timers_.empty())
            until = std::min(until, timers_.top().at);
    }
    const duration left = until - now();
    if (left <= duration::zero())
        return 0;
    return static_cast<int>(to_milliseconds(left)) + 1;
}

void worker::wake()
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto put = ::write(wake_.get(), &one, sizeof one);
}

} // namespace poplar::wire
