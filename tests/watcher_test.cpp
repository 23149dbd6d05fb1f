// Guards against changes that a watcher misses, reports twice or out of order,
// and against watchers that stop following after an outage.
#include "store/memory_store.hpp"
#include "store/watcher.hpp"

#include <absl/time/clock.h>
#include <algorithm>
#include <atomic>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <stdexcept>

namespace poplar::store
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Keeps what a watcher reports.
class recorder
{
public:
    watcher_hooks hooks()
    {
        return {[this](const object& o) { add(o); },
                [this](bool up)
                {
                    add_connection(up);
                }};
    }

    /// Waits until `count` objects were reported.
    bool wait_for(std::size_t count)
    {
        absl::MutexLock lock(&mutex_);
        const auto enough = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
        {
            return objects_.size() >= count;
        };
        return mutex_.AwaitWithTimeout(absl::Condition(&enough),
                                       absl::Seconds(10));
    }

    bool wait_for_connections(std::size_t count)
    {
        absl::MutexLock lock(&mutex_);
        const auto enough = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
        {
            return connections_.size() >= count;
        };
        return mutex_.AwaitWithTimeout(absl::Condition(&enough),
                                       absl::Seconds(10));
    }

    std::vector<object> objects() const
    {
        absl::MutexLock lock(&mutex_);
        return objects_;
    }

    std::vector<bool> connections() const
    {
        absl::MutexLock lock(&mutex_);
        return connections_;
    }

private:
    void add(const object& o)
    {
        absl::MutexLock lock(&mutex_);
        objects_.push_back(o);
    }

    void add_connection(bool up)
    {
        absl::MutexLock lock(&mutex_);
        connections_.push_back(up);
    }

    mutable absl::Mutex mutex_;
    std::vector<object> objects_ ABSL_GUARDED_BY(mutex_);
    std::vector<bool> connections_ ABSL_GUARDED_BY(mutex_);
};

watcher_options quick(const std::string& prefix)
{
    return {prefix, milliseconds(200), milliseconds(5), milliseconds(20)};
}

TEST(watcher, reports_what_exists_and_then_each_change)
{
    memory_store store;
    store.put(object_key("a/1"), "x", object_version());
    recorder seen;
    watcher w(store, quick("a/"), seen.hooks());
    ASSERT_TRUE(seen.wait_for(1));
    const put_result second =
        store.put(object_key("a/2"), "y", object_version());
    ASSERT_TRUE(seen.wait_for(2));
    store.put(object_key("b/1"), "z", object_version());
    store.remove(object_key("a/2"), second.version);
    ASSERT_TRUE(seen.wait_for(3));
    const auto objects = seen.objects();
    EXPECT_EQ(objects[0].value, "x");
    EXPECT_EQ(objects[1].version, second.version);
    EXPECT_EQ(objects[2].key, object_key("a/2"));
    EXPECT_EQ(objects[2].version, object_version());
    EXPECT_TRUE(w.connected());
}

TEST(watcher, reports_an_outage_and_follows_on_after_it)
{
    memory_store store;
    recorder seen;
    watcher w(store, quick(""), seen.hooks());
    ASSERT_TRUE(seen.wait_for_connections(1));
    store.set_faults({true, 0, 0});
    ASSERT_TRUE(seen.wait_for_connections(2));
    EXPECT_FALSE(w.connected());
    store.set_faults({});
    store.put(object_key("a"), "x", object_version());
    ASSERT_TRUE(seen.wait_for(1));
    ASSERT_TRUE(seen.wait_for_connections(3));
    EXPECT_EQ(seen.connections(), (std::vector<bool>{true, false, true}));
}

/// Answers the next watch as too old, after `before` has run.
class compacting_store : public memory_store
{
public:
    std::function<void()> before;
    std::atomic<bool> compact{false};

    object_list watch(const std::string& prefix, object_version after,
                      duration timeout) override
    {
        if (!compact.exchange(false))
            return memory_store::watch(prefix, after, timeout);
        before();
        throw store_error(store_failure::compacted, "too old");
    }
};

/// Answers the next watch with every change since the last answer, several of
/// one object too.
class changes_store : public memory_store
{
public:
    object_list watch(const std::string& prefix, object_version after,
                      duration timeout) override
    {
        object_list next = take_next();
        return next.objects.empty()
                   ? memory_store::watch(prefix, after, timeout)
                   : next;
    }
    void answer_next(object_list next)
    {
        absl::MutexLock lock(&mutex_);
        next_ = std::move(next);
    }

private:
    object_list take_next()
    {
        absl::MutexLock lock(&mutex_);
        return std::exchange(next_, {});
    }

    absl::Mutex mutex_;
    object_list next_ ABSL_GUARDED_BY(mutex_);
};

struct changes_case
{
    const char* name;
    std::vector<object_version> versions; ///< 0: removed.
    object_version last;
};

class several_changes : public testing::TestWithParam<changes_case>
{
};

// An upstream that changed its stage and ended within one answer was used as if
// it had come back after its end.
TEST_P(several_changes, of_an_object_end_with_the_last)
{
    changes_store store;
    store.put(object_key("a"), "x", object_version());
    recorder seen;
    watcher w(store, quick(""), seen.hooks());
    ASSERT_TRUE(seen.wait_for(1));
    object_list next{object_version(30), {}};
    for (const object_version it : GetParam().versions)
        next.objects.push_back({object_key("a"), it, "y"});
    next.objects.push_back({object_key("b"), object_version(29), "z"});
    store.answer_next(next);
    const auto is_last = [](const object& o)
    {
        return o.key == object_key("b");
    };
    for (int i = 0; i < 200 && std::ranges::none_of(seen.objects(), is_last);
         ++i)
        absl::SleepFor(absl::Milliseconds(10));
    std::vector<object> objects = seen.objects();
    std::erase_if(objects, is_last);
    EXPECT_EQ(objects.back().version, GetParam().last);
}

INSTANTIATE_TEST_SUITE_P(
    orders, several_changes,
    testing::Values(changes_case{"changed_then_removed",
                                 {object_version(20), object_version()},
                                 object_version()},
                    changes_case{"removed_then_created",
                                 {object_version(), object_version(20)},
                                 object_version(20)},
                    changes_case{"created_and_removed_again",
                                 {object_version(), object_version(20),
                                  object_version()},
                                 object_version()},
                    changes_case{"changed_twice",
                                 {object_version(20), object_version(21)},
                                 object_version(21)}),
    [](const auto& it) { return it.param.name; });

TEST(watcher, lists_again_after_compaction_and_reports_removals)
{
    compacting_store store;
    const put_result first = store.put(object_key("a"), "x", object_version());
    store.put(object_key("b"), "y", object_version());
    store.before = [&]
    {
        store.remove(object_key("a"), first.version);
        store.put(object_key("c"), "z", object_version());
    };
    recorder seen;
    watcher w(store, quick(""), seen.hooks());
    ASSERT_TRUE(seen.wait_for(2));
    store.compact = true;
    ASSERT_TRUE(seen.wait_for(4));
    const auto objects = seen.objects();
    EXPECT_EQ(objects[2].key, object_key("a"));
    EXPECT_EQ(objects[2].version, object_version());
    EXPECT_EQ(objects[3].key, object_key("c"));
    EXPECT_EQ(objects.size(), 4U);
}

TEST(watcher, ends_at_once_when_watches_are_stopped)
{
    memory_store store;
    recorder seen;
    auto w = std::make_unique<watcher>(
        store, watcher_options{"", seconds(60), milliseconds(5), seconds(60)},
        seen.hooks());
    ASSERT_TRUE(seen.wait_for_connections(1));
    const mono_time before = now();
    store.stop_watches();
    w.reset();
    EXPECT_LT(now() - before, seconds(10));
}

RC_GTEST_PROP(watcher_property, versions_of_a_key_rise_and_the_last_is_seen, ())
{
    const auto writes =
        *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 4U));
    memory_store store;
    recorder seen;
    std::map<object_key, object_version> last;
    {
        watcher w(store, quick(""), seen.hooks());
        for (const unsigned n : writes)
        {
            const object_key key(std::string(1, static_cast<char>('a' + n)));
            if (n == 0)
                store.set_faults({true, 0, 0});
            store.set_faults({});
            last[key] = store.put(key, "x", last[key]).version;
        }
        const object_key end("end");
        last[end] = store.put(end, "", object_version()).version;
        const mono_time limit = now() + seconds(10);
        while (now() < limit &&
               (seen.objects().empty() || seen.objects().back().key != end))
            std::this_thread::sleep_for(milliseconds(1));
        store.stop_watches();
    }
    std::map<object_key, object_version> reported;
    for (const object& o : seen.objects())
    {
        RC_ASSERT(reported[o.key] < o.version);
        reported[o.key] = o.version;
    }
    RC_ASSERT(reported == last);
}

/// Counts the watch calls that reach a store.
/// Throws an exception of another type once.
class failing_store : public memory_store
{
public:
    object_list list(const std::string& prefix) override
    {
        if (!has_failed_.exchange(true))
            throw std::length_error("too long");
        return memory_store::list(prefix);
    }

private:
    std::atomic<bool> has_failed_ = false;
};

// An exception other than a failure of the store ended the process.
TEST(watcher, goes_on_after_an_unexpected_exception)
{
    failing_store store;
    store.put(object_key("a/1"), "x", object_version());
    recorder seen;
    const watcher w(store, quick("a/"), seen.hooks());
    EXPECT_TRUE(seen.wait_for(1));
}

class counting_store : public memory_store
{
public:
    object_list watch(const std::string& prefix, object_version after,
                      duration timeout) override
    {
        ++watches;
        return memory_store::watch(prefix, after, timeout);
    }

    std::atomic<unsigned> watches = 0;
};

// Each change cost a call of each watcher.
TEST(watcher, gathers_changes_that_come_one_after_another)
{
    counting_store store;
    recorder seen;
    watcher_options options{"a/"};
    options.gather = milliseconds(500);
    watcher w(store, options, seen.hooks());
    ASSERT_TRUE(seen.wait_for_connections(1));
    for (int i = 0; i < 20; ++i)
    {
        store.put(object_key("a/" + std::to_string(i)), "x", object_version());
        std::this_thread::sleep_for(milliseconds(10));
    }
    ASSERT_TRUE(seen.wait_for(20));
    EXPECT_LE(store.watches, 4U);
    store.stop_watches();
}

/// Passes the states of watchers on to each other, each `delay` after it was
/// taken, as reports of processes would.
void exchange_states(std::vector<std::unique_ptr<watcher>>& watchers,
                     duration length, duration delay)
{
    const mono_time end = now() + length;
    while (now() < end)
        for (const auto& from : watchers)
        {
            const watched_state s = from->state();
            const duration age = now() - s.confirmed;
            std::this_thread::sleep_for(delay);
            for (const auto& to : watchers)
                if (to != from)
                    to->compare({s.digest, now() - age});
        }
}

// Gateways that did not follow the store themselves confirmed each other's
// states, and a draining upstream was used for longer than it may be
// (cnps-mx-grown trouble-1).
TEST(watcher, asks_the_store_though_others_know_the_same)
{
    counting_store store;
    store.put(object_key("a/1"), "x", object_version());
    watcher_options options = quick("a/");
    options.confirmed_for = milliseconds(300);
    std::vector<std::unique_ptr<watcher>> watchers;
    watchers.reserve(3);
    for (int i = 0; i < 3; ++i)
        watchers.push_back(std::make_unique<watcher>(
            store, options, watcher_hooks{[](const object&) {}, nullptr}));
    std::this_thread::sleep_for(milliseconds(100));
    for (const auto& it : watchers)
        it->set_leading(false);
    // Calls that wait when the watchers stop leading end within 200 ms.
    exchange_states(watchers, milliseconds(300), milliseconds(25));
    const unsigned before = store.watches;
    exchange_states(watchers, milliseconds(1500), milliseconds(25));
    EXPECT_GE(store.watches - before, 3U);
}

// A state that another watcher has confirmed later makes it call at once.
TEST(watcher, follows_a_state_that_is_newer)
{
    memory_store store;
    recorder seen;
    watcher_options options = quick("a/");
    options.confirmed_for = seconds(30);
    watcher leading(store, options, {[](const object&) {}, nullptr});
    watcher other(store, options, seen.hooks());
    std::this_thread::sleep_for(milliseconds(300));
    other.set_leading(false);
    std::this_thread::sleep_for(milliseconds(300)); // its last long call
    store.put(object_key("a/1"), "x", object_version());
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_TRUE(seen.objects().empty());
    other.compare(leading.state());
    EXPECT_TRUE(seen.wait_for(1));
}

} // namespace
} // namespace poplar::store
