// Guards against conflicting or outdated orders to an engine, against streams
// cut by an order, and against an agent that never reaches its assignment.
#include "agent/order_machine.hpp"
#include "base/era_numbers.hpp"

#include <array>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace poplar::agent
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step_time = milliseconds(100);
constexpr duration change_time = seconds(3);
constexpr duration answer_time = milliseconds(150);

engine_setup make_setup(unsigned n)
{
    constexpr std::array roles{sheet::engine_role::prefill,
                               sheet::engine_role::decode,
                               sheet::engine_role::mixed};
    return {roles[n % roles.size()], model_id("m"), model_version("1"), {}};
}

assignment make_assignment(std::uint64_t version, unsigned n)
{
    assignment a;
    a.version = object_version(version);
    a.setup = make_setup(n);
    if (n % 7 == 5)
        a.state = sheet::upstream_state::draining;
    if (n % 7 == 6)
        a.setup.role = sheet::engine_role::unassigned;
    return a;
}

/// An engine that carries out orders, ignores fencing and may crash.
struct fake_engine
{
    engine_setup setup;
    std::optional<engine_setup> next;
    mono_time changed_at;
    mono_time up_at;
    object_version newest_executed;
    std::string fault; ///< The first violation seen.

    void expect(bool holds, const char* what)
    {
        if (!holds && fault.empty())
            fault = what;
    }

    void take_order(mono_time t, const engine_order& order)
    {
        expect(!next, "two orders open at once");
        expect(order.version >= newest_executed, "an older order was executed");
        newest_executed = order.version;
        next = order.setup;
        changed_at = t + change_time;
    }

    void crash(mono_time t, duration down)
    {
        setup = {};
        next.reset();
        up_at = t + down;
    }

    void advance(mono_time t)
    {
        if (!next || t < changed_at)
            return;
        setup = *next;
        next.reset();
    }
};

struct pending_answer
{
    mono_time at;
    fencing_token fencing;
    order_outcome outcome = order_outcome::accepted;
};

struct pending_read
{
    mono_time at;
    std::uint64_t number = 0;
    std::optional<engine_state> state;
};

/// One slot: an engine, the agent's machine and the platform's object.
class slot_world
{
public:
    slot_world()
    {
        restart();
    }

    void restart()
    {
        machine_ = order_machine({true, seconds(5)});
        answer_.reset();
        read_.reset();
        last_fencing_ = {};
        ++incarnation_;
        was_read_ = false;
        streams_ = 0; // Entries resume them elsewhere.
        reach_platform();
    }

    void assign(unsigned n)
    {
        history.push_back(make_assignment(history.size() + 1, n));
    }

    void deliver(std::size_t index)
    {
        if (index < history.size())
            machine_.take_assignment(history[index]);
    }

    void set_outage(bool out)
    {
        outage_ = out;
        reach_platform();
    }

    void run(duration time)
    {
        const mono_time until = t + time;
        for (; t < until; t += step_time)
            step();
    }

    void end_faults()
    {
        lose_request = lose_answer = false;
        refuse = false;
        set_outage(false);
        if (!history.empty())
            deliver(history.size() - 1);
    }

    void open_streams(std::size_t n)
    {
        if (machine_.gate() == work_gate::open)
            streams_ += n;
    }

    void end_streams()
    {
        streams_ = 0;
    }

    bool is_as_assigned() const
    {
        if (history.empty())
            return true;
        const assignment& a = history.back();
        if (a.state != sheet::upstream_state::active)
            return machine_.gate() == work_gate::draining;
        if (a.setup.role == sheet::engine_role::unassigned)
            return machine_.gate() == work_gate::not_ready;
        return engine.setup == a.setup && machine_.gate() == work_gate::open;
    }

    fake_engine engine;
    bool lose_request = false;
    bool lose_answer = false;
    bool refuse = false;
    duration read_time = milliseconds(200);
    mono_time t;
    std::vector<assignment> history;

private:
    void reach_platform()
    {
        if (outage_)
            return machine_.set_authority({});
        std::optional<assignment> newest;
        if (!history.empty())
            newest = history.back();
        if (!was_read_)
            machine_.platform_was_read(newest);
        was_read_ = true;
        machine_.set_authority(agent_incarnation(incarnation_));
    }

    void step()
    {
        engine.advance(t);
        deliver_answers();
        if (!read_)
            begin_read();
        const bool was_open = machine_.gate() == work_gate::open;
        const order_actions out = machine_.step(t, streams_);
        if (out.hand_back)
            streams_ = 0;
        if (out.order)
            send(*out.order, was_open);
    }

    void deliver_answers()
    {
        if (answer_ && answer_->at <= t)
        {
            machine_.take_answer(answer_->fencing, answer_->outcome, "");
            answer_.reset();
        }
        if (read_ && read_->at <= t)
        {
            if (read_->state)
                machine_.take_state(read_->number, *read_->state);
            else
                machine_.take_unreachable(read_->number);
            read_.reset();
        }
    }

    /// The state is sampled when the read begins and arrives later.
    void begin_read()
    {
        read_ = {t + read_time, machine_.begin_read(), {}};
        if (t >= engine.up_at)
            read_->state = {engine.setup, engine.next.has_value()};
    }

    void send(const engine_order& order, bool was_open)
    {
        engine.expect(was_read_, "an order before the platform read");
        engine.expect(!outage_, "an order without authority");
        engine.expect(streams_ == 0, "an order cut a stream");
        engine.expect(!was_open, "an order while new work was accepted");
        engine.expect(!answer_, "an order before the previous answer");
        engine.expect(order.fencing > last_fencing_, "fencing did not rise");
        last_fencing_ = order.fencing;
        const bool is_up = t >= engine.up_at;
        auto outcome = order_outcome::accepted;
        if (lose_request || lose_answer || !is_up)
            outcome = order_outcome::lost;
        if (refuse)
            outcome = order_outcome::refused;
        if (is_up && !lose_request && !refuse)
            engine.take_order(t, order);
        answer_ = {t + answer_time, order.fencing, outcome};
    }

    order_machine machine_{order_options{}};
    std::optional<pending_answer> answer_;
    std::optional<pending_read> read_;
    fencing_token last_fencing_;
    std::uint64_t incarnation_ = 0;
    bool was_read_ = false;
    bool outage_ = false;
    std::size_t streams_ = 0;
};

void apply(slot_world& w, unsigned operation, unsigned n)
{
    switch (operation)
    {
    case 0:
        return w.assign(n);
    case 1:
        return w.deliver(w.history.size() - 1);
    case 2:
        return w.deliver(n % (w.history.size() + 1));
    case 3:
        return w.engine.crash(w.t, milliseconds(n * 30));
    case 4:
        w.lose_request = n % 2 == 0;
        return;
    case 5:
        w.lose_answer = n % 2 == 0;
        return;
    case 6:
        w.refuse = n % 3 == 0;
        return;
    case 7:
        return w.restart();
    case 8:
        return w.set_outage(n % 2 == 0);
    case 9:
        return w.open_streams(n);
    case 10:
        return w.end_streams();
    case 11:
        w.read_time = milliseconds(n * 20);
        return;
    default:
        return w.run(milliseconds(n * 50));
    }
}

RC_GTEST_PROP(order_machine, holds_under_random_faults, ())
{
    // Fifty sequences for each of RapidCheck's rounds: thousands in all.
    for (int sequence = 0; sequence < 50; ++sequence)
    {
        slot_world w;
        const auto length = *rc::gen::inRange(1, 60);
        for (int i = 0; i < length; ++i)
            apply(w, *rc::gen::inRange(0U, 16U), *rc::gen::inRange(0U, 100U));
        RC_ASSERT(w.engine.fault == "");
        w.end_faults();
        w.run(seconds(90));
        RC_ASSERT(w.engine.fault == "");
        RC_ASSERT(w.is_as_assigned());
    }
}

TEST(order_machine, executes_nothing_before_the_platform_read)
{
    order_machine m({});
    m.set_authority(agent_incarnation(3));
    m.take_assignment(make_assignment(5, 1));
    m.take_state(m.begin_read(), {make_setup(0), false});
    for (int i = 0; i < 10; ++i)
        EXPECT_FALSE(m.step(mono_time(seconds(i)), 0).order);
    EXPECT_EQ(m.gate(), work_gate::open);
    m.platform_was_read({});
    EXPECT_FALSE(m.step(mono_time(seconds(10)), 0).order);
    EXPECT_EQ(m.gate(), work_gate::not_ready);
    const auto order = m.step(mono_time(seconds(11)), 0).order;
    ASSERT_TRUE(order);
    EXPECT_EQ(order->fencing.value, (std::uint64_t(3) << 32) + 1);
}

TEST(order_machine, keeps_its_sequence_when_authority_returns)
{
    order_machine m({});
    m.platform_was_read({});
    m.set_authority(agent_incarnation(1));
    m.take_assignment(make_assignment(1, 1));
    m.take_state(m.begin_read(), {make_setup(0), false});
    m.step(mono_time(seconds(1)), 0);
    const auto first = m.step(mono_time(seconds(1)), 0).order;
    ASSERT_TRUE(first);
    m.set_authority({});
    m.set_authority(agent_incarnation(1));
    m.take_answer(first->fencing, order_outcome::lost, "");
    m.take_state(m.begin_read(), {make_setup(0), false});
    m.step(mono_time(seconds(3)), 0);
    const auto second = m.step(mono_time(seconds(3)), 0).order;
    ASSERT_TRUE(second);
    EXPECT_GT(second->fencing, first->fencing);
}

TEST(order_machine, records_no_decision_when_only_the_version_rises)
{
    order_machine m({});
    m.take_assignment(make_assignment(1, 1));
    EXPECT_FALSE(m.take_notes().empty());
    m.take_assignment(make_assignment(2, 1));
    EXPECT_TRUE(m.take_notes().empty());
    EXPECT_EQ(m.assigned().version.value, 2U);
    m.take_assignment(make_assignment(3, 2));
    EXPECT_FALSE(m.take_notes().empty());
}

TEST(order_machine, hands_streams_back_only_after_the_drain_time)
{
    order_machine m({true, seconds(5)});
    m.platform_was_read({});
    m.set_authority(agent_incarnation(1));
    m.take_assignment(make_assignment(1, 1));
    m.take_state(m.begin_read(), {make_setup(0), false});
    m.step(mono_time(seconds(1)), 2);
    EXPECT_FALSE(m.step(mono_time(seconds(5)), 2).hand_back);
    EXPECT_TRUE(m.step(mono_time(seconds(6)), 2).hand_back);
    const auto again = m.step(mono_time(seconds(7)), 1);
    EXPECT_FALSE(again.hand_back || again.order);
    EXPECT_TRUE(m.step(mono_time(seconds(8)), 0).order);
}

TEST(order_machine, does_not_go_back_to_an_assignment_of_a_restored_store)
{
    const auto stamped = [](std::uint64_t epoch, unsigned era,
                            std::uint64_t revision, unsigned n)
    {
        const object_version version = make_version(store_era(era), revision);
        assignment a = make_assignment(version.value, n);
        a.epoch = owner_epoch(epoch);
        return a;
    };
    order_machine m({});
    m.take_assignment(stamped(2, 0, 20, 1));
    m.take_assignment(stamped(1, 1, 10, 2));
    m.take_assignment(stamped(2, 1, 15, 2));
    EXPECT_EQ(m.assigned().setup, make_setup(1));
    m.take_assignment(stamped(next_in_era(2, store_era(1)), 1, 16, 3));
    EXPECT_EQ(m.assigned().setup, make_setup(3));
}

} // namespace
} // namespace poplar::agent
