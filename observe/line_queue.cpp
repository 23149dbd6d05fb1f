#include "observe/line_queue.hpp"

#include "base/time.hpp"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace poplar::observe
{

namespace
{

/// Lines that come within this time are written together.
constexpr absl::Duration batch_time = absl::Milliseconds(100);
constexpr int end_wait_ms = 1000;
/// A pipe that is ready takes this many bytes without blocking.
constexpr std::size_t most_written = PIPE_BUF;

} // namespace

line_queue::line_queue(line_queue_options options)
    : options_(std::move(options)), thread_([this] { run(); })
{
}

line_queue::~line_queue()
{
    {
        absl::MutexLock lock(&mutex_);
        is_ending_ = true;
    }
    thread_.join();
}

void line_queue::add(std::string line)
{
    line += '\n';
    absl::MutexLock lock(&mutex_);
    if (lines_.size() >= options_.most_lines ||
        bytes_ + line.size() > options_.most_bytes)
    {
        ++dropped_;
        return;
    }
    bytes_ += line.size();
    lines_.push_back(std::move(line));
}

bool line_queue::has_work() const
{
    return is_ending_ || !lines_.empty();
}

bool line_queue::take(std::string& lines)
{
    absl::MutexLock lock(&mutex_);
    mutex_.Await(absl::Condition(this, &line_queue::has_work));
    if (!is_ending_)
        mutex_.AwaitWithTimeout(absl::Condition(&is_ending_), batch_time);
    for (std::string& it : lines_)
        lines += it;
    lines_.clear();
    bytes_ = 0;
    if (dropped_ > 0 && options_.dropped_line)
        lines += options_.dropped_line(dropped_) + '\n';
    dropped_ = 0;
    return !is_ending_;
}

void line_queue::run()
{
    bool goes_on = true;
    while (goes_on)
    {
        std::string lines;
        goes_on = take(lines);
        write_all(lines);
    }
}

void line_queue::write_all(const std::string& lines)
{
    std::size_t at = 0;
    while (at < lines.size())
    {
        pollfd p{options_.descriptor, POLLOUT, 0};
        const int ready = poll(&p, 1, end_wait_ms);
        {
            absl::MutexLock lock(&mutex_);
            if (ready == 0 && is_ending_)
                return;
        }
        if (ready == 0)
            continue;
        const auto n = write(options_.descriptor, lines.data() + at,
                             std::min(lines.size() - at, most_written));
        if (n > 0)
            at += std::size_t(n);
        else if (errno != EINTR && errno != EAGAIN)
            return; // Nobody reads the log; there is no place to say so.
    }
}

} // namespace poplar::observe
