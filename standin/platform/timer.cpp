#include "standin/platform/timer.hpp"

#include <algorithm>

namespace poplar::standin_platform
{

namespace
{

constexpr duration longest_sleep = std::chrono::seconds(1);

} // namespace

timer::timer() : thread_([this] { run(); }) {}

timer::~timer()
{
    {
        absl::MutexLock lock(&mutex_);
        stopping_ = true;
        changed_.Signal();
    }
    thread_.join();
}

void timer::after(duration delay, std::function<void()> function)
{
    absl::MutexLock lock(&mutex_);
    waiting_.emplace(now() + delay, std::move(function));
    changed_.Signal();
}

void timer::run()
{
    absl::MutexLock lock(&mutex_);
    while (!stopping_)
    {
        const mono_time at = now();
        if (!waiting_.empty() && waiting_.begin()->first <= at)
        {
            const auto function = std::move(waiting_.begin()->second);
            waiting_.erase(waiting_.begin());
            mutex_.Unlock();
            function();
            mutex_.Lock();
            continue;
        }
        const duration sleep =
            waiting_.empty()
                ? longest_sleep
                : std::min(longest_sleep, waiting_.begin()->first - at);
        changed_.WaitWithTimeout(&mutex_, absl::Microseconds(sleep.count()));
    }
}

} // namespace poplar::standin_platform
