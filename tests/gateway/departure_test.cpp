// Guards against requests to an upstream that is known to leave: calls that
// were begun before, entries that return, and answers of the next process.
#include "gateway/fleet.hpp"

#include <gtest/gtest.h>

namespace poplar::gateway
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t first_write = 10;
/// Start of the next process, after all requests of the test; Unix time in ms.
constexpr std::int64_t next_start = 4'000'000'000'000;

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct entry
{
    upstream_state state = upstream_state::ready;
    std::uint64_t write_number = first_write;
    std::int64_t started_ms = 1;
};

upstream_record record_of(const entry& e)
{
    upstream_record r;
    r.id = upstream_id("u");
    r.service = service_id("writers");
    r.address = {"127.0.0.1", 1};
    r.state = e.state;
    r.write_number = e.write_number;
    r.started_ms = e.started_ms;
    return r;
}

class departure_test : public testing::Test
{
protected:
    departure_test() : upstreams_(loop_, {})
    {
        upstreams_.set_store_connected(true, now());
        put({});
    }

    upstream_ptr find() const
    {
        return upstreams_.find(upstream_id("u"));
    }
    bool is_used()
    {
        upstreams_.sweep(now());
        const upstream_ptr u = find();
        return u && u->placed.usable && upstreams_.begin_call(u).may_send();
    }
    void put(const entry& e)
    {
        upstreams_.apply(record_of(e));
    }
    void drain()
    {
        put({upstream_state::draining, first_write + 1});
    }
    void remove()
    {
        upstreams_.remove(upstream_id("u"), now());
    }
    void say_leaving()
    {
        say_leaving(find(), now());
    }
    void say_leaving(const upstream_ptr& u, mono_time sent)
    {
        answer_info a;
        a.status = 200;
        a.is_leaving = true;
        upstreams_.note_answer(*u, a, sent, now());
    }

    asio::io_context loop_;
    fleet upstreams_;
};

struct connecting_case
{
    const char* name;
    std::function<void(fleet&)> change;
    bool is_sent;
};

class connecting_call : public departure_test,
                        public testing::WithParamInterface<connecting_case>
{
};

// Connecting takes up to 400 ms, in which the entry may change.
TEST_P(connecting_call, is_not_sent_once_its_upstream_leaves)
{
    const call_hooks hooks = upstreams_.begin_call(find());
    GetParam().change(upstreams_);
    EXPECT_EQ(hooks.may_send(), GetParam().is_sent);
}

INSTANTIATE_TEST_SUITE_P(
    changes, connecting_call,
    testing::Values(
        connecting_case{"entry_written_again",
                        [](fleet& f) {
                            f.apply(record_of({upstream_state::ready, 11}));
                        },
                        true},
        connecting_case{"entry_drains",
                        [](fleet& f) {
                            f.apply(record_of({upstream_state::draining, 11}));
                        },
                        false},
        connecting_case{"entry_removed",
                        [](fleet& f) { f.remove(upstream_id("u"), now()); },
                        false},
        connecting_case{
            "process_replaced",
            [](fleet& f) {
                f.apply(record_of({upstream_state::ready, 1, next_start}));
            },
            false},
        connecting_case{"said_in_another_answer",
                        [](fleet& f)
                        {
                            answer_info a;
                            a.is_leaving = true;
                            f.note_answer(*f.find(upstream_id("u")), a, now(),
                                          now());
                        },
                        false},
        connecting_case{
            "reported_by_a_peer",
            [](fleet& f)
            {
                const upstream_process p{f.find(upstream_id("u"))->key, 1};
                f.apply_reported_leaving({&p, 1}, now());
            },
            false}),
    [](const auto& it) { return it.param.name; });

enum class departure_way
{
    drains,
    removed,
    said
};

struct returned_case
{
    const char* name;
    departure_way way;
    std::vector<entry> later; ///< Entries that are written afterwards.
    bool is_used;
};

class returned_entry : public departure_test,
                       public testing::WithParamInterface<returned_case>
{
};

// A write of the upstream may reach the store after a later one.
TEST_P(returned_entry, does_not_bring_back_a_process_that_leaves)
{
    switch (GetParam().way)
    {
    case departure_way::drains:
        drain();
        break;
    case departure_way::removed:
        remove();
        break;
    case departure_way::said:
        say_leaving();
        break;
    }
    for (const entry& it : GetParam().later)
        put(it);
    EXPECT_EQ(is_used(), GetParam().is_used);
}

// A removed process is used again only by a write that is newer than the last
// known one; an entry without write numbers is taken as it is.
INSTANTIATE_TEST_SUITE_P(
    writes, returned_entry,
    testing::Values(returned_case{"drains_then_earlier_write",
                                  departure_way::drains,
                                  {{upstream_state::ready, first_write}},
                                  false},
                    returned_case{"drains_then_later_write",
                                  departure_way::drains,
                                  {{upstream_state::ready, first_write + 2}},
                                  false},
                    returned_case{"drains_then_restart",
                                  departure_way::drains,
                                  {{upstream_state::ready, 1, next_start}},
                                  true},
                    returned_case{"removed_then_same_write",
                                  departure_way::removed,
                                  {{upstream_state::ready, first_write}},
                                  false},
                    returned_case{"removed_then_earlier_write",
                                  departure_way::removed,
                                  {{upstream_state::ready, first_write - 1}},
                                  false},
                    returned_case{"removed_then_earlier_and_later_write",
                                  departure_way::removed,
                                  {{upstream_state::ready, first_write - 1},
                                   {upstream_state::ready, first_write + 1}},
                                  true},
                    returned_case{"removed_then_later_write",
                                  departure_way::removed,
                                  {{upstream_state::ready, first_write + 1}},
                                  true},
                    returned_case{"removed_then_unnumbered_write",
                                  departure_way::removed,
                                  {{upstream_state::ready, 0}},
                                  true},
                    returned_case{"removed_then_restart",
                                  departure_way::removed,
                                  {{upstream_state::ready, 1, next_start}},
                                  true},
                    returned_case{"said_then_later_write",
                                  departure_way::said,
                                  {{upstream_state::ready, first_write + 1}},
                                  false},
                    returned_case{"said_then_restart",
                                  departure_way::said,
                                  {{upstream_state::ready, 1, next_start}},
                                  true}),
    [](const auto& it) { return it.param.name; });

TEST_F(departure_test, a_draining_process_that_was_removed_does_not_return)
{
    drain();
    remove();
    put({upstream_state::ready, first_write + 2});
    EXPECT_FALSE(is_used());
}

// An entry that returns in an outage of the store must not return with the
// knowledge of an earlier write.
TEST_F(departure_test, an_earlier_write_does_not_change_the_stage)
{
    upstream_record r = record_of({upstream_state::ready, first_write + 1});
    r.stage = engine_stage::decode;
    upstreams_.apply(r);
    r.write_number = first_write;
    r.stage = engine_stage::prefill;
    upstreams_.apply(r);
    EXPECT_EQ(find()->record.stage, engine_stage::decode);
}

class replaced_process : public departure_test,
                         public testing::WithParamInterface<bool>
{
};

TEST_P(replaced_process, does_not_return_by_a_late_write)
{
    if (GetParam())
        remove();
    put({upstream_state::ready, 1, next_start});
    put({upstream_state::ready, first_write + 5});
    ASSERT_TRUE(find());
    EXPECT_EQ(find()->record.started_ms, next_start);
    EXPECT_TRUE(is_used());
}

INSTANTIATE_TEST_SUITE_P(ways, replaced_process, testing::Bool(),
                         [](const auto& it)
                         { return it.param ? "removed_before" : "replaced"; });

struct next_process_case
{
    const char* name;
    /// When the request was sent, from the start of the next process.
    duration sent_after_start;
    bool is_entry_first; ///< Its entry arrives before the answer.
    bool is_used;
};

class next_process : public departure_test,
                     public testing::WithParamInterface<next_process_case>
{
};

// The upstream starts again under its id and address; this gateway hears of the
// entry only after it has sent requests to the new process.
TEST_P(next_process, is_not_used_once_its_answer_says_that_it_leaves)
{
    const next_process_case& c = GetParam();
    const mono_time sent = now() - milliseconds(200);
    const std::int64_t started_ms =
        unix_ms() - 200 - to_milliseconds(c.sent_after_start);
    const upstream_ptr called = find();
    if (!c.is_entry_first)
        say_leaving(called, sent);
    put({upstream_state::ready, 1, started_ms});
    if (c.is_entry_first)
        say_leaving(called, sent);
    EXPECT_EQ(is_used(), c.is_used);
}

INSTANTIATE_TEST_SUITE_P(
    orders, next_process,
    testing::Values(
        next_process_case{"answered_then_entry", seconds(1), false, false},
        next_process_case{"entry_then_answered", seconds(1), true, false},
        next_process_case{"earlier_process_answered_then_entry", -seconds(1),
                          false, true},
        next_process_case{"entry_then_earlier_process_answered", -seconds(1),
                          true, true}),
    [](const auto& it) { return it.param.name; });

struct reported_case
{
    const char* name;
    bool is_connected;       ///< To the store.
    duration sweep_interval; ///< Longer while the process is suspended.
    duration checked_after;
    bool is_used;
};

class reported_departure : public departure_test,
                           public testing::WithParamInterface<reported_case>
{
};

// The report of a peer was forgotten after 2 s, also by a gateway that is cut
// off from the store and knows an entry from before the departure.
TEST_P(reported_departure, holds_while_the_store_is_not_connected)
{
    const reported_case& c = GetParam();
    const mono_time start = now();
    upstreams_.set_store_connected(c.is_connected, start);
    upstreams_.sweep(start);
    const upstream_process process{find()->key, 1};
    upstreams_.apply_reported_leaving({&process, 1}, start);
    for (duration t = c.sweep_interval; t <= c.checked_after;
         t += c.sweep_interval)
        upstreams_.sweep(start + t);
    EXPECT_EQ(find()->placed.usable, c.is_used);
}

INSTANTIATE_TEST_SUITE_P(
    outages, reported_departure,
    testing::Values(
        reported_case{"connected", true, milliseconds(250), seconds(3), true},
        reported_case{"connected_at_first", true, milliseconds(250),
                      milliseconds(1500), false},
        reported_case{"cut_off", false, milliseconds(250), seconds(30), false},
        reported_case{"cut_off_and_suspended", false, seconds(10), seconds(30),
                      false}),
    [](const auto& it) { return it.param.name; });

TEST_F(departure_test, a_report_ends_when_the_store_is_back)
{
    const mono_time start = now();
    upstreams_.set_store_connected(false, start);
    const upstream_process process{find()->key, 1};
    upstreams_.apply_reported_leaving({&process, 1}, start);
    upstreams_.sweep(start + seconds(10));
    ASSERT_FALSE(find()->placed.usable);
    upstreams_.set_store_connected(true, start + seconds(10));
    upstreams_.sweep(start + seconds(13));
    EXPECT_TRUE(find()->placed.usable);
}

// Another process may answer at an address that was given out again.
TEST_F(departure_test, a_misdirected_request_says_nothing_of_the_upstream)
{
    answer_info a;
    a.status = 421;
    a.is_leaving = true;
    upstreams_.note_answer(*find(), a, now(), now());
    EXPECT_TRUE(is_used());
}

} // namespace
} // namespace poplar::gateway
