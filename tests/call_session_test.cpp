// Guards against calls that execute twice because they were sent to a second
// owner while the first may have executed them, and against failures that state
// "not run" when an attempt has no answer that proves it.
#include "entry/call_session.hpp"

#include <gtest/gtest.h>
#include <optional>
#include <rapidcheck/gtest.h>

namespace poplar::entry
{
namespace
{

using std::chrono::milliseconds;

service_call make_call(bool is_once)
{
    service_call c;
    c.service = service_id("s");
    c.is_once = is_once;
    c.key = idempotency_key("k");
    c.deadline = mono_time(std::chrono::seconds(110));
    return c;
}

/// Performs the actions of one session and tracks the outcome of each attempt.
/// Checks at every send and every failure that the session may do that.
struct simulation
{
    struct attempt
    {
        instance_id to;
        std::uint64_t connection;
        std::uint64_t stream;
        bool is_lost = false;
        std::optional<fb::call_state> answered;
    };

    bool is_once;
    mono_time time{std::chrono::seconds(100)};
    std::uint64_t last_stream_number = 0;
    std::uint64_t connections = 100;
    owner_route next{
        owner_route::action_kind::send, instance_id("a"), 1, false, {}};
    std::vector<attempt> attempts;
    unsigned end_count = 0;
    std::optional<failure> failed;
    call_session session;

    explicit simulation(bool once)
        : is_once(once),
          session(make_call(once), {}, [this] { return ++last_stream_number; })
    {
        perform(session.start(time));
    }

    void perform(call_actions actions)
    {
        for (call_action& a : actions)
            std::visit([this](auto& it) { act(it); }, a);
    }
    void act(find_instance&)
    {
        perform(session.routed(time, next));
    }
    void act(send_call& s)
    {
        check_may_send(s.to);
        attempts.push_back({s.to, s.connection, s.call.stream, false, {}});
    }
    void act(answer_call&)
    {
        ++end_count;
    }
    void act(fail_call& f)
    {
        ++end_count;
        failed = f.why;
        check_may_refuse(f.why);
    }
    void act(note_call&) {}

    void check_may_send(const instance_id& to) const
    {
        for (const attempt& c : attempts)
        {
            const bool may_have_executed = !c.answered;
            if (may_have_executed)
                RC_ASSERT(is_once && c.to == to);
        }
    }
    void check_may_refuse(const failure& f) const
    {
        if (f.ran != fb::ran_state::no)
            return;
        for (const attempt& c : attempts)
            RC_ASSERT(c.answered.has_value());
        if (is_once)
            RC_ASSERT(!attempts.empty() &&
                      *attempts.back().answered == fb::call_state::not_run);
    }
    void answer(std::size_t index, fb::call_state state, fb::refusal refusal,
                bool has_hint)
    {
        if (attempts.empty())
            return;
        attempt& c = attempts[index % attempts.size()];
        fb::call_resultT r;
        r.stream = c.stream;
        r.state = state;
        r.refusal = refusal;
        r.status = 200;
        r.owner_address = has_hint ? "127.0.0.1:7" : "";
        const bool has_outcome = c.answered.has_value() || c.is_lost;
        if (!has_outcome && (state == fb::call_state::not_run ||
                             state == fb::call_state::not_started))
            c.answered = state;
        perform(session.result(time, c.connection, r));
    }
    void lose_connection()
    {
        if (attempts.empty())
            return;
        attempt& c = attempts.back();
        c.is_lost = !c.answered;
        perform(session.connection_lost(time, c.connection));
    }
};

struct step
{
    unsigned kind;
    unsigned a;
    unsigned b;
};

void apply(simulation& w, const step& s)
{
    const auto refusal = static_cast<fb::refusal>(s.b % 10);
    const std::string name(1, static_cast<char>('a' + s.b % 3));
    switch (s.kind)
    {
    case 0:
        return w.answer(s.a, static_cast<fb::call_state>(s.b % 5), refusal,
                        s.a % 2 == 0);
    case 1:
        return w.answer(s.a, fb::call_state::not_started,
                        fb::refusal::wrong_owner, s.b % 2 == 0);
    case 2:
        return w.answer(s.a, fb::call_state::not_run, fb::refusal::draining,
                        false);
    case 3:
        return w.lose_connection();
    case 4:
        return w.perform(w.session.connection_ready(w.time, instance_id(name),
                                                    ++w.connections));
    case 5:
        return w.perform(w.session.agent_unreachable(instance_id(name)));
    case 6:
        w.time += milliseconds(s.a);
        return w.perform(w.session.tick(w.time));
    case 7:
        if (!w.attempts.empty() && !w.attempts.back().is_lost)
        {
            const std::uint64_t connection = w.attempts.back().connection;
            if (!w.attempts.back().answered)
                w.attempts.back().answered = fb::call_state::not_started;
            w.perform(w.session.not_sent(w.time, connection));
        }
        return;
    default:
        w.next.instance = instance_id(name);
        w.next.connection = s.a;
        w.next.action = static_cast<owner_route::action_kind>(s.a % 3);
        w.next.wait = milliseconds(s.b % 300);
    }
}

rc::Gen<step> any_step()
{
    return rc::gen::build<step>(
        rc::gen::set(&step::kind, rc::gen::inRange(0U, 9U)),
        rc::gen::set(&step::a, rc::gen::inRange(0U, 400U)),
        rc::gen::set(&step::b, rc::gen::inRange(0U, 300U)));
}

RC_GTEST_PROP(call_session, reaches_a_second_owner_only_after_a_refusal, ())
{
    simulation w(*rc::gen::arbitrary<bool>());
    for (const step& s : *rc::gen::container<std::vector<step>>(any_step()))
        if (!w.session.has_ended())
            apply(w, s);
    w.time += std::chrono::seconds(20);
    w.perform(w.session.tick(w.time));
    RC_ASSERT(w.end_count == 1U);
}

TEST(call_session, lost_repeatable_call_is_not_sent_again)
{
    simulation w(false);
    w.lose_connection();
    ASSERT_TRUE(w.failed.has_value());
    EXPECT_EQ(w.failed->ran, fb::ran_state::unknown);
    EXPECT_EQ(w.attempts.size(), 1U);
}

// A connection may stop delivering data for good while new connections to the
// same instance work.
TEST(call_session, once_call_is_repeated_to_the_same_owner)
{
    simulation w(true);
    w.lose_connection();
    w.perform(w.session.connection_ready(w.time, instance_id("a"), 9));
    ASSERT_EQ(w.attempts.size(), 2U);
    EXPECT_EQ(w.attempts[1].to, instance_id("a"));
    w.answer(1, fb::call_state::done, fb::refusal::none, false);
    EXPECT_EQ(w.end_count, 1U);
    EXPECT_FALSE(w.failed.has_value());
}

TEST(call_session, lost_owner_process_gives_an_unknown_outcome)
{
    simulation w(true);
    w.lose_connection();
    w.perform(w.session.agent_unreachable(instance_id("a")));
    ASSERT_TRUE(w.failed.has_value());
    EXPECT_EQ(w.failed->ran, fb::ran_state::unknown);
    EXPECT_EQ(http_error_of(w.failed->kind).status, 504U);
}

TEST(call_session, wrong_owner_is_followed_at_once)
{
    simulation w(true);
    w.next.instance = instance_id("b");
    w.answer(0, fb::call_state::not_started, fb::refusal::wrong_owner, true);
    ASSERT_EQ(w.attempts.size(), 2U);
    EXPECT_EQ(w.attempts[1].to, instance_id("b"));
}

TEST(call_session, key_with_another_body_is_refused_as_not_run)
{
    simulation w(true);
    w.answer(0, fb::call_state::not_run, fb::refusal::key_reused, false);
    ASSERT_TRUE(w.failed.has_value());
    EXPECT_EQ(http_error_of(w.failed->kind).status, 422U);
    EXPECT_EQ(w.failed->ran, fb::ran_state::no);
}

} // namespace
} // namespace poplar::entry
