// Guards against one entry of another writer that ends the process that reads
// the list, or hides the other entries from it.
#include "tests/platform/odd_entries.hpp"

#include "platform/objects.hpp"
#include "store/watcher.hpp"
#include "tests/platform/object_server.hpp"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <gtest/gtest.h>
#include <set>

namespace poplar::platform
{
namespace
{

/// Follows the upstreams over HTTP as a gateway does.
class follower
{
public:
    explicit follower(const ip_address& server)
        : store_(store::make_http_store({server}, make_object_dialect())),
          watcher_(*store_, options(),
                   {[this](const store::object& o) { take(o); }, {}})
    {
    }
    ~follower()
    {
        store_->stop_watches();
    }
    follower(const follower&) = delete;
    follower& operator=(const follower&) = delete;

    /// Waits until exactly these upstreams are usable.
    bool wait_for(const std::set<std::string>& names)
    {
        absl::MutexLock lock(&mutex_);
        const auto equal = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
        {
            return usable_ == names;
        };
        return mutex_.AwaitWithTimeout(absl::Condition(&equal),
                                       absl::Seconds(3));
    }

private:
    static store::watcher_options options()
    {
        store::watcher_options o;
        o.prefix = upstream_prefix;
        o.poll = std::chrono::milliseconds(300);
        return o;
    }

    void take(const store::object& o)
    {
        const bool is_usable = names_upstream(o);
        absl::MutexLock lock(&mutex_);
        if (is_usable)
            usable_.insert(o.key.value);
        else
            usable_.erase(o.key.value);
    }

    static bool names_upstream(const store::object& o)
    {
        try
        {
            if (o.version == object_version())
                return false;
            decode_upstream(o.key, o.value);
            return true;
        }
        catch (const parse_error&)
        {
            return false;
        }
    }

    absl::Mutex mutex_;
    std::set<std::string> usable_ ABSL_GUARDED_BY(mutex_);
    std::unique_ptr<store::object_store> store_;
    store::watcher watcher_; ///< Last: its thread uses the others.
};

class odd_entry_test : public testing::TestWithParam<odd_entry>
{
protected:
    void put(const std::string& name, const std::string& text)
    {
        const object_key key(upstream_prefix + name);
        ASSERT_EQ(store_.put(key, text, store_.get(key).version).status,
                  store::put_status::written);
    }

    store::memory_store store_;
    object_server server_{store_};
};

TEST_P(odd_entry_test, costs_only_itself_in_a_list)
{
    put("a", entry_text());
    put("m", GetParam().text);
    put("z", entry_text());
    follower f(server_.address());
    EXPECT_TRUE(f.wait_for({"servers/a", "servers/z"}));
    put("m", entry_text());
    EXPECT_TRUE(f.wait_for({"servers/a", "servers/m", "servers/z"}));
}

TEST_P(odd_entry_test, costs_only_itself_in_a_change)
{
    put("a", entry_text());
    put("m", entry_text());
    follower f(server_.address());
    EXPECT_TRUE(f.wait_for({"servers/a", "servers/m"}));
    put("m", GetParam().text);
    put("z", entry_text());
    EXPECT_TRUE(f.wait_for({"servers/a", "servers/z"}));
    put("m", entry_text());
    EXPECT_TRUE(f.wait_for({"servers/a", "servers/m", "servers/z"}));
}

INSTANTIATE_TEST_SUITE_P(entries, odd_entry_test,
                         testing::ValuesIn(odd_entries()),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::platform
