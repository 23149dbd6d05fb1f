// Guards against answers with missing or repeated text, or with text of another
// request, when connections, agents and engines fail and frames are delayed,
// reordered or duplicated. Also guards against failures that report "not run"
// for a request that was sent to an engine.
#include "entry/stream_session.hpp"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace poplar::entry
{
namespace
{

using std::chrono::milliseconds;

constexpr unsigned engine_count = 3;

std::string token(std::uint64_t request, std::uint32_t index)
{
    return "r" + std::to_string(request) + "t" + std::to_string(index) + " ";
}

/// Agent and engine as seen by one session.
struct fake_agent
{
    std::uint64_t connection = 1;
    bool is_up = true;
    std::uint64_t stream = 0;
    std::uint32_t attempt = 0;
    std::uint32_t produced = 0;     ///< Offset of the next token.
    std::uint32_t total_tokens = 0; ///< Length of the complete answer.
    std::int64_t window = 0;
    bool has_stream = false; ///< An attach request succeeds.
    bool prefills = false;
};

/// One session with a fake caller and fake agents.
struct session_harness
{
    std::uint64_t request;
    std::uint32_t length;
    std::vector<fake_agent> agents{engine_count};
    using frame = std::variant<fb::stream_dataT, fb::stream_endT>;
    std::deque<std::pair<std::uint64_t, frame>> wire; ///< By connection.
    mono_time time{milliseconds(1000)};
    std::uint64_t last_number;
    std::uint64_t last_connection;
    std::string answer;
    std::size_t unread = 0;
    unsigned ends = 0;
    std::optional<failure> failed;
    stream_session session;

    session_harness(std::uint64_t id, std::uint32_t tokens, bool split)
        : request(id), length(tokens), last_number(id << 32),
          last_connection(id << 32),
          session(make_request(id, tokens, split), {},
                  [this] { return ++last_number; })
    {
        for (fake_agent& a : agents)
            a.connection = ++last_connection;
        run(session.start(time));
    }

    static generation_request make_request(std::uint64_t id,
                                           std::uint32_t tokens, bool split)
    {
        generation_request g;
        g.id = {0, id};
        g.max_tokens = tokens;
        g.split = split;
        g.deadline = mono_time(std::chrono::seconds(600));
        return g;
    }

    static instance_id name(std::size_t i)
    {
        return instance_id("e" + std::to_string(i));
    }

    fake_agent* with_connection(std::uint64_t connection)
    {
        auto it =
            std::ranges::find(agents, connection, &fake_agent::connection);
        return it != agents.end() && it->is_up ? &*it : nullptr;
    }

    placement_result place(const choose_upstream& c)
    {
        for (std::size_t i = 0; i < agents.size(); ++i)
        {
            const std::size_t at = (i + last_number) % agents.size();
            if (agents[at].is_up && std::ranges::count(c.avoid, name(at)) == 0)
                return placement{name(at), agents[at].connection};
        }
        return no_placement{};
    }

    void run(stream_actions actions)
    {
        for (stream_action& a : actions)
            std::visit([this](auto& it) { act(it); }, a);
    }
    void act(choose_upstream& c)
    {
        run(session.placed(time, place(c)));
    }
    void act(send_message& m)
    {
        if (fake_agent* agent = with_connection(m.connection))
            std::visit([&](auto& it) { on_message(*agent, it); }, m.message);
    }
    void act(deliver_text& d)
    {
        answer += d.text;
        unread += d.text.size();
    }
    void act(end_answer&)
    {
        ++ends;
    }
    void act(fail_answer& f)
    {
        ++ends;
        failed = f.why;
    }
    void act(record_event&) {}

    static void on_message(fake_agent& a, fb::open_streamT& open)
    {
        a.stream = open.stream;
        a.attempt = open.attempt;
        a.produced = open.resume_tokens;
        a.total_tokens = open.max_tokens;
        a.window = open.window_bytes;
        a.has_stream = true;
        a.prefills = open.prefill_only;
    }
    void on_message(fake_agent& a, fb::attachT& attach)
    {
        if (a.has_stream && a.stream == attach.stream)
        {
            a.produced = attach.next_offset;
            a.window = attach.window_bytes;
            return;
        }
        finish(a, fb::end_reason::unknown_stream, attach.stream,
               attach.attempt);
    }
    static void on_message(fake_agent& a, fb::window_updateT& update)
    {
        if (a.stream == update.stream)
            a.window += update.bytes;
    }
    static void on_message(fake_agent& a, fb::cancelT& cancel)
    {
        if (a.stream == cancel.stream)
            a.has_stream = false;
    }

    void finish(fake_agent& a, fb::end_reason reason, std::uint64_t stream,
                std::uint32_t attempt)
    {
        fb::stream_endT end;
        end.stream = stream;
        end.attempt = attempt;
        end.reason = reason;
        end.output_tokens = length;
        if (a.prefills && reason == fb::end_reason::complete)
            end.kv = std::make_unique<fb::kv_sourceT>();
        wire.emplace_back(a.connection, std::move(end));
    }
    /// The engine sends up to `tokens` tokens, or the end of its stream.
    void produce(fake_agent& a, std::uint32_t tokens)
    {
        if (!a.is_up || !a.has_stream)
            return;
        if (a.prefills || a.produced == a.total_tokens)
            return finish(a, fb::end_reason::complete, a.stream, a.attempt);
        fb::stream_dataT data;
        data.stream = a.stream;
        data.attempt = a.attempt;
        data.offset = a.produced;
        for (; data.tokens < tokens && a.produced < a.total_tokens &&
               a.window > 0;
             ++data.tokens, ++a.produced)
        {
            data.text += token(request, a.produced);
            a.window -= static_cast<std::int64_t>(data.text.size());
        }
        if (data.tokens > 0)
            wire.emplace_back(a.connection, std::move(data));
    }
    void end_stream(fake_agent& a, fb::end_reason reason)
    {
        if (a.is_up && a.has_stream)
            finish(a, reason, a.stream, a.attempt);
        a.has_stream = false;
    }
    void receive(std::uint64_t connection, const frame& f)
    {
        if (const auto* data = std::get_if<fb::stream_dataT>(&f))
            run(session.data(time, connection, *data));
        else
            run(session.end(time, connection, std::get<fb::stream_endT>(f)));
    }
    /// Delivers a pending frame; may keep a copy to deliver it again.
    void deliver(std::size_t index, bool keeps_copy)
    {
        if (wire.empty())
            return;
        index %= wire.size();
        const auto [connection, f] = wire[index];
        if (!keeps_copy)
            wire.erase(wire.begin() + static_cast<std::ptrdiff_t>(index));
        receive(connection, f);
    }
    void lose_connection(std::size_t i)
    {
        fake_agent& a = agents[i];
        const std::uint64_t old =
            std::exchange(a.connection, ++last_connection);
        a.is_up = false;
        run(session.connection_lost(time, old));
    }
    void reconnect(std::size_t i, bool restarted)
    {
        fake_agent& a = agents[i];
        if (a.is_up)
            return;
        a.is_up = true;
        if (restarted)
            a.has_stream = false;
        run(session.connection_ready(time, name(i), a.connection));
    }
    void read(std::size_t bytes)
    {
        bytes = std::min(bytes, unread);
        unread -= bytes;
        run(session.caller_read(bytes));
    }
    void advance(milliseconds d)
    {
        time += d;
        run(session.tick(time));
    }
    std::string expected() const
    {
        std::string text;
        for (std::uint32_t i = 0; i < length; ++i)
            text += token(request, i);
        return text;
    }
};

struct step
{
    unsigned kind;
    unsigned a;
    unsigned b;
};

void apply(session_harness& w, session_harness& other, const step& s)
{
    const std::size_t i = s.a % engine_count;
    fake_agent& agent = w.agents[i];
    switch (s.kind)
    {
    case 0:
    case 1:
    case 2:
        return w.produce(agent, 1 + s.b % 3);
    case 3:
    case 4:
    case 5:
        return w.deliver(0, false);
    case 6:
        return w.deliver(s.a, s.b % 2 == 0);
    case 7:
        if (!other.wire.empty())
            w.receive(agent.connection, other.wire.front().second);
        return;
    case 8:
        return w.lose_connection(i);
    case 9:
        return w.reconnect(i, s.b % 2 == 0);
    case 10:
        return w.run(
            w.session.agent_unreachable(w.time, session_harness::name(i)));
    case 11:
        return w.end_stream(agent, s.b % 2 == 0
                                       ? fb::end_reason::handed_back
                                       : fb::end_reason::upstream_lost);
    case 12:
        if (agent.produced == 0)
            w.end_stream(agent, fb::end_reason::refused);
        return;
    case 13:
        return w.advance(milliseconds(s.b % 700));
    default:
        return w.read(s.b);
    }
}

/// Reconnects all agents and delivers all frames until the session ends.
void settle(session_harness& w)
{
    for (unsigned n = 0; n < 2000 && !w.session.has_ended(); ++n)
    {
        for (std::size_t i = 0; i < engine_count; ++i)
        {
            w.reconnect(i, false);
            if (w.agents[i].stream == w.session.stream())
                w.produce(w.agents[i], 2);
        }
        while (!w.wire.empty())
            w.deliver(0, false);
        w.read(w.unread);
        w.advance(milliseconds(20));
    }
}

void check(const session_harness& w)
{
    RC_ASSERT(w.ends == 1U);
    const std::string whole = w.expected();
    if (!w.failed)
        RC_ASSERT(w.answer == whole);
    else
        RC_ASSERT(whole.starts_with(w.answer));
    if (w.failed && !w.answer.empty())
        RC_ASSERT(w.failed->ran == fb::ran_state::yes);
}

rc::Gen<step> any_step()
{
    return rc::gen::build<step>(
        rc::gen::set(&step::kind, rc::gen::inRange(0U, 15U)),
        rc::gen::set(&step::a, rc::gen::inRange(0U, 12U)),
        rc::gen::set(&step::b, rc::gen::inRange(0U, 1000U)));
}

RC_GTEST_PROP(stream_session, gives_exactly_the_answer_or_a_failure, ())
{
    const auto length = *rc::gen::inRange(0U, 40U);
    const bool split = *rc::gen::arbitrary<bool>();
    const auto steps = *rc::gen::container<std::vector<step>>(any_step());
    session_harness w(1, length, split);
    session_harness other(2, length + 1, false);
    for (const step& s : steps)
    {
        apply(w, other, s);
        apply(other, w, s);
    }
    settle(w);
    settle(other);
    check(w);
    check(other);
}

// Without failures, reordered or duplicated frames and frames of another
// request must not use up the attempts or fail the request.
RC_GTEST_PROP(stream_session, completes_when_only_frames_are_disturbed, ())
{
    const auto length = *rc::gen::inRange(1U, 40U);
    const auto steps = *rc::gen::container<std::vector<step>>(any_step());
    session_harness w(1, length, false);
    session_harness other(2, length, false);
    for (const step& s : steps)
        if (s.kind <= 7)
            apply(w, other, s);
    settle(w);
    RC_ASSERT(!w.failed.has_value());
    RC_ASSERT(w.answer == w.expected());
}

// If the caller reads nothing, the agent must stop at the window size.
TEST(stream_session, window_bounds_unread_text)
{
    session_harness w(1, 100000, false);
    for (unsigned n = 0; n < 100000; ++n)
    {
        for (fake_agent& a : w.agents)
            w.produce(a, 1);
        w.deliver(0, false);
    }
    EXPECT_LE(w.unread, session_limits().window_bytes + 16);
    EXPECT_EQ(w.ends, 0U);
    const std::size_t held = w.unread;
    w.read(held);
    for (fake_agent& a : w.agents)
        w.produce(a, 1);
    w.deliver(0, false);
    EXPECT_GT(w.unread, 0U);
}

TEST(stream_session, refusal_of_all_engines_is_not_run)
{
    session_harness w(1, 10, false);
    for (unsigned n = 0; n < 10 && !w.failed; ++n)
    {
        for (fake_agent& a : w.agents)
            w.end_stream(a, fb::end_reason::refused);
        w.deliver(0, false);
    }
    ASSERT_TRUE(w.failed.has_value());
    EXPECT_EQ(w.failed->ran, fb::ran_state::no);
}

TEST(stream_session, deadline_after_dispatch_does_not_claim_not_run)
{
    session_harness w(1, 10, false);
    w.time = mono_time(std::chrono::seconds(600));
    w.run(w.session.tick(w.time));
    ASSERT_TRUE(w.failed.has_value());
    EXPECT_EQ(w.failed->kind, failure_kind::deadline);
    EXPECT_EQ(w.failed->ran, fb::ran_state::unknown);
}

// When the caller disconnects, the stream must be canceled at the engine.
TEST(stream_session, caller_gone_cancels_at_the_engine)
{
    session_harness w(1, 10, false);
    w.run(w.session.caller_disconnected());
    for (const fake_agent& a : w.agents)
        EXPECT_FALSE(a.has_stream);
    EXPECT_TRUE(w.session.has_ended());
}

} // namespace
} // namespace poplar::entry
