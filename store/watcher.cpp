#include "store/watcher.hpp"

#include "base/digest.hpp"
#include "observe/log.hpp"

#include <algorithm>
#include <ranges>
#include <set>

namespace poplar::store
{

namespace
{

/// Doublings after which the pause is at its longest whatever the options; it
/// keeps the shift below the width of the type.
constexpr unsigned max_doublings = 16;
constexpr duration first_poll = std::chrono::milliseconds(1);

std::uint64_t digest_of(const object_key& key, object_version version)
{
    return digest(key.value, version.value);
}

/// An answer may hold several changes of one object, in the order in which they
/// were made; the last one is its state.
std::vector<object> last_of_each(std::vector<object> changes)
{
    std::set<object_key> seen;
    std::vector<object> last;
    for (object& it : changes | std::views::reverse)
        if (seen.insert(it.key).second)
            last.push_back(std::move(it));
    return last;
}

} // namespace

watcher::watcher(object_store& store, watcher_options options,
                 watcher_hooks hooks)
    : store_(store), options_(std::move(options)), hooks_(std::move(hooks)),
      thread_([this] { run(); })
{
}

watcher::~watcher()
{
    {
        absl::MutexLock lock(&mutex_);
        stopping_ = true;
    }
    thread_.join();
}

bool watcher::connected() const
{
    absl::MutexLock lock(&mutex_);
    return connected_;
}

bool watcher::stopping() const
{
    absl::MutexLock lock(&mutex_);
    return stopping_;
}

void watcher::run()
{
    while (!stopping())
    {
        try
        {
            follow_once();
        }
        catch (const store_error& ec)
        {
            handle(ec);
        }
        catch (const watches_stopped&)
        {
            return;
        }
        catch (const std::exception& ec)
        {
            handle(store_error(store_failure::invalid, ec.what()));
        }
    }
}

void watcher::follow_once()
{
    if (!listed_)
    {
        report_list(store_.list(options_.prefix));
        listed_ = true;
    }
    else
    {
        object_list changes =
            store_.watch(options_.prefix, revision_, wait_for_need());
        const bool has_changes = !changes.objects.empty();
        report(last_of_each(std::move(changes.objects)));
        revision_ = changes.revision;
        failures_ = 0;
        set_connected(true);
        confirm();
        if (has_changes)
            pause(options_.gather);
        return;
    }
    failures_ = 0;
    set_connected(true);
    confirm();
}

/// After an outage the first answer comes at once, so that the return of the
/// store is known.
duration watcher::wait_for_need()
{
    absl::MutexLock lock(&mutex_);
    if (!connected_)
        return first_poll;
    const auto must_call = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        return stopping_ || leads_ || is_behind_;
    };
    const auto time_left = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        return std::max(state_.confirmed, confirmed_by_others_) +
               options_.confirmed_for - now();
    };
    while (!must_call() && time_left() > duration::zero())
        mutex_.AwaitWithTimeout(absl::Condition(&must_call),
                                absl::Microseconds(time_left().count()));
    const bool was_behind = std::exchange(is_behind_, false);
    return leads_ && !was_behind ? options_.poll : first_poll;
}

void watcher::confirm()
{
    absl::MutexLock lock(&mutex_);
    state_.confirmed = now();
}

watched_state watcher::state() const
{
    absl::MutexLock lock(&mutex_);
    return state_;
}

mono_time watcher::confirmed() const
{
    absl::MutexLock lock(&mutex_);
    return std::max(state_.confirmed, confirmed_by_others_);
}

void watcher::compare(const watched_state& other)
{
    absl::MutexLock lock(&mutex_);
    if (other.digest == state_.digest)
        confirmed_by_others_ = std::max(confirmed_by_others_, other.confirmed);
    else if (other.confirmed > std::max(state_.confirmed, confirmed_by_others_))
        is_behind_ = true;
}

void watcher::set_leading(bool leads)
{
    absl::MutexLock lock(&mutex_);
    leads_ = leads;
}

/// Objects that are known but no longer listed were removed between two
/// lists.
void watcher::report_list(const object_list& list)
{
    const bool is_restored = revision_ != object_version() &&
                             era_of(list.revision) != era_of(revision_);
    if (is_restored && hooks_.restored)
        hooks_.restored();
    std::set<object_key> present;
    for (const object& it : list.objects)
        present.insert(it.key);
    std::vector<object> objects = list.objects;
    for (const auto& [key, version] : known_)
        if (!present.contains(key))
            objects.push_back({key, object_version(), ""});
    report(std::move(objects));
    revision_ = list.revision;
}

void watcher::report(std::vector<object> objects)
{
    std::ranges::sort(objects, {}, &object::version);
    for (const object& it : objects)
    {
        const auto known = known_.find(it.key);
        const bool is_removed = it.version == object_version();
        if (is_removed ? known == known_.end()
                       : known != known_.end() && known->second >= it.version)
            continue;
        {
            absl::MutexLock lock(&mutex_);
            confirmed_by_others_ = {};
            if (known != known_.end())
                state_.digest ^= digest_of(it.key, known->second);
            if (!is_removed)
                state_.digest ^= digest_of(it.key, it.version);
        }
        if (is_removed)
            known_.erase(known);
        else
            known_[it.key] = it.version;
        hooks_.changed(it);
    }
}

void watcher::handle(const store_error& failure)
{
    if (failure.failure() == store_failure::compacted)
    {
        observe::log(observe::event::platform_watch_compacted,
                     {{"prefix", options_.prefix},
                      {"revision", revision_of(revision_)}});
        listed_ = false;
    }
    else if (failure.failure() != store_failure::rate_limited)
    {
        if (connected() || failures_ == 0)
            observe::log(observe::event::platform_disconnected,
                         {{"prefix", options_.prefix},
                          {"failure", to_string(failure.failure())},
                          {"reason", failure.what()}});
        set_connected(false);
    }
    ++failures_;
    pause_after_failure();
}

void watcher::set_connected(bool connected)
{
    {
        absl::MutexLock lock(&mutex_);
        if (connected_ == connected)
            return;
        connected_ = connected;
    }
    if (connected)
        observe::log(observe::event::platform_connected,
                     {{"prefix", options_.prefix},
                      {"revision", revision_of(revision_)}});
    if (hooks_.connection)
        hooks_.connection(connected);
}

void watcher::pause_after_failure()
{
    const unsigned doublings = std::min(failures_ - 1, max_doublings);
    const duration whole =
        std::min(options_.shortest_pause * (std::int64_t(1) << doublings),
                 options_.longest_pause);
    std::uniform_int_distribution<std::int64_t> part(whole.count() / 2,
                                                     whole.count());
    pause(duration(part(random_)));
}

void watcher::pause(duration d)
{
    absl::MutexLock lock(&mutex_);
    mutex_.AwaitWithTimeout(absl::Condition(&stopping_),
                            absl::Microseconds(d.count()));
}

} // namespace poplar::store
