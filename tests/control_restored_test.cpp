// Guards against two owners, an epoch that is given out again and assignments
// that go back when the store was restored from a copy.
#include "control/ownership.hpp"
#include "store/memory_store.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <memory>

namespace poplar::control
{
namespace
{

using namespace std::chrono_literals;

const group_id writers("tour-writers");

struct restored_group : testing::Test
{
    store::memory_store store;
    mono_time time{1h};
    std::vector<std::unique_ptr<ownership>> entries;
    std::vector<owner_epoch> written; ///< Epochs in the order of writes.

    ownership& start(unsigned place)
    {
        ownership_options options;
        options.instance = instance_id("entry-" + std::to_string(place));
        options.process_nonce = "n" + std::to_string(place);
        entries.push_back(std::make_unique<ownership>(options));
        entries.back()->set_place(place);
        return *entries.back();
    }

    store_reply perform(const store_request& r)
    {
        const bool is_lease = r.kind == request_kind::read_lease ||
                              r.kind == request_kind::put_lease;
        const object_key key =
            is_lease ? lease_key(writers) : assignments_key(writers);
        if (r.kind == request_kind::read_lease ||
            r.kind == request_kind::read_assignments)
        {
            const store::object o = store.get(key);
            return {reply_outcome::done, o.value, o.version, store.era()};
        }
        const auto put = store.put(key, r.value, r.expected);
        const bool is_written = put.status == store::put_status::written;
        if (is_written && !is_lease)
            written.push_back(parse_group_assignments(r.value).epoch);
        return {is_written ? reply_outcome::done : reply_outcome::conflict,
                {},
                put.version,
                store.era()};
    }

    void run(ownership& o, duration length)
    {
        for (const mono_time end = time + length; time < end; time += 100ms)
            step(o);
    }
    void step(ownership& o)
    {
        if (const auto r = o.next(time))
            o.complete(perform(*r), time);
    }

    void propose(ownership& o, const std::string& reason)
    {
        assignment a;
        a.instance = instance_id("engine-1");
        a.reason = reason;
        o.propose({a}, sheet_generation(1));
        run(o, 1s);
    }

    group_assignments stored()
    {
        return parse_group_assignments(
            store.get(assignments_key(writers)).value);
    }
};

TEST_F(restored_group, gives_no_epoch_out_again_and_has_one_owner)
{
    ownership& first = start(0);
    ownership& second = start(1);
    run(first, 5s);
    const auto copy = store.make_copy();
    run(second, 60s);
    ASSERT_TRUE(second.is_owner());
    propose(second, "new");
    const owner_epoch before = second.epoch();
    store.restore(copy);
    written.clear();
    for (int i = 0; i < 1000; ++i, time += 100ms)
        for (const auto& it : entries)
            step(*it);
    ASSERT_FALSE(written.empty());
    EXPECT_GT(written.front(), before);
    EXPECT_TRUE(std::ranges::is_sorted(written));
    EXPECT_NE(first.is_owner(), second.is_owner());
}

TEST_F(restored_group, gets_the_assignments_again_that_the_copy_lacks)
{
    ownership& owner = start(0);
    run(owner, 5s);
    propose(owner, "old");
    const auto copy = store.make_copy();
    propose(owner, "new");
    store.restore(copy);
    run(owner, 30s);
    EXPECT_TRUE(owner.is_owner());
    EXPECT_EQ(stored().assignments.at(0).reason, "new");
}

// The former owner's write is in the copy, its answer was lost.
TEST_F(restored_group, is_not_led_under_an_epoch_of_an_earlier_era)
{
    ownership& owner = start(0);
    run(owner, 5s);
    propose(owner, "old");
    assignment a;
    a.instance = instance_id("engine-1");
    a.reason = "new";
    owner.propose({a}, sheet_generation(1));
    const auto r = owner.next(time);
    ASSERT_TRUE(r && r->kind == request_kind::put_assignments);
    perform(*r);
    owner.complete({reply_outcome::unknown_outcome}, time);
    const owner_epoch before = owner.epoch();
    store.restore(store.make_copy());
    run(owner, 30s);
    EXPECT_TRUE(owner.is_owner());
    EXPECT_GT(stored().epoch, before);
    EXPECT_EQ(stored().assignments.at(0).reason, "new");
}

} // namespace
} // namespace poplar::control
