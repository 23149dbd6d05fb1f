// Guards against two gateways that order engines at once or alternately, and
// against fencing tokens that do not increase.
#include "gateway/duty_lease.hpp"
#include "store/memory_store.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplar::gateway
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A store that has not been restored; eras begin at 1.
struct first_era_store : store::memory_store
{
    first_era_store()
    {
        restore(make_copy());
    }
};

/// A lease holder with a clock of its own.
struct test_gateway
{
    mono_time time;
    duty_lease lease;

    test_gateway(store::object_store& store, const char* name,
                 mono_time start = {})
        : time(start), lease(store, {.holder = name}, [this] { return time; })
    {
        lease.follow_era();
    }
};

TEST(duty_lease, is_held_by_one)
{
    store::memory_store store;
    test_gateway a(store, "a");
    test_gateway b(store, "b");
    EXPECT_TRUE(a.lease.acquire());
    EXPECT_FALSE(b.lease.acquire());
    EXPECT_FALSE(b.lease.may_act());
}

TEST(duty_lease, may_not_be_used_long_after_its_renewal)
{
    store::memory_store store;
    test_gateway a(store, "a");
    ASSERT_TRUE(a.lease.acquire());
    a.time += milliseconds(999);
    EXPECT_TRUE(a.lease.may_act());
    a.time += milliseconds(2);
    EXPECT_FALSE(a.lease.may_act());
}

TEST(duty_lease, passes_on_when_its_holder_is_gone)
{
    store::memory_store store;
    test_gateway a(store, "a");
    test_gateway b(store, "b");
    const auto first = a.lease.acquire();
    ASSERT_FALSE(b.lease.acquire());
    b.time += seconds(4);
    EXPECT_FALSE(b.lease.acquire());
    b.time += seconds(1);
    const auto second = b.lease.acquire();
    ASSERT_TRUE(first && second);
    EXPECT_GT(*second, *first);
    EXPECT_FALSE(a.lease.acquire().has_value() && a.time > mono_time{});
}

TEST(duty_lease, is_not_taken_by_a_restarted_process_of_its_holder_at_once)
{
    store::memory_store store;
    test_gateway before(store, "a");
    test_gateway after(store, "a");
    ASSERT_TRUE(before.lease.acquire());
    EXPECT_FALSE(after.lease.acquire());
}

// The first record of the new process was equal to the one before, so that the
// others did not see that the lease had been taken.
TEST(duty_lease, of_a_restarted_holder_is_seen_by_the_others)
{
    store::memory_store store;
    test_gateway before(store, "a");
    const auto first = before.lease.acquire();
    ASSERT_TRUE(first);
    test_gateway after(store, "a");
    test_gateway other(store, "b");
    ASSERT_FALSE(after.lease.acquire());
    ASSERT_FALSE(other.lease.acquire());
    after.time += seconds(5);
    other.time += seconds(5);
    const auto second = after.lease.acquire();
    ASSERT_TRUE(second);
    EXPECT_GT(*second, *first);
    EXPECT_FALSE(other.lease.acquire());
}

/// A store that answers writes as if they changed nothing.
struct unchanged_store : store::memory_store
{
    store::put_result put(const object_key&, const std::string&,
                          object_version expected) override
    {
        return {store::put_status::written, expected};
    }
};

TEST(duty_lease, is_not_acquired_by_a_write_that_changes_nothing)
{
    unchanged_store store;
    const object_key key = duty_lease_settings().key;
    store.memory_store::put(key, "{}", object_version());
    test_gateway a(store, "a");
    ASSERT_FALSE(a.lease.acquire());
    a.time += seconds(5);
    EXPECT_FALSE(a.lease.acquire());
    EXPECT_FALSE(a.lease.may_act());
}

TEST(duty_lease, is_not_taken_at_once_when_a_restored_store_lacks_it)
{
    store::memory_store store;
    test_gateway a(store, "a");
    test_gateway b(store, "b");
    const auto copy = store.make_copy();
    const auto first = a.lease.acquire();
    ASSERT_TRUE(first);
    store.restore(copy);
    EXPECT_FALSE(b.lease.acquire());
    b.time += seconds(4);
    EXPECT_FALSE(b.lease.acquire());
    b.time += seconds(1);
    const auto second = b.lease.acquire();
    ASSERT_TRUE(second);
    EXPECT_GT(*second, *first);
}

TEST(duty_lease, ends_when_the_store_was_restored)
{
    store::memory_store store;
    test_gateway a(store, "a");
    const auto copy = store.make_copy();
    ASSERT_TRUE(a.lease.acquire());
    store.restore(copy);
    EXPECT_FALSE(a.lease.may_act());
    EXPECT_FALSE(a.lease.acquire());
}

TEST(duty_lease, is_not_taken_at_once_by_a_process_that_starts_later)
{
    first_era_store store;
    test_gateway a(store, "a");
    const auto copy = store.make_copy();
    ASSERT_TRUE(a.lease.acquire());
    store.restore(copy);
    test_gateway b(store, "b");
    EXPECT_FALSE(b.lease.acquire());
    b.time += seconds(4);
    EXPECT_FALSE(b.lease.acquire());
    b.time += seconds(1);
    EXPECT_TRUE(b.lease.acquire());
}

TEST(duty_lease, is_taken_at_once_in_a_new_store)
{
    first_era_store store;
    test_gateway a(store, "a");
    EXPECT_TRUE(a.lease.acquire());
}

/// Three gateways act in random order on a common clock. A gateway that does
/// not act for a while does not see that time pass until its next turn. Now and
/// then the store is restored from an earlier copy, or a gateway's process is
/// replaced by a new one.
RC_GTEST_PROP(duty_lease_history, keeps_holders_apart,
              (const std::vector<std::uint16_t>& draws))
{
    first_era_store store;
    auto copy = store.make_copy();
    std::array<std::unique_ptr<test_gateway>, 3> gateways{
        std::make_unique<test_gateway>(store, "a"),
        std::make_unique<test_gateway>(store, "b"),
        std::make_unique<test_gateway>(store, "c")};
    mono_time time{};
    int last_holder = -1;
    mono_time last_order{};
    fencing_token last_token;
    for (const std::uint16_t it : draws)
    {
        time += milliseconds(it % 1700);
        if (it % 13 == 0)
            store.restore(copy);
        else if (it % 7 == 0)
            copy = store.make_copy();
        const int i = (it >> 3U) % 3;
        if (it % 11 == 0)
            gateways.at(std::size_t(i)) =
                std::make_unique<test_gateway>(store, "restarted", time);
        test_gateway& g = *gateways.at(std::size_t(i));
        g.time = time;
        const auto token = g.lease.acquire();
        if (!token || !g.lease.may_act())
            continue;
        RC_ASSERT(*token >= last_token);
        if (last_holder >= 0 && last_holder != i)
        {
            RC_ASSERT(time - last_order >= seconds(3));
            RC_ASSERT(*token > last_token);
        }
        last_holder = i;
        last_order = time;
        last_token = *token;
    }
}

} // namespace
} // namespace poplar::gateway
