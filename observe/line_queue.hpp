/// Writes lines to a file descriptor from a thread of its own, so that a slow
/// reader delays no one.
#pragma once

#include <absl/synchronization/mutex.h>
#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <thread>

namespace poplar::observe
{

struct line_queue_options
{
    int descriptor = 1;
    /// Lines beyond these are dropped and counted.
    std::size_t most_lines = 4096;
    std::size_t most_bytes = std::size_t(1) << 20;
    /// Makes the line that reports dropped ones.
    std::function<std::string(std::uint64_t dropped)> dropped_line;
};

class line_queue
{
public:
    explicit line_queue(line_queue_options options);
    /// Writes what is queued, waiting for a slow reader at most a second.
    ~line_queue();
    line_queue(const line_queue&) = delete;
    line_queue& operator=(const line_queue&) = delete;

    /// Never blocks on the descriptor. `line` has no line end.
    void add(std::string line);

private:
    void run();
    /// Waits for lines; false when the queue has ended.
    bool take(std::string& lines);
    void write_all(const std::string& lines);
    bool has_work() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const line_queue_options options_;
    absl::Mutex mutex_;
    std::deque<std::string> lines_ ABSL_GUARDED_BY(mutex_);
    std::size_t bytes_ ABSL_GUARDED_BY(mutex_) = 0;
    std::uint64_t dropped_ ABSL_GUARDED_BY(mutex_) = 0;
    bool is_ending_ ABSL_GUARDED_BY(mutex_) = false;
    std::thread thread_;
};

} // namespace poplar::observe
