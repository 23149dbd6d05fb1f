// Guards against sending work to instances that are leaving, draining or
// unreachable, and against removing a connected instance because the platform's
// instance list lags.
#include "entry/membership.hpp"

#include <functional>
#include <gtest/gtest.h>

namespace poplar::entry
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const group_id group("g");

store::instance_record record(const std::string& name, std::uint16_t port)
{
    store::instance_record r;
    r.instance = instance_id(name);
    r.group = group;
    r.address = {"127.0.0.1", port};
    return r;
}

struct fixture
{
    membership table{membership_options{}};
    mono_time time{seconds(100)};
    std::uint64_t connections = 0;

    void open(const std::string& name)
    {
        fb::helloT hello;
        hello.instance = name;
        hello.incarnation = 1;
        table.take_due_connects(time);
        EXPECT_TRUE(
            table.opened(time, instance_id(name), ++connections, hello));
        report(name, {});
    }
    void report(const std::string& name, std::vector<std::uint32_t> shards,
                const std::function<void(fb::load_reportT&)>& change = {})
    {
        fb::load_reportT r;
        r.ready = true;
        r.ledger_shards = std::move(shards);
        if (change)
            change(r);
        const member* m = table.find(instance_id(name));
        table.report(time, instance_id(name), m->connection, r);
    }
    void close(const std::string& name)
    {
        const member* m = table.find(instance_id(name));
        table.closed(time, instance_id(name), m->connection);
    }
    bool is_usable(const std::string& name)
    {
        return table.why_unusable(instance_id(name)) == unusable_reason::none;
    }
};

TEST(membership, instance_missing_from_the_list_stays_while_connected)
{
    fixture f;
    f.table.apply_list(f.time, {record("a", 1), record("b", 2)});
    f.open("a");
    f.table.closed(f.time, instance_id("b"), 0);
    f.table.apply_list(f.time, {});
    EXPECT_TRUE(f.is_usable("a"));
    EXPECT_EQ(f.table.find(instance_id("b")), nullptr);
    f.close("a");
    f.table.apply_list(f.time, {});
    EXPECT_EQ(f.table.find(instance_id("a")), nullptr);
}

struct leaving_case
{
    const char* name;
    std::function<void(fixture&)> leave;
};

class no_new_work : public testing::TestWithParam<leaving_case>
{
};

TEST_P(no_new_work, from_the_same_moment)
{
    fixture f;
    f.table.apply_list(f.time, {record("a", 1)});
    f.open("a");
    ASSERT_TRUE(f.is_usable("a"));
    GetParam().leave(f);
    EXPECT_FALSE(f.is_usable("a"));
    EXPECT_TRUE(f.table.usable(group).empty());
}

void list_as_leaving(fixture& f)
{
    store::instance_record r = record("a", 1);
    r.state = store::instance_state::leaving;
    f.table.apply_list(f.time, {r});
}

INSTANTIATE_TEST_SUITE_P(
    reasons, no_new_work,
    testing::Values(
        leaving_case{"closed",
                     [](fixture& f)
                     {
                         f.close("a");
                     }},
        leaving_case{"listed", list_as_leaving},
        leaving_case{"goaway",
                     [](fixture& f)
                     {
                         f.table.goaway(instance_id("a"), f.connections);
                     }},
        leaving_case{"drained",
                     [](fixture& f)
                     {
                         f.table.apply_drains({instance_id("a")});
                     }},
        leaving_case{"reported",
                     [](fixture& f)
                     {
                         f.report("a", {},
                                  [](fb::load_reportT& r)
                                  { r.state = fb::upstream_state::draining; });
                     }},
        leaving_case{"changing",
                     [](fixture& f)
                     {
                         f.report("a", {},
                                  [](fb::load_reportT& r)
                                  { r.changing = true; });
                     }}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(membership, reconnects_at_once_then_with_growing_backoff)
{
    fixture f;
    f.table.apply_list(f.time, {record("a", 1)});
    f.open("a");
    f.close("a");
    EXPECT_EQ(f.table.take_due_connects(f.time).size(), 1U);
    duration last{};
    for (unsigned n = 0; n < 12; ++n)
    {
        f.table.closed(f.time, instance_id("a"), 0);
        const member* m = f.table.find(instance_id("a"));
        const duration wait = m->next_attempt - f.time;
        EXPECT_GT(wait, duration::zero());
        EXPECT_LE(wait, seconds(2));
        last = wait;
        f.time = m->next_attempt;
        EXPECT_EQ(f.table.take_due_connects(f.time).size(), 1U);
    }
    EXPECT_GE(last, seconds(1));
}

// A process that took over the address of a listed instance must not receive
// that instance's work.
TEST(membership, refuses_a_connection_to_another_instance)
{
    fixture f;
    f.table.apply_list(f.time, {record("a", 1)});
    f.table.take_due_connects(f.time);
    fb::helloT hello;
    hello.instance = "b";
    EXPECT_FALSE(f.table.opened(f.time, instance_id("a"), 1, hello));
}

TEST(membership, late_close_of_an_old_connection_changes_nothing)
{
    fixture f;
    f.table.apply_list(f.time, {record("a", 1)});
    f.open("a");
    EXPECT_FALSE(f.table.closed(f.time, instance_id("a"), 77));
    EXPECT_TRUE(f.is_usable("a"));
}

TEST(membership, owner_is_replaced_only_after_the_silence_timeout)
{
    fixture f;
    const service_id service("g");
    f.table.apply_list(f.time, {record("a", 1), record("b", 2)});
    f.open("a");
    f.open("b");
    f.report("a", {5});
    owner_route r = f.table.route_to_owner(f.time, service, 5, {});
    EXPECT_EQ(r.instance, instance_id("a"));
    EXPECT_FALSE(r.take_over);
    f.close("a");
    r = f.table.route_to_owner(f.time, service, 5, {});
    EXPECT_EQ(r.action, owner_route::action_kind::wait);
    f.time += wire::silence_timeout + milliseconds(1);
    r = f.table.route_to_owner(f.time, service, 5, {});
    EXPECT_EQ(r.action, owner_route::action_kind::send);
    EXPECT_EQ(r.instance, instance_id("b"));
    EXPECT_TRUE(r.take_over);
}

TEST(membership, hint_of_another_instance_names_the_owner)
{
    fixture f;
    f.table.apply_list(f.time, {record("a", 1), record("b", 2)});
    f.open("a");
    f.open("b");
    f.report("a", {5});
    const owner_route r =
        f.table.route_to_owner(f.time, service_id("g"), 5, {"127.0.0.1", 2});
    EXPECT_EQ(r.instance, instance_id("b"));
}

} // namespace
} // namespace poplar::entry
