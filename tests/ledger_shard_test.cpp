// Guards against a call that runs twice, a "not run" answer for a call that
// ran, and an answer that belongs to another call: through kills, pauses,
// lost and late store answers, takeovers and handovers in random order.
#include "ledger/shard_machine.hpp"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

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

/// The shard object of the platform, with versions.
struct fake_object
{
    std::string value;
    std::uint64_t version = 0;
    std::map<std::string, std::string> segments;

    write_result put(const action& a, object_version& out)
    {
        if (a.kind == action_kind::write_segment)
            return segments.emplace(a.segment, a.value).second
                       ? write_result::written
                       : write_result::conflict;
        if (a.expected.value != version)
            return write_result::conflict;
        value = a.value;
        out = object_version(++version);
        return write_result::written;
    }
};

/// One life of an agent process.
struct process
{
    shard_machine machine;
    std::vector<action> store_actions;
    unsigned instance;
};

struct sent_call
{
    call_key key;
    std::size_t process;
    bool executed = false;
};

struct world
{
    fake_object object;
    std::map<std::size_t, process> alive;
    std::size_t lives = 0;
    std::vector<action> late_writes;
    std::vector<sent_call> sent;
    std::vector<action> forwards;
    std::map<call_key, unsigned> executions;
    std::map<std::uint64_t, call_key> open_waiters;
    std::uint64_t waiters = 0;
    mono_time time{1s};
    std::int64_t wall = 1000;

    world()
    {
        for (unsigned i = 0; i < 3; ++i)
            start(i);
    }

    void start(unsigned instance)
    {
        shard_options options;
        options.instance = instance_id("desk-" + std::to_string(instance));
        options.address = "a" + std::to_string(instance);
        options.process_nonce = "life" + std::to_string(++lives);
        options.segment_limit_bytes = 600;
        alive.emplace(lives,
                      process{shard_machine(desk, 0, options), {}, instance});
    }

    process& pick(unsigned n)
    {
        auto it = alive.begin();
        std::advance(it, n % alive.size());
        return it->second;
    }

    std::size_t id_of(const process& p)
    {
        for (auto& [id, other] : alive)
            if (&other == &p)
                return id;
        return 0;
    }

    static stored_answer answer_for(const call_key& key)
    {
        return {201, {}, "receipt for " + key.key.value, false};
    }

    void check_answer(const action& a)
    {
        auto it = open_waiters.find(a.waiter.value);
        RC_ASSERT(it != open_waiters.end());
        const call_key key = it->second;
        open_waiters.erase(it);
        if (a.answer.state == answer_state::not_run)
            RC_ASSERT(executions[key] == 0U);
        if (a.answer.state == answer_state::done)
        {
            RC_ASSERT(executions[key] == 1U);
            RC_ASSERT(a.answer.content.body == answer_for(key).body);
        }
    }

    void drain_actions(process& p)
    {
        for (action& a : p.machine.take_actions())
        {
            switch (a.kind)
            {
            case action_kind::answer:
                check_answer(a);
                break;
            case action_kind::run:
                sent.push_back({a.call, id_of(p)});
                break;
            case action_kind::forward:
                forwards.push_back(a);
                break;
            default:
                p.store_actions.push_back(a);
            }
        }
    }

    void submit(process& p, unsigned n, bool take_over)
    {
        const std::uint64_t w = ++waiters;
        open_waiters[w] = key_of(n);
        p.machine.submit(
            {waiter_number(w), key_of(n), n, take_over, time + 400ms}, time);
        drain_actions(p);
    }

    void deliver_read(process& p)
    {
        std::vector<call_record> archived;
        shard_record record;
        if (object.version != 0)
            record = parse_shard_record(object.value, desk);
        for (const segment_reference& s : record.segments)
            std::ranges::move(parse_segment(object.segments.at(s.name), desk),
                              std::back_inserter(archived));
        p.machine.read_done(record, object_version(object.version),
                            std::move(archived), time, wall);
    }

    /// Carries out the process's store operation with one of several faults.
    void store_step(process& p, unsigned fault)
    {
        if (p.store_actions.empty())
            return;
        const action a = p.store_actions.front();
        p.store_actions.erase(p.store_actions.begin());
        if (a.kind == action_kind::read)
        {
            if (fault == 1)
                p.machine.read_failed(time);
            else
                deliver_read(p);
            return drain_actions(p);
        }
        object_version version;
        write_result result = write_result::unknown_outcome;
        if (fault == 0)
            result = object.put(a, version);
        if (fault == 1)
            result = write_result::unavailable;
        if (fault == 2) // Takes effect, the answer is lost.
            object.put(a, version);
        if (fault == 4) // Still under way when the sender gives up.
            late_writes.push_back(a);
        p.machine.write_done(result, version, time);
        drain_actions(p);
    }

    void execute(sent_call& call)
    {
        if (call.executed)
            return;
        call.executed = true;
        ++executions[call.key];
        RC_ASSERT(executions[call.key] <= 1U);
    }

    void run_step(std::size_t n, unsigned fault)
    {
        if (sent.empty())
            return;
        sent_call& call = sent[n % sent.size()];
        if (fault == 5)
            return execute(call); // The answer comes later.
        run_result result;
        if (fault == 1 && !call.executed)
            result.state = run_state::not_sent;
        else if (fault != 2 || call.executed)
            execute(call);
        if (fault == 0)
            result = {run_state::done, answer_for(call.key)};
        const sent_call ended = call;
        sent.erase(sent.begin() + static_cast<std::ptrdiff_t>(n % sent.size()));
        auto it = alive.find(ended.process);
        if (it == alive.end())
            return;
        it->second.machine.run_done(ended.key, result);
        drain_actions(it->second);
    }

    void forward_step(std::size_t n)
    {
        if (forwards.empty())
            return;
        const action a = forwards[n % forwards.size()];
        forwards.erase(forwards.begin() +
                       static_cast<std::ptrdiff_t>(n % forwards.size()));
        for (auto& [id, p] : alive)
        {
            if ("a" + std::to_string(p.instance) != a.owner_address)
                continue;
            p.machine.outcome_reported(a.outcome);
            drain_actions(p);
        }
    }

    void kill(process& p)
    {
        const unsigned instance = p.instance;
        alive.erase(id_of(p));
        open_waiters.clear(); // Only waiters of living processes count below.
        for (auto& [id, other] : alive)
            other.machine.expire(time + 1h, wall);
        for (auto& [id, other] : alive)
            other.machine.take_actions();
        start(instance);
    }

    void step(std::uint32_t n)
    {
        const unsigned who = n / 16 % 3;
        const unsigned what = n / 48 % 8;
        const bool flag = n / 384 % 4 == 0;
        process& p = pick(who);
        switch (n % 16)
        {
        case 0:
        case 1:
        case 2:
        case 3:
            return submit(p, what % 5, flag);
        case 4:
        case 5:
        case 6:
        case 7:
            return store_step(p, what < 4 ? 0 : what - 3);
        case 8:
        case 9:
        case 10:
            return run_step(who, what < 3 ? 0 : what - 2);
        case 11:
            if (!late_writes.empty())
            {
                object_version v;
                object.put(late_writes.front(), v);
                late_writes.erase(late_writes.begin());
            }
            return;
        case 12:
            return forward_step(what);
        case 13:
            time += 50ms * what;
            p.machine.expire(time, wall);
            return drain_actions(p);
        case 14:
            if (what == 0)
                kill(p);
            return;
        default:
            if (what == 1)
            {
                p.machine.release();
                drain_actions(p);
            }
        }
    }

    /// Without further faults every waiter gets its answer.
    void settle()
    {
        for (unsigned round = 0; round < 200; ++round)
        {
            time += 50ms;
            for (auto& [id, p] : alive)
            {
                store_step(p, 0);
                p.machine.expire(time, wall);
                drain_actions(p);
            }
            run_step(0, 0);
            forward_step(0);
        }
        RC_ASSERT(open_waiters.empty());
    }
};

RC_GTEST_PROP(ledger_shard, runs_a_call_at_most_once,
              (const std::vector<std::uint32_t>& steps))
{
    world w;
    for (std::uint32_t n : steps)
        w.step(n);
    w.settle();
}

// Longer sequences than RapidCheck's default size reaches.
RC_GTEST_PROP(ledger_shard, runs_a_call_at_most_once_in_long_sequences, ())
{
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        400, rc::gen::arbitrary<std::uint32_t>());
    world w;
    for (std::uint32_t n : steps)
        w.step(n);
    w.settle();
}

} // namespace
} // namespace poplar::ledger
