// Guards against versions of an earlier era that are taken for present ones
// after the stand-in platform was restored from a copy.
#include "store/memory_store.hpp"
#include "tests/platform_process.hpp"

#include <atomic>
#include <gtest/gtest.h>
#include <thread>

namespace poplar::store
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_support::platform_process;
using testing_support::wait_for;

const object_key a{"sheet/a"};
const object_key b{"sheet/b"};
const object_version absent;

struct restored_platform : testing::Test
{
    platform_process platform;
    std::unique_ptr<object_store> store = platform.store();

    void make_copy()
    {
        platform.set_faults(R"({"copy":true})");
    }
    void restore()
    {
        platform.set_faults(R"({"restore":true})");
    }
};

TEST_F(restored_platform, goes_back_to_the_copy_in_a_new_era)
{
    store->put(a, "kept", absent);
    make_copy();
    store->put(b, "dropped", absent);
    restore();
    const object kept = store->get(a);
    EXPECT_EQ(kept.value, "kept");
    EXPECT_EQ(kept.version, make_version(store_era(1), 1));
    EXPECT_EQ(store->get(b).version, absent);
    EXPECT_EQ(store->list("").revision, make_version(store_era(1), 1));
    EXPECT_EQ(store->era(), store_era(1));
    EXPECT_EQ(platform.counters().at("era"), 1);
}

TEST_F(restored_platform, without_a_copy_is_empty)
{
    store->put(a, "dropped", absent);
    restore();
    EXPECT_TRUE(store->list("").objects.empty());
}

TEST_F(restored_platform, takes_writes_with_versions_of_its_era)
{
    const object_version first = store->put(a, "1", absent).version;
    make_copy();
    restore();
    const put_result refused = store->put(a, "2", first);
    EXPECT_EQ(refused.status, put_status::conflict);
    EXPECT_EQ(refused.version, make_version(store_era(1), 1));
    EXPECT_EQ(store->put(a, "2", refused.version).status, put_status::written);
}

// The writer has not yet had an answer of the new era.
TEST_F(restored_platform, refuses_a_version_whose_revision_is_given_out_again)
{
    make_copy();
    const object_version held = store->put(a, "1", absent).version;
    restore();
    const object_version other = platform.store()->put(a, "2", absent).version;
    ASSERT_EQ(revision_of(held), revision_of(other));
    EXPECT_EQ(store->put(a, "3", held).status, put_status::conflict);
    EXPECT_EQ(store->remove(a, held).status, put_status::conflict);
    EXPECT_EQ(store->get(a).value, "2");
}

TEST_F(restored_platform, ends_a_watch_that_waits)
{
    const object_version first = store->put(a, "1", absent).version;
    make_copy();
    std::atomic<bool> is_compacted{false};
    std::thread waiting(
        [&]
        {
            try
            {
                store->watch("sheet/", first, seconds(30));
            }
            catch (const store_error& ec)
            {
                is_compacted = ec.failure() == store_failure::compacted;
            }
        });
    EXPECT_TRUE(wait_for(
        [&] { return platform.counters().at("waiting_watches") == 1; }));
    restore();
    waiting.join();
    EXPECT_TRUE(is_compacted);
}

// The revision exists again when the watch begins.
TEST_F(restored_platform, refuses_a_watch_from_an_earlier_era)
{
    make_copy();
    const object_version held = store->put(a, "1", absent).version;
    restore();
    platform.store()->put(b, "2", absent);
    EXPECT_THROW(store->watch("sheet/", held, milliseconds(200)), store_error);
}

TEST(restored_memory_store, lacks_an_object_whose_update_was_refused)
{
    memory_store store;
    const auto empty = store.make_copy();
    const object_version held = store.put(a, "1", absent).version;
    store.restore(empty);
    ASSERT_EQ(store.put(a, "2", held).status, put_status::conflict);
    EXPECT_EQ(store.get(a).version, absent);
}

} // namespace
} // namespace poplar::store
