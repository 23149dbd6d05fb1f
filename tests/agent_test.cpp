// Guards against lost, repeated or cut streams, orders given without authority,
// and upstreams reached by two agents at once.
#include "agent/agent.hpp"
#include "control/assignments.hpp"
#include "store/memory_store.hpp"
#include "tests/fake_engine.hpp"
#include "tests/fake_entry.hpp"

#include <gtest/gtest.h>
#include <thread>

namespace poplar::agent
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::answer_text;

const ip_address any_port{"127.0.0.1", 0};

fb::open_streamT make_open(std::uint64_t number, std::uint32_t tokens)
{
    fb::open_streamT o;
    o.stream = number;
    o.request = std::make_unique<fb::request_id>(1, number);
    o.attempt = 1;
    o.model = "m";
    o.prompt = "hello";
    o.max_tokens = tokens;
    o.window_bytes = 64 << 10;
    return o;
}

/// Request id that the engine sees for make_open(number).
std::string engine_id(std::uint64_t number)
{
    return engine_request_id({1, number}, attempt_number(1));
}

fb::attachT make_attach(std::uint64_t number, std::uint32_t next)
{
    fb::attachT a;
    a.stream = number;
    a.request = std::make_unique<fb::request_id>(1, number);
    a.attempt = 1;
    a.next_offset = next;
    a.window_bytes = 64 << 10;
    return a;
}

template <class Condition>
bool eventually(Condition condition, duration limit = seconds(8))
{
    const mono_time until = now() + limit;
    while (!condition() && now() < until)
        std::this_thread::sleep_for(milliseconds(5));
    return condition();
}

struct agent_test : testing::Test
{
    store::memory_store store;
    tests::fake_engine engine;
    agent_settings settings;
    std::unique_ptr<agent> subject;
    tests::fake_entry entry;

    agent_test()
    {
        settings.instance = instance_id("e1");
        settings.group = group_id("g");
        settings.upstream = engine.address();
        settings.listen = any_port;
        settings.admin = any_port;
        settings.polls.interval = milliseconds(50);
        settings.polls.report_interval = milliseconds(50);
        settings.streams.keep_time = milliseconds(800);
        settings.streams.token_idle_limit = milliseconds(500);
        settings.orders.drain_time = milliseconds(600);
        settings.orders.retry_interval = milliseconds(100);
        settings.shutdown_limit = seconds(5);
    }

    void start()
    {
        subject = std::make_unique<agent>(settings, store);
        entry.connect(subject->inner_address());
    }

    /// Starts and waits until new work is taken.
    void start_ready()
    {
        start();
        ASSERT_TRUE(entry.wait_report([](const auto& r) { return r.ready; }));
    }

    object_version store_assignment(sheet::engine_role role)
    {
        control::group_assignments all;
        all.epoch = owner_epoch(1);
        all.assignments.push_back({settings.instance,
                                   role,
                                   model_id("m"),
                                   model_version("1"),
                                   {},
                                   {},
                                   ""});
        const auto key = control::assignments_key(settings.group);
        return store.put(key, to_json(all), store.get(key).version).version;
    }

    void send_assignment(std::uint64_t version, fb::engine_role role,
                         fb::upstream_state state = fb::upstream_state::active)
    {
        fb::assignmentT a;
        a.group = settings.group.value;
        a.instance = settings.instance.value;
        a.version = version;
        a.role = role;
        a.model = "m";
        a.model_version = "1";
        a.state = state;
        entry.send(a);
    }
};

TEST_F(agent_test, forwards_a_whole_answer)
{
    start_ready();
    auto open = make_open(1, 50);
    open.resume_tokens = 10;
    entry.send(open);
    ASSERT_TRUE(entry.wait_end(1));
    const auto s = entry.stream(1);
    EXPECT_EQ(s.ends, std::vector{fb::end_reason::complete});
    EXPECT_EQ(s.text, answer_text(10, 50));
    EXPECT_EQ(s.offsets.front(), 10U);
    EXPECT_EQ(s.output_tokens, 50U);
}

TEST_F(agent_test, returns_the_kv_handle_of_a_prefill)
{
    start_ready();
    auto open = make_open(1, 1);
    open.prefill_only = true;
    entry.send(open);
    ASSERT_TRUE(entry.wait_end(1));
    EXPECT_EQ(entry.stream(1).ends, std::vector{fb::end_reason::complete});
    EXPECT_EQ(entry.stream(1).kv_handle, "h1");
}

TEST_F(agent_test, sends_no_more_than_the_window)
{
    start_ready();
    constexpr std::uint32_t tokens = 40000;
    entry.send(make_open(1, tokens));
    std::size_t granted = 64 << 10;
    std::size_t seen = 0;
    while (entry.stream(1).ends.empty())
    {
        std::this_thread::sleep_for(milliseconds(1));
        const std::size_t size = entry.stream(1).text.size();
        ASSERT_LE(size, granted);
        if (size == seen)
            continue;
        fb::window_updateT update;
        update.stream = 1;
        update.bytes = static_cast<std::uint32_t>(size - seen);
        granted += size - seen;
        seen = size;
        entry.send(update);
    }
    EXPECT_EQ(entry.stream(1).text, answer_text(0, tokens));
}

TEST_F(agent_test, resends_from_the_offset_asked_for_after_a_lost_connection)
{
    engine.hold_after = 20;
    start_ready();
    entry.send(make_open(1, 60));
    ASSERT_TRUE(entry.wait_tokens(1, 20));
    entry.disconnect();
    engine.release();
    entry.connect(subject->inner_address());
    entry.send(make_attach(1, 7));
    ASSERT_TRUE(entry.wait_end(1));
    const auto s = entry.stream(1);
    EXPECT_EQ(s.text, answer_text(0, 20) + answer_text(7, 60));
    EXPECT_EQ(engine.runs(engine_id(1)), 1U);
    entry.send(make_attach(99, 0));
    ASSERT_TRUE(entry.wait_end(99));
    EXPECT_EQ(entry.stream(99).ends,
              std::vector{fb::end_reason::unknown_stream});
}

TEST_F(agent_test, runs_a_repeated_open_once)
{
    engine.hold_after = 5;
    start_ready();
    entry.send(make_open(1, 30));
    ASSERT_TRUE(entry.wait_tokens(1, 5));
    entry.send(make_open(1, 30));
    const std::string twice = answer_text(0, 5) + answer_text(0, 5);
    ASSERT_TRUE(eventually(
        [&] { return entry.stream(1).text.size() >= twice.size(); }));
    engine.release();
    ASSERT_TRUE(entry.wait_end(1));
    EXPECT_EQ(entry.stream(1).text, twice + answer_text(5, 30));
    EXPECT_EQ(engine.runs(engine_id(1)), 1U);
}

TEST_F(agent_test, cancels_at_the_engine_when_the_entry_stays_away)
{
    engine.hold_after = 5;
    settings.streams.token_idle_limit = seconds(60);
    start_ready();
    entry.send(make_open(1, 30));
    ASSERT_TRUE(entry.wait_tokens(1, 5));
    const mono_time left = now();
    entry.disconnect();
    ASSERT_TRUE(
        eventually([this] { return engine.was_cancelled(engine_id(1)); }));
    EXPECT_GE(now() - left, settings.streams.keep_time);
}

TEST_F(agent_test, cancels_at_the_engine_when_the_entry_asks)
{
    engine.hold_after = 5;
    start_ready();
    entry.send(make_open(1, 30));
    ASSERT_TRUE(entry.wait_tokens(1, 5));
    fb::cancelT cancel;
    cancel.stream = 1;
    entry.send(cancel);
    EXPECT_TRUE(
        eventually([this] { return engine.was_cancelled(engine_id(1)); }));
    EXPECT_TRUE(entry.stream(1).ends.empty());
}

TEST_F(agent_test, reports_a_frozen_engine_as_lost)
{
    engine.hold_after = 5;
    start_ready();
    entry.send(make_open(1, 30));
    ASSERT_TRUE(entry.wait_end(1));
    EXPECT_EQ(entry.stream(1).ends, std::vector{fb::end_reason::upstream_lost});
    EXPECT_EQ(entry.stream(1).text, answer_text(0, 5));
}

TEST_F(agent_test, never_passes_on_an_answer_with_a_gap)
{
    engine.leaves_out_tokens = true;
    start_ready();
    entry.send(make_open(1, 30));
    ASSERT_TRUE(entry.wait_end(1));
    EXPECT_EQ(entry.stream(1).ends, std::vector{fb::end_reason::upstream_lost});
    EXPECT_EQ(entry.stream(1).text, "");
}

TEST_F(agent_test, refuses_wrong_models_and_unreadable_prompts)
{
    start_ready();
    auto open = make_open(1, 5);
    open.model = "other";
    entry.send(open);
    ASSERT_TRUE(entry.wait_end(1));
    EXPECT_EQ(entry.stream(1).refusal, fb::refusal::no_model);
    open = make_open(2, 5);
    open.prompt = "\xff";
    entry.send(open);
    ASSERT_TRUE(entry.wait_end(2));
    EXPECT_EQ(entry.stream(2).ends, std::vector{fb::end_reason::invalid});
    open = make_open(3, 5);
    open.request.reset();
    entry.send(open);
    ASSERT_TRUE(entry.wait_end(3));
    EXPECT_EQ(engine.total_runs(), 0U);
}

TEST_F(agent_test, refuses_new_work_when_draining)
{
    start_ready();
    send_assignment(5, fb::engine_role::mixed, fb::upstream_state::draining);
    entry.send(make_open(1, 5));
    ASSERT_TRUE(entry.wait_end(1));
    const auto s = entry.stream(1);
    EXPECT_EQ(s.ends, std::vector{fb::end_reason::refused});
    EXPECT_EQ(s.refusal, fb::refusal::draining);
    EXPECT_EQ(s.ran, fb::ran_state::no);
    EXPECT_EQ(engine.total_runs(), 0U);
}

TEST_F(agent_test, lets_streams_end_before_an_order)
{
    engine.hold_after = 5;
    settings.orders.drain_time = seconds(20);
    settings.streams.token_idle_limit = seconds(20);
    start_ready();
    entry.send(make_open(1, 30));
    ASSERT_TRUE(entry.wait_tokens(1, 5));
    send_assignment(100, fb::engine_role::decode);
    ASSERT_TRUE(entry.wait_report([](const auto& r) { return r.changing; }));
    entry.send(make_open(2, 5));
    ASSERT_TRUE(entry.wait_end(2));
    EXPECT_EQ(entry.stream(2).refusal, fb::refusal::not_ready);
    EXPECT_TRUE(engine.orders().empty());
    engine.release();
    ASSERT_TRUE(entry.wait_end(1));
    EXPECT_EQ(entry.stream(1).text, answer_text(0, 30));
    ASSERT_TRUE(entry.wait_report(
        [](const auto& r)
        { return r.ready && r.role == fb::engine_role::decode; }));
    ASSERT_EQ(engine.orders().size(), 1U);
    EXPECT_EQ(engine.orders()[0].at("fencing"), (std::uint64_t(1) << 32) + 1);
    EXPECT_EQ(engine.cut_streams(), 0U);
}

TEST_F(agent_test, hands_streams_back_after_the_drain_time)
{
    engine.hold_after = 5;
    settings.streams.token_idle_limit = seconds(20);
    start_ready();
    entry.send(make_open(1, 30));
    ASSERT_TRUE(entry.wait_tokens(1, 5));
    send_assignment(100, fb::engine_role::decode);
    ASSERT_TRUE(entry.wait_end(1));
    EXPECT_EQ(entry.stream(1).ends, std::vector{fb::end_reason::handed_back});
    ASSERT_TRUE(eventually([this] { return !engine.orders().empty(); }));
    EXPECT_EQ(engine.cut_streams(), 0U);
}

TEST_F(agent_test, repeats_an_order_after_lost_answers_and_a_crash)
{
    engine.loses_order_answers = true;
    start_ready();
    send_assignment(100, fb::engine_role::decode);
    ASSERT_TRUE(eventually([this] { return !engine.orders().empty(); }));
    engine.loses_order_answers = false;
    ASSERT_TRUE(entry.wait_report(
        [](const auto& r)
        { return r.ready && r.role == fb::engine_role::decode; }));
    const std::size_t before = engine.orders().size();
    engine.restart_as("prefill");
    ASSERT_TRUE(eventually([&] { return engine.orders().size() > before; }));
    const auto orders = engine.orders();
    EXPECT_GT(orders.back().at("fencing"), orders.front().at("fencing"));
}

TEST_F(agent_test, serves_but_orders_nothing_during_an_outage_at_start)
{
    const object_version v = store_assignment(sheet::engine_role::decode);
    store::store_faults outage;
    outage.outage = true;
    store.set_faults(outage);
    start_ready();
    entry.send(make_open(1, 5));
    ASSERT_TRUE(entry.wait_end(1));
    EXPECT_EQ(entry.stream(1).text, answer_text(0, 5));
    send_assignment(v.value + 50, fb::engine_role::prefill);
    std::this_thread::sleep_for(milliseconds(400));
    EXPECT_TRUE(engine.orders().empty());
    store.set_faults({});
    ASSERT_TRUE(eventually([this] { return !engine.orders().empty(); }));
    EXPECT_EQ(engine.orders()[0].at("role"), "prefill");
}

TEST_F(agent_test, sends_nothing_upstream_while_another_process_has_the_lock)
{
    wire::file_handle holder = wire::open_listener(any_port);
    settings.slot_lock_port = wire::local_address(holder.get()).port;
    start();
    entry.send(make_open(1, 5));
    ASSERT_TRUE(entry.wait_end(1));
    EXPECT_EQ(entry.stream(1).refusal, fb::refusal::not_ready);
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(engine.requests(), 0U);
    EXPECT_FALSE(subject->is_ready());
    holder.close();
    EXPECT_TRUE(eventually([this] { return subject->is_ready(); }));
}

TEST_F(agent_test, stops_when_a_newer_process_takes_the_slot)
{
    start_ready();
    ASSERT_TRUE(eventually([this] { return store.writes() == 1; }));
    take_slot(store, settings.instance, any_port, "another process");
    ASSERT_TRUE(eventually([this] { return subject->is_superseded(); }));
    entry.send(make_open(1, 5));
    ASSERT_TRUE(entry.wait_end(1));
    EXPECT_EQ(entry.stream(1).refusal, fb::refusal::draining);
    send_assignment(100, fb::engine_role::decode);
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_TRUE(engine.orders().empty());
}

TEST_F(agent_test, takes_its_slot_again_when_a_restored_store_lacks_it)
{
    const auto empty = store.make_copy();
    start_ready();
    ASSERT_TRUE(eventually([this] { return store.writes() == 1; }));
    const agent_incarnation before = read_slot(store, settings.instance);
    store.restore(empty);
    EXPECT_TRUE(eventually(
        [&] { return read_slot(store, settings.instance) > before; }));
    EXPECT_FALSE(subject->is_superseded());
}

TEST_F(agent_test, finishes_open_streams_at_shutdown)
{
    engine.hold_after = 5;
    settings.streams.token_idle_limit = seconds(20);
    start_ready();
    entry.send(make_open(1, 30));
    ASSERT_TRUE(entry.wait_tokens(1, 5));
    std::thread stopper([this] { subject->shut_down(); });
    ASSERT_TRUE(entry.wait_goaway());
    entry.send(make_open(2, 5));
    ASSERT_TRUE(entry.wait_end(2));
    EXPECT_EQ(entry.stream(2).refusal, fb::refusal::draining);
    engine.release();
    stopper.join();
    ASSERT_TRUE(entry.wait_end(1));
    EXPECT_EQ(entry.stream(1).text, answer_text(0, 30));
}

TEST_F(agent_test, hands_streams_back_at_the_shutdown_limit)
{
    engine.hold_after = 5;
    settings.streams.token_idle_limit = seconds(20);
    settings.shutdown_limit = milliseconds(200);
    start_ready();
    entry.send(make_open(1, 30));
    ASSERT_TRUE(entry.wait_tokens(1, 5));
    subject->shut_down();
    ASSERT_TRUE(entry.wait_end(1));
    EXPECT_EQ(entry.stream(1).ends, std::vector{fb::end_reason::handed_back});
}

TEST_F(agent_test, reports_load_cache_events_and_status)
{
    start();
    // Load and state of the engine come from separate reads, in any order.
    ASSERT_TRUE(entry.wait_report(
        [](const auto& r)
        {
            return r.kv_pieces_total == 1000 &&
                   r.role == wire::fb::engine_role::mixed;
        }));
    EXPECT_TRUE(entry.first_report().cache_gap);
    const auto status = nlohmann::json::parse(subject->status_json());
    EXPECT_EQ(status.at("engine").at("role"), "mixed");
    EXPECT_EQ(entry.peer().upstream_kind, "engine");
}

} // namespace
} // namespace poplar::agent
