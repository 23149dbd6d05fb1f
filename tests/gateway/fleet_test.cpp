// Guards against requests to upstreams that are draining or have ended, and
// against dropping live upstreams whose entries expired in a store outage.
#include "gateway/fleet.hpp"

#include <gtest/gtest.h>

namespace poplar::gateway
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

upstream_record record_of(const char* id)
{
    upstream_record r;
    r.id = upstream_id(id);
    r.service = service_id("writers");
    r.address = {"127.0.0.1", 1};
    return r;
}

class fleet_test : public testing::Test
{
protected:
    fleet_test() : upstreams_(loop_, {})
    {
        upstreams_.set_store_connected(true, time_);
        upstreams_.apply(record_of("u"));
    }

    bool is_used(const char* id)
    {
        upstreams_.sweep(time_);
        const upstream_ptr u = upstreams_.find(upstream_id(id));
        return u && u->placed.usable;
    }

    /// Disconnects the gateway from the store and advances the time by
    /// `length`.
    void lose_store(duration length)
    {
        upstreams_.set_store_connected(false, time_);
        time_ += length;
    }

    asio::io_context loop_;
    fleet upstreams_;
    mono_time time_ = mono_time(seconds(100));
};

TEST_F(fleet_test, drops_an_upstream_whose_entry_is_removed)
{
    upstreams_.remove(upstream_id("u"), time_);
    EXPECT_FALSE(is_used("u"));
}

TEST_F(fleet_test, drops_an_upstream_that_drains)
{
    upstream_record r = record_of("u");
    r.state = upstream_state::draining;
    upstreams_.apply(r);
    EXPECT_FALSE(is_used("u"));
}

// A store connection that stalled for two seconds must not make a removal soon
// afterwards count as an expired entry: requests then reached the upstream for
// too long.
TEST_F(fleet_test, takes_no_removal_for_a_lapse_after_a_short_loss)
{
    lose_store(milliseconds(2500));
    upstreams_.set_store_connected(true, time_);
    time_ += milliseconds(100);
    upstreams_.remove(upstream_id("u"), time_);
    EXPECT_FALSE(is_used("u"));
}

TEST_F(fleet_test, keeps_a_lapsed_upstream_until_it_may_be_back)
{
    lose_store(seconds(8));
    upstreams_.remove(upstream_id("u"), time_);
    upstreams_.set_store_connected(true, time_);
    EXPECT_TRUE(is_used("u"));
    time_ += milliseconds(1900);
    EXPECT_TRUE(is_used("u"));
    time_ += milliseconds(300);
    EXPECT_FALSE(is_used("u"));
}

TEST_F(fleet_test, keeps_a_lapsed_upstream_that_registers_again)
{
    lose_store(seconds(8));
    upstreams_.remove(upstream_id("u"), time_);
    upstreams_.set_store_connected(true, time_);
    time_ += seconds(1);
    upstreams_.apply(record_of("u"));
    time_ += seconds(5);
    EXPECT_TRUE(is_used("u"));
}

TEST_F(fleet_test, drops_a_draining_upstream_whose_entry_lapses)
{
    upstream_record r = record_of("u");
    r.state = upstream_state::draining;
    upstreams_.apply(r);
    lose_store(seconds(8));
    upstreams_.remove(upstream_id("u"), time_);
    EXPECT_FALSE(is_used("u"));
}

TEST_F(fleet_test, takes_a_restart_under_the_same_id_for_another_process)
{
    const upstream_ptr before = upstreams_.find(upstream_id("u"));
    before->placed.cache.set_capacity(token_count(1000));
    const policy::prefix_block part{1, token_count(100)};
    before->placed.cache.add({&part, 1}, time_);
    upstream_record r = record_of("u");
    r.started_ms = 5;
    upstreams_.apply(r);
    const upstream_ptr after = upstreams_.find(upstream_id("u"));
    EXPECT_NE(before, after);
    EXPECT_EQ(after->placed.cache.size(), 0U);
    EXPECT_FALSE(before->placed.usable);
}

// The copy names the process that ran under the id before.
TEST_F(fleet_test, keeps_a_restarted_upstream_when_the_store_is_restored)
{
    upstream_record restarted = record_of("u");
    restarted.started_ms = 1;
    upstreams_.apply(restarted);
    upstreams_.set_store_restored(now());
    upstreams_.apply(record_of("u"));
    EXPECT_TRUE(is_used("u"));
    const upstream_ptr u = upstreams_.find(upstream_id("u"));
    ASSERT_TRUE(u);
    EXPECT_EQ(u->record.started_ms, 1);
}

// A peer gateway may see a store change that this gateway misses.
TEST_F(fleet_test, does_not_use_an_upstream_while_others_report_that_it_leaves)
{
    const upstream_process reported{upstreams_.find(upstream_id("u"))->key, 0};
    upstreams_.apply_reported_leaving({&reported, 1}, time_);
    EXPECT_FALSE(is_used("u"));
    time_ += milliseconds(1500);
    upstreams_.apply_reported_leaving({&reported, 1}, time_);
    time_ += milliseconds(1500);
    EXPECT_FALSE(is_used("u"));
    time_ += seconds(1);
    EXPECT_TRUE(is_used("u"));
}

TEST_F(fleet_test, uses_the_next_process_under_an_id_that_is_reported_leaving)
{
    const upstream_process earlier{upstreams_.find(upstream_id("u"))->key, -1};
    upstreams_.apply_reported_leaving({&earlier, 1}, time_);
    EXPECT_TRUE(is_used("u"));
}

struct leaving_case
{
    const char* name;
    std::function<void(fleet&, mono_time)> leave;
    bool is_reported;
    seconds later{0};
};

class reported_upstream : public fleet_test,
                          public testing::WithParamInterface<leaving_case>
{
};

TEST_P(reported_upstream, is_what_drains_or_has_ended)
{
    GetParam().leave(upstreams_, time_);
    time_ += GetParam().later;
    upstreams_.sweep(time_);
    EXPECT_EQ(!upstreams_.leaving(10, time_).empty(), GetParam().is_reported);
}

void drain_u(fleet& f, mono_time)
{
    upstream_record r = record_of("u");
    r.state = upstream_state::draining;
    f.apply(r);
}

void remove_u(fleet& f, mono_time now)
{
    f.remove(upstream_id("u"), now);
}

void remove_and_register_u(fleet& f, mono_time now)
{
    f.remove(upstream_id("u"), now);
    f.apply(record_of("u"));
}

void say_leaving(fleet& f, mono_time now)
{
    answer_info a;
    a.is_leaving = true;
    f.note_answer(*f.find(upstream_id("u")), a, now, now);
}

INSTANTIATE_TEST_SUITE_P(
    ways, reported_upstream,
    testing::Values(leaving_case{"ready", [](fleet&, mono_time) {}, false},
                    leaving_case{"draining", drain_u, true},
                    leaving_case{"said_in_answer", say_leaving, true},
                    leaving_case{"removed", remove_u, true, seconds(9)},
                    leaving_case{"long_removed", remove_u, false, seconds(11)},
                    leaving_case{"registered_again", remove_and_register_u,
                                 false}),
    [](const auto& it) { return it.param.name; });

answer_info answer_with_limit(std::optional<double> per_second,
                              unsigned status = 200)
{
    answer_info a;
    a.status = status;
    a.request_limit = per_second;
    return a;
}

struct limit_case
{
    const char* name;
    std::function<void(fleet&, mono_time)> learn;
    bool is_limited;
};

class limited_upstream : public fleet_test,
                         public testing::WithParamInterface<limit_case>
{
};

TEST_P(limited_upstream, is_known_by_its_process)
{
    GetParam().learn(upstreams_, time_);
    const upstream_ptr u = upstreams_.find(upstream_id("u"));
    EXPECT_EQ(u->limit->is_active(), GetParam().is_limited);
}

void announce_limit(fleet& f, mono_time now)
{
    f.note_answer(*f.find(upstream_id("u")), answer_with_limit(3), now, now);
}

void announce_and_register(fleet& f, mono_time now, std::int64_t started_ms)
{
    announce_limit(f, now);
    f.remove(upstream_id("u"), now);
    upstream_record r = record_of("u");
    r.started_ms = started_ms;
    f.apply(r);
}

INSTANTIATE_TEST_SUITE_P(
    ways, limited_upstream,
    testing::Values(
        limit_case{"announced", announce_limit, true},
        limit_case{"registered_again",
                   [](fleet& f, mono_time now)
                   { announce_and_register(f, now, 0); },
                   true},
        limit_case{"restarted",
                   [](fleet& f, mono_time now)
                   { announce_and_register(f, now, 5); },
                   false},
        limit_case{"announced_while_its_entry_is_missing",
                   [](fleet& f, mono_time)
                   {
                       const upstream_ptr u = f.find(upstream_id("u"));
                       // `apply` reads the clock itself.
                       const mono_time at = poplar::now();
                       f.remove(upstream_id("u"), at);
                       f.note_answer(*u, answer_with_limit(3), at, at);
                       f.apply(record_of("u"));
                   },
                   true},
        limit_case{"ended_by_a_call_begun_before_its_entry_was_missing",
                   [](fleet& f, mono_time now)
                   {
                       const upstream_ptr u = f.find(upstream_id("u"));
                       announce_and_register(f, now, 0);
                       f.note_answer(*u, answer_with_limit({}), now, now);
                   },
                   false},
        limit_case{"announced_by_another_process_at_the_address",
                   [](fleet& f, mono_time now)
                   {
                       f.note_answer(*f.find(upstream_id("u")),
                                     answer_with_limit(3, 421), now, now);
                   },
                   false},
        limit_case{"reported_by_a_peer",
                   [](fleet& f, mono_time now)
                   {
                       const announced_limit it{
                           f.find(upstream_id("u"))->key, 0, 3, {}};
                       f.apply_reported_limits({&it, 1}, now);
                   },
                   true},
        limit_case{"reported_for_another_process",
                   [](fleet& f, mono_time now)
                   {
                       const announced_limit it{
                           f.find(upstream_id("u"))->key, 4, 3, {}};
                       f.apply_reported_limits({&it, 1}, now);
                   },
                   false}),
    [](const auto& it) { return it.param.name; });

// News that came from a peer would return to it as if they were newer.
TEST_F(fleet_test, reports_only_limits_that_it_learned_itself)
{
    const announced_limit reported{
        upstreams_.find(upstream_id("u"))->key, 0, 3, {}};
    upstreams_.apply_reported_limits({&reported, 1}, time_);
    EXPECT_TRUE(upstreams_.announced_limits(10, time_).empty());
    time_ += seconds(1);
    announce_limit(upstreams_, time_);
    ASSERT_EQ(upstreams_.announced_limits(10, time_).size(), 1U);
    EXPECT_EQ(upstreams_.announced_limits(10, time_)[0].per_second, 3.0);
}

struct connections_case
{
    const char* name;
    std::size_t gateways;
    std::uint32_t max_connections;
};

class connection_limit : public fleet_test,
                         public testing::WithParamInterface<connections_case>
{
};

// Upstreams reset the connections beyond their limit, whichever gateway opened
// them.
TEST_P(connection_limit, holds_for_all_gateways_together)
{
    configuration config;
    config.services.push_back(
        {service_id("writers"), GetParam().max_connections, {}});
    upstreams_.configure(config);
    std::vector<std::string> peers(GetParam().gateways - 1);
    upstreams_.set_gateways("self", peers, time_);
    upstreams_.apply(record_of("v"));
    for (const char* id : {"u", "v"})
    {
        const unsigned limit = upstreams_.find(upstream_id(id))
                                   ->connections.limits()
                                   .max_open_connections;
        EXPECT_LE(limit * GetParam().gateways, GetParam().max_connections);
        EXPECT_GE(limit, 4U);
    }
}

INSTANTIATE_TEST_SUITE_P(sizes, connection_limit,
                         testing::Values(connections_case{"one", 1, 96},
                                         connections_case{"five", 5, 370},
                                         connections_case{"tens", 24, 460},
                                         connections_case{"many", 68, 730}),
                         [](const auto& it) { return it.param.name; });

TEST_F(fleet_test, pauses_an_upstream_that_cannot_be_reached)
{
    const upstream_ptr u = upstreams_.find(upstream_id("u"));
    u->health.record_unreachable(time_);
    EXPECT_FALSE(is_used("u"));
    time_ += seconds(1);
    EXPECT_TRUE(is_used("u"));
}

/// Six engines, of which the first takes twice as long as expected in the calls
/// of this gateway or in those that a peer reports.
class measured_fleet : public fleet_test
{
protected:
    measured_fleet()
    {
        for (int i = 0; i < 6; ++i)
            upstreams_.apply(record_of(id(i).c_str()));
    }

    static std::string id(int i)
    {
        return "e" + std::to_string(i);
    }

    void report(std::int64_t started_ms)
    {
        std::vector<policy::speed_measurement> reported;
        reported.reserve(6);
        for (int i = 0; i < 6; ++i)
            reported.push_back(
                {{digest(id(i)), started_ms}, i == 0 ? 80.0 : 40.0, 40});
        upstreams_.apply_reported_speeds("peer", 1, reported, time_);
    }

    double speed(int i)
    {
        time_ += seconds(1);
        upstreams_.update_speeds(time_);
        return upstreams_.find(upstream_id(id(i)))->placed.speed;
    }
};

TEST_F(measured_fleet, has_the_speeds_that_its_calls_show)
{
    policy::placement_choice choice;
    choice.prefill_seconds = 0.1;
    for (int n = 0; n < 40; ++n)
        for (int i = 0; i < 6; ++i)
            upstreams_.note_prefill(*upstreams_.find(upstream_id(id(i))),
                                    choice, i == 0 ? 0.2 : 0.1, time_);
    EXPECT_EQ(upstreams_.measured_speeds(time_, 4, time_).size(), 4U);
    EXPECT_LT(speed(0), 0.7);
    EXPECT_NEAR(speed(1), 1, 0.15);
    // With the speed in the forecast the calls take as long as expected, which
    // must not make the engine look as fast as the others.
    time_ += seconds(60);
    const double slow = 0.5;
    choice.speed = slow;
    choice.prefill_seconds = 0.1 / slow;
    for (int n = 0; n < 40; ++n)
        upstreams_.note_prefill(*upstreams_.find(upstream_id(id(0))), choice,
                                0.2, time_);
    choice.speed = 1;
    choice.prefill_seconds = 0.1;
    for (int n = 0; n < 40; ++n)
        for (int i = 1; i < 6; ++i)
            upstreams_.note_prefill(*upstreams_.find(upstream_id(id(i))),
                                    choice, 0.1, time_);
    EXPECT_LT(speed(0), 0.7);
}

// The time of such a call depends on the engine that has the KV cache.
TEST_F(measured_fleet, does_not_measure_calls_that_fetch_or_wait)
{
    policy::placement_choice choice;
    choice.prefill_seconds = 0.1;
    choice.source = 1;
    const upstream_ptr u = upstreams_.find(upstream_id(id(0)));
    upstreams_.note_prefill(*u, choice, 0.2, time_);
    choice.source = std::nullopt;
    choice.hold_seconds = 0.1;
    upstreams_.note_prefill(*u, choice, 0.2, time_);
    EXPECT_TRUE(upstreams_.measured_speeds(time_, 4, time_).empty());
}

// What peers measured at an earlier process once applied to the next one.
TEST_F(measured_fleet, has_reported_speeds_of_the_present_processes_only)
{
    report(5);
    EXPECT_EQ(speed(0), 1);
    report(record_of("e0").started_ms);
    EXPECT_LT(speed(0), 0.7);
    upstream_record restarted = record_of("e0");
    restarted.started_ms = 9;
    upstreams_.apply(restarted);
    EXPECT_EQ(speed(0), 1);
}

TEST_F(measured_fleet, forgets_the_speeds_of_a_silent_gateway)
{
    report(record_of("e0").started_ms);
    EXPECT_LT(speed(0), 0.7);
    upstreams_.forget_reported_speeds("peer");
    EXPECT_EQ(speed(0), 1);
}

} // namespace
} // namespace poplar::gateway
