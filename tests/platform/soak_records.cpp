#include "tests/platform/soak_records.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace poplar::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr duration request_deadline = milliseconds(1500);
/// A request that nobody executed counts as read when its connection ends
/// later than this after its last byte.
constexpr duration loss_slack = milliseconds(1000);
/// Effects of a fault may show this long after its end.
constexpr duration stable_window = milliseconds(1000);

} // namespace

std::string stream_key(const std::string& id)
{
    return "stream of " + id;
}

std::string gateway_of(const std::string& id)
{
    const std::size_t at = id.find('-');
    if (at == std::string::npos)
        return "";
    return id.substr(at + 1, id.find('-', at + 1) - at - 1);
}

void fault_log::begin(const fault_place& at)
{
    const std::lock_guard lock(mutex_);
    intervals_[at].push_back({now(), mono_time::max()});
}

void fault_log::end(const fault_place& at)
{
    const std::lock_guard lock(mutex_);
    const mono_time t = now();
    for (interval& it : intervals_[at])
        it.to = std::min(it.to, t);
}

bool fault_log::overlaps(const fault_place& at, mono_time from,
                         mono_time to) const
{
    const std::lock_guard lock(mutex_);
    const auto found = intervals_.find(at);
    return found != intervals_.end() &&
           std::ranges::any_of(found->second, [&](const interval& it)
                               { return it.from <= to && it.to >= from; });
}

mono_time fault_log::calm_since(const fault_place& at) const
{
    const std::lock_guard lock(mutex_);
    mono_time last{};
    if (const auto found = intervals_.find(at); found != intervals_.end())
        for (const interval& it : found->second)
            last = std::max(last, it.to);
    return last;
}

void execution_log::record_execution(const std::string& id,
                                     const fault_place& at)
{
    const std::lock_guard lock(mutex_);
    executions_[id].push_back(at);
}

void execution_log::record_break(const std::string& id)
{
    const std::lock_guard lock(mutex_);
    broken_.insert(id);
}

void execution_log::record_refusal(const std::string& id)
{
    const std::lock_guard lock(mutex_);
    refused_.insert(id);
}

void execution_log::record_success()
{
    const std::lock_guard lock(mutex_);
    ++served_;
}

unsigned execution_log::served() const
{
    const std::lock_guard lock(mutex_);
    return served_;
}

void execution_log::record_loss(const lost_answer& lost)
{
    const std::lock_guard lock(mutex_);
    lost_.push_back(lost);
}

void execution_log::check(const fault_log& faults) const
{
    const std::lock_guard lock(mutex_);
    for (const auto& [id, places] : executions_)
    {
        const unsigned max_executions = id.starts_with("once") ? 1 : 3;
        EXPECT_LE(places.size(), max_executions) << id << " ran too often";
    }
    for (const std::string& id : refused_)
        EXPECT_FALSE(executions_.contains(id)) << id << " was refused and ran";
    for (const lost_answer& it : lost_)
        check_loss(it, faults);
    EXPECT_GT(served_, 20U);
}

void execution_log::check_loss(const lost_answer& lost,
                               const fault_log& faults) const
{
    const std::string gateway = gateway_of(lost.id);
    const auto was_disturbed = [&](const fault_place& at)
    {
        return faults.overlaps(at, lost.sent - stable_window, lost.ended);
    };
    if (was_disturbed(gateway))
        return;
    const duration time = lost.ended - lost.sent;
    const auto describe = [&]
    {
        return lost.id + " after " + std::to_string(to_milliseconds(time)) +
               " ms" + (lost.is_leaving ? ", SIGTERM before its end" : "") +
               "; received:\n" + lost.bytes;
    };
    EXPECT_FALSE(lost.is_open) << "no end of the answer to " << describe();
    if (broken_.contains(lost.id) || time >= request_deadline)
        return;
    auto found = executions_.find(lost.id);
    if (found == executions_.end())
        found = executions_.find(stream_key(lost.id));
    if (found != executions_.end())
    {
        EXPECT_TRUE(std::ranges::any_of(found->second, was_disturbed))
            << "lost after its execution at " << found->second.back() << ": "
            << describe();
        return;
    }
    EXPECT_EQ(lost.bytes, "") << "incomplete without execution: " << describe();
    EXPECT_FALSE(lost.is_leaving && time > loss_slack)
        << "read and not answered: " << describe();
}

} // namespace poplar::gateway
