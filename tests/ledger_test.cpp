// Guards against a call that runs twice or is forgotten when its agent is
// replaced, the platform is away or the ledger grows.
#include "ledger/ledger.hpp"
#include "store/memory_store.hpp"

#include <absl/synchronization/notification.h>
#include <atomic>
#include <gtest/gtest.h>
#include <thread>

namespace poplar::ledger
{
namespace
{

using namespace std::chrono_literals;

const service_id desk("booking-desk");

call_key key_of(unsigned n)
{
    return {desk, tenant_id("fienili"),
            idempotency_key("k" + std::to_string(n))};
}

ledger_options options_for(const std::string& instance, run_hook run)
{
    ledger_options options;
    options.service = desk;
    options.shard.instance = instance_id(instance);
    options.shard.address = instance;
    options.shard.process_nonce = to_string(make_request_id());
    options.max_writes_per_second = 1000;
    options.run = std::move(run);
    return options;
}

call_answer submit_and_wait(service_ledger& ledger, const call_key& key,
                            const std::string& body, bool take_over = false)
{
    call c{key, "POST", "/bookings", {}, body, take_over, 5s};
    call_answer result;
    absl::Notification done;
    ledger.submit(c,
                  [&](call_answer a)
                  {
                      result = std::move(a);
                      done.Notify();
                  });
    done.WaitForNotification();
    return result;
}

run_hook counting_run(std::atomic<int>& count)
{
    return [&count](const call& c, const std::function<void(run_result)>& done)
    {
        ++count;
        done({run_state::done, {201, {}, "ok " + c.body, false}});
    };
}

TEST(ledger, a_repeat_gets_the_first_answer)
{
    store::memory_store store;
    std::atomic<int> runs = 0;
    service_ledger ledger(store, options_for("desk-1", counting_run(runs)));
    for (int i = 0; i < 3; ++i)
    {
        const call_answer a = submit_and_wait(ledger, key_of(1), "body");
        EXPECT_EQ(a.state, answer_state::done);
        EXPECT_EQ(a.content.body, "ok body");
    }
    EXPECT_EQ(runs, 1);
}

TEST(ledger, another_body_with_the_same_key_is_refused)
{
    store::memory_store store;
    std::atomic<int> runs = 0;
    service_ledger ledger(store, options_for("desk-1", counting_run(runs)));
    submit_and_wait(ledger, key_of(1), "body");
    const call_answer a = submit_and_wait(ledger, key_of(1), "other");
    EXPECT_EQ(a.state, answer_state::not_run);
    EXPECT_EQ(a.cause, answer_cause::key_reused);
    EXPECT_EQ(runs, 1);
}

TEST(ledger, a_new_owner_knows_the_answers_of_the_former)
{
    store::memory_store store;
    std::atomic<int> runs = 0;
    {
        service_ledger first(store, options_for("desk-1", counting_run(runs)));
        submit_and_wait(first, key_of(1), "body");
        first.release();
        while (!first.is_released())
            std::this_thread::sleep_for(1ms);
    }
    service_ledger second(store, options_for("desk-2", counting_run(runs)));
    const call_answer a = submit_and_wait(second, key_of(1), "body");
    EXPECT_EQ(a.state, answer_state::done);
    EXPECT_EQ(a.content.body, "ok body");
    EXPECT_EQ(runs, 1);
}

TEST(ledger, a_call_whose_owner_vanished_is_unknown)
{
    store::memory_store store;
    std::atomic<int> runs = 0;
    service_ledger first(
        store,
        options_for("desk-1", [&](const call&, const auto&) { ++runs; }));
    first.submit({key_of(1), "POST", "/bookings", {}, "body", false, 5s},
                 [](const call_answer&) {});
    while (runs == 0)
        std::this_thread::sleep_for(1ms);
    service_ledger second(store, options_for("desk-2", counting_run(runs)));
    EXPECT_EQ(submit_and_wait(second, key_of(1), "body").cause,
              answer_cause::wrong_owner);
    const call_answer a = submit_and_wait(second, key_of(1), "body", true);
    EXPECT_EQ(a.state, answer_state::unknown);
    EXPECT_EQ(runs, 1);
}

TEST(ledger, nothing_runs_while_the_platform_is_down)
{
    store::memory_store store;
    std::atomic<int> runs = 0;
    service_ledger ledger(store, options_for("desk-1", counting_run(runs)));
    submit_and_wait(ledger, key_of(1), "body");
    store.set_faults({.outage = true});
    EXPECT_EQ(submit_and_wait(ledger, key_of(1), "body").state,
              answer_state::done);
    const call_answer a = submit_and_wait(ledger, key_of(2), "body");
    EXPECT_EQ(a.state, answer_state::not_started);
    EXPECT_EQ(a.cause, answer_cause::unavailable);
    store.set_faults({});
    EXPECT_EQ(submit_and_wait(ledger, key_of(2), "body").state,
              answer_state::done);
    EXPECT_EQ(runs, 2);
}

TEST(ledger, lost_write_answers_run_the_call_once)
{
    store::memory_store store;
    std::atomic<int> runs = 0;
    service_ledger ledger(store, options_for("desk-1", counting_run(runs)));
    submit_and_wait(ledger, key_of(0), "body");
    store.set_faults({.lose_answers = 1});
    EXPECT_EQ(submit_and_wait(ledger, key_of(1), "body").state,
              answer_state::done);
    store.set_faults({.lose_requests = 1});
    EXPECT_EQ(submit_and_wait(ledger, key_of(2), "body").state,
              answer_state::done);
    EXPECT_EQ(runs, 3);
}

TEST(ledger, large_shards_move_to_segments_and_stay_known)
{
    store::memory_store store;
    std::atomic<int> runs = 0;
    ledger_options options = options_for("desk-1", counting_run(runs));
    options.shard.segment_limit_bytes = 2000;
    call_key first = key_of(0);
    {
        service_ledger ledger(store, options);
        for (unsigned i = 0; i < 2000; ++i)
            if (shard_of(key_of(i)) == shard_of(first))
                submit_and_wait(ledger, key_of(i), "body");
    }
    EXPECT_FALSE(store.list(shard_object(desk, shard_of(first)).value + "/")
                     .objects.empty());
    const int before = runs;
    service_ledger second(store, options_for("desk-1", counting_run(runs)));
    EXPECT_EQ(submit_and_wait(second, first, "body").state, answer_state::done);
    EXPECT_EQ(runs, before);
}

answer_state submit_until_settled(service_ledger& ledger, const call_key& key)
{
    const mono_time end = now() + 10s;
    answer_state state = answer_state::not_started;
    while (state == answer_state::not_started && now() < end)
        state = submit_and_wait(ledger, key, "body").state;
    return state;
}

/// Another call of the shard of `key`, not before number `from`.
call_key neighbour_of(const call_key& key, unsigned from)
{
    for (unsigned i = from;; ++i)
        if (shard_of(key_of(i)) == shard_of(key) && key_of(i) != key)
            return key_of(i);
}

TEST(ledger, a_call_does_not_run_again_when_the_store_lost_its_record)
{
    store::memory_store store;
    std::atomic<int> runs = 0;
    service_ledger ledger(store, options_for("desk-1", counting_run(runs)));
    submit_and_wait(ledger, neighbour_of(key_of(1), 1000), "body");
    const auto copy = store.make_copy();
    submit_and_wait(ledger, key_of(1), "body");
    store.restore(copy);
    submit_until_settled(ledger, neighbour_of(key_of(1), 5000));
    EXPECT_EQ(submit_until_settled(ledger, key_of(1)), answer_state::done);
    EXPECT_EQ(runs, 3);
}

TEST(ledger, an_owner_writes_again_what_the_restored_store_lacks)
{
    store::memory_store store;
    std::atomic<int> runs = 0;
    service_ledger owner(store, options_for("desk-1", counting_run(runs)));
    const auto empty = store.make_copy();
    submit_and_wait(owner, key_of(1), "body");
    store.restore(empty);
    const object_key shard = shard_object(desk, shard_of(key_of(1)));
    const auto has_call = [&]
    {
        const store::object o = store.get(shard);
        return !o.value.empty() &&
               !parse_shard_record(o.value, desk).calls.empty();
    };
    const mono_time end = now() + 5s;
    while (!has_call() && now() < end)
        std::this_thread::sleep_for(5ms);
    EXPECT_TRUE(has_call());
}

// The copy names the former owner, which may be alive and ask at once.
TEST(ledger, a_former_owner_in_the_copy_waits_for_the_last_one)
{
    store::memory_store store;
    std::atomic<int> runs = 0;
    service_ledger former(store, options_for("desk-1", counting_run(runs)));
    submit_and_wait(former, neighbour_of(key_of(1), 1000), "body");
    const auto copy = store.make_copy();
    service_ledger last(store, options_for("desk-2", counting_run(runs)));
    submit_and_wait(last, key_of(1), "body", true);
    submit_and_wait(former, key_of(1), "body"); // Learns of the other owner.
    const int before = runs;
    store.set_faults({.outage = true});
    store.restore(copy);
    store.set_faults({});
    const call_answer a = submit_and_wait(former, key_of(1), "body", true);
    EXPECT_NE(a.state, answer_state::not_run);
    EXPECT_EQ(submit_until_settled(last, key_of(1)), answer_state::done);
    EXPECT_EQ(runs, before);
}

} // namespace
} // namespace poplar::ledger
