#include "gateway/record_writer.hpp"

#include "observe/log.hpp"

#include <algorithm>

namespace poplar::gateway
{

namespace
{

using observe::event;
using action = record_change::action;

constexpr std::size_t max_pending = 1000;
constexpr duration first_pause = std::chrono::milliseconds(100);
constexpr unsigned max_doublings = 5;

} // namespace

record_writer::record_writer(store::object_store& store)
    : store_(store), thread_([this] { run(); })
{
}

record_writer::~record_writer()
{
    {
        absl::MutexLock lock(&mutex_);
        is_stopping_ = true;
    }
    thread_.join();
}

void record_writer::change(const object_key& key, change_function f)
{
    absl::MutexLock lock(&mutex_);
    if (pending_.size() < max_pending || pending_.contains(key))
        pending_[key] = {++number_, std::move(f)};
}

std::optional<std::pair<object_key, record_writer::pending_change>>
record_writer::next()
{
    absl::MutexLock lock(&mutex_);
    const auto is_due = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        return is_stopping_ || !pending_.empty();
    };
    mutex_.Await(absl::Condition(&is_due));
    if (is_stopping_)
        return std::nullopt;
    return *pending_.begin();
}

void record_writer::run()
{
    unsigned failures = 0;
    while (const auto it = next())
    {
        try
        {
            if (make(it->first, it->second.apply))
                finish(it->first, it->second.number);
            failures = 0;
        }
        catch (const std::exception& failure)
        {
            observe::log(
                event::gateway_store_call_failed,
                {{"object", it->first.value}, {"reason", failure.what()}});
            pause_after_failure(failures++);
        }
    }
}

bool record_writer::make(const object_key& key, const change_function& f)
{
    const store::object present = store_.get(key);
    const record_change c = f(present);
    const bool exists = present.version != object_version();
    if (c.what == action::keep || (c.what == action::remove && !exists))
        return true;
    const store::put_result r = c.what == action::remove
                                    ? store_.remove(key, present.version)
                                    : store_.put(key, c.value, present.version);
    return r.status == store::put_status::written;
}

void record_writer::finish(const object_key& key, std::uint64_t number)
{
    absl::MutexLock lock(&mutex_);
    const auto it = pending_.find(key);
    if (it != pending_.end() && it->second.number == number)
        pending_.erase(it);
}

void record_writer::pause_after_failure(unsigned failures)
{
    const duration pause =
        first_pause * (1 << std::min(failures, max_doublings));
    absl::MutexLock lock(&mutex_);
    mutex_.AwaitWithTimeout(absl::Condition(&is_stopping_),
                            absl::Microseconds(pause.count()));
}

} // namespace poplar::gateway
