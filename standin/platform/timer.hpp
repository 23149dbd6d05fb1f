/// Runs functions at later times on one thread.
#pragma once

#include "base/time.hpp"

#include <absl/synchronization/mutex.h>
#include <functional>
#include <map>
#include <thread>

namespace poplar::standin_platform
{

class timer
{
public:
    timer();
    ~timer(); ///< Drops what has not been run.
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// Calls `function` on the timer's thread; it must not block.
    void after(duration delay, std::function<void()> function);

private:
    void run();

    absl::Mutex mutex_;
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::multimap<mono_time, std::function<void()>>
        waiting_ ABSL_GUARDED_BY(mutex_);
    absl::CondVar changed_;
    std::thread thread_;
};

} // namespace poplar::standin_platform
