// Tests admission, the fair queue and first-token deadlines. Guards against an
// overloading rank that takes another rank's guaranteed share, starved tenants,
// lost or stuck requests, and forecasts that omit work dispatched since the
// last load report.
#include "policy/admission.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace poplar::policy
{
namespace
{

using namespace std::chrono_literals;

constexpr mono_time start_time{duration(1000000000)};

std::vector<sheet::rank> three_ranks()
{
    return {{"urgent", 1s, 30ms, 0.5, 4, 2},
            {"normal", 4s, 60ms, 0.3, 2, 1},
            {"later", 60s, 200ms, 0.2, 1, 0}};
}

admission_settings three_rank_settings()
{
    admission_settings s;
    s.ranks = three_ranks();
    return s;
}

group_load load_of(unsigned prefill, unsigned streams, mono_time at)
{
    engine_load e;
    e.role = sheet::engine_role::prefill;
    std::vector<engine_load> engines(prefill, e);
    e.role = sheet::engine_role::decode;
    engines.resize(prefill + streams, e);
    return sum_group_load(engines, engine_speed(), at);
}

admission_request make_request(std::uint64_t n, std::size_t rank,
                               const std::string& tenant, std::int64_t prompt,
                               std::int64_t out, mono_time now)
{
    admission_request r;
    r.id = {0, n};
    r.tenant = tenant_id(tenant);
    r.rank = rank_index(rank);
    r.expected = {token_count(prompt), token_count(out)};
    r.first_token_deadline = now + three_ranks()[rank].first_token_target;
    return r;
}

/// Simulates a group that prefills dispatched prompts one at a time and streams
/// one token per 25 ms. Guaranteed and urgent requests go first.
class virtual_group
{
public:
    explicit virtual_group(unsigned engines)
        : engines_(engines), policy_(three_rank_settings())
    {
        policy_.update(load_of(0, engines, now_), now_);
    }

    void offer(std::size_t rank, const std::string& tenant, std::int64_t prompt,
               std::int64_t out)
    {
        admission_request r =
            make_request(++offered_, rank, tenant, prompt, out, now_);
        const admission_decision d = policy_.offer(r, now_);
        if (d.verdict == admission_verdict::refused)
            ++refused_;
        if (d.verdict == admission_verdict::dispatch)
            dispatch(r, d);
    }

    void step(duration dt)
    {
        now_ += dt;
        compute(dt);
        stream(dt);
        policy_.update(load_of(0, engines_, now_ - 1s), now_);
        while (auto turn = policy_.next(now_))
        {
            if (turn->decision.verdict == admission_verdict::dispatch)
                dispatch(turn->request, turn->decision);
            else
                ++refused_;
        }
    }

    double served_cost(std::size_t rank) const
    {
        return served_.at(rank);
    }
    double served_cost(const std::string& tenant) const
    {
        const auto it = tenants_.find(tenant);
        return it == tenants_.end() ? 0 : it->second;
    }
    std::size_t late() const
    {
        return late_;
    }
    std::size_t offered() const
    {
        return offered_;
    }
    std::size_t accounted() const
    {
        return refused_ + done_ + policy_.queued() + policy_.dispatched();
    }
    std::size_t dispatched() const
    {
        return policy_.dispatched();
    }

private:
    void dispatch(const admission_request& r, const admission_decision& d)
    {
        const double cost = engine_seconds(r.expected, engine_speed());
        served_[r.rank.value] += cost;
        tenants_[r.tenant.value] += cost;
        prompts_.emplace(r.rank.value + (d.guaranteed ? 0 : 3), r);
    }

    void compute(duration dt)
    {
        const engine_speed speed;
        budget_ += seconds(dt) * engines_ * speed.prefill_tokens_per_second *
                   speed.shared_prefill_fraction;
        while (!prompts_.empty())
        {
            const admission_request& r = prompts_.begin()->second;
            const auto need = static_cast<double>(r.expected.prompt.value);
            if (need > budget_)
                return;
            budget_ -= need;
            policy_.first_token(r.id, now_);
            late_ += now_ > r.first_token_deadline ? 1 : 0;
            streams_.emplace(std::pair(prompts_.begin()->first, r.id),
                             0.025 *
                                 static_cast<double>(r.expected.output.value));
            prompts_.erase(prompts_.begin());
        }
        budget_ = 0;
    }

    void stream(duration dt)
    {
        std::size_t slots = engines_ * engine_speed().max_streams;
        for (auto it = streams_.begin(); it != streams_.end() && slots > 0;
             --slots)
        {
            it->second -= seconds(dt);
            const auto at = it++;
            if (at->second > 0)
                continue;
            policy_.finished(at->first.second, now_);
            streams_.erase(at);
            ++done_;
        }
    }

    unsigned engines_;
    mono_time now_ = start_time;
    admission policy_;
    double budget_ = 0;
    std::multimap<std::size_t, admission_request> prompts_;
    /// Remaining seconds of each stream, in the engines' order of priority.
    std::map<std::pair<std::size_t, request_id>, double> streams_;
    std::array<double, 3> served_{};
    std::map<std::string, double> tenants_;
    std::size_t offered_ = 0;
    std::size_t refused_ = 0;
    std::size_t done_ = 0;
    std::size_t late_ = 0;
};

/// The parameter is the rank that overloads the group. In addition every rank
/// offers half of the group's capacity.
class flood_of_rank : public testing::TestWithParam<std::size_t>
{
};

TEST_P(flood_of_rank, leaves_the_other_ranks_their_shares)
{
    virtual_group group(6);
    for (int tick = 0; tick < 6000; ++tick)
    {
        // 6 engines serve about 7.8 engine seconds of this work per second. A
        // request costs 0.145 engine seconds.
        if (tick % 4 == 0)
        {
            for (std::size_t rank = 0; rank < 3; ++rank)
                group.offer(rank, "t", 200, 250);
        }
        for (int n = 0; n < 3; ++n)
            group.offer(GetParam(), "flood", 200, 250);
        group.step(10ms);
    }
    const double all = group.served_cost(0UL) + group.served_cost(1UL) +
                       group.served_cost(2UL);
    for (std::size_t rank = 0; rank < 3; ++rank)
    {
        EXPECT_GE(group.served_cost(rank) / all,
                  0.9 * three_ranks()[rank].guaranteed_share)
            << "rank " << rank;
    }
    // The stream slots are in use: 6 engines with 48 slots each.
    EXPECT_GE(group.dispatched(), 0.85 * 6 * 48);
}

INSTANTIATE_TEST_SUITE_P(every_rank, flood_of_rank,
                         testing::Values(0UL, 1UL, 2UL));

TEST(admission, lends_unused_shares)
{
    virtual_group group(6);
    for (int tick = 0; tick < 4000; ++tick)
    {
        group.offer(2, "a", 200, 250);
        group.step(10ms);
    }
    EXPECT_GE(group.dispatched(), 0.85 * 6 * 48);
}

TEST(admission, returns_lent_shares_within_the_urgent_target)
{
    virtual_group group(6);
    for (int tick = 0; tick < 2000; ++tick)
    {
        group.offer(2, "a", 200, 250);
        group.step(10ms);
    }
    const double before = group.served_cost(0UL);
    for (int tick = 0; tick < 300; ++tick)
    {
        group.offer(2, "a", 200, 250);
        if (tick % 10 == 0)
            group.offer(0, "b", 200, 250);
        group.step(10ms);
    }
    EXPECT_GE(group.served_cost(0UL) - before, 28 * 0.145);
    EXPECT_EQ(group.late(), 0U);
}

RC_GTEST_PROP(admission, loses_and_invents_no_request, ())
{
    virtual_group group(*rc::gen::inRange(1U, 5U));
    const auto steps = *rc::gen::inRange(20, 120);
    for (int i = 0; i < steps; ++i)
    {
        const auto n = *rc::gen::inRange(0, 12);
        for (int k = 0; k < n; ++k)
            group.offer(*rc::gen::inRange<std::size_t>(0, 3), "t",
                        *rc::gen::inRange(1, 6000), *rc::gen::inRange(1, 400));
        group.step(*rc::gen::inRange(1, 300) * 1ms);
        RC_ASSERT(group.accounted() == group.offered());
    }
}

RC_GTEST_PROP(admission, no_tenant_starves_beside_a_heavy_one, ())
{
    virtual_group group(2);
    const int burst = *rc::gen::inRange(2, 6);
    const auto rank = *rc::gen::inRange<std::size_t>(1, 3);
    for (int tick = 0; tick < 3000; ++tick)
    {
        for (int n = 0; n < burst; ++n)
            group.offer(rank, "heavy", 200, 250);
        if (tick % 20 == 0)
            group.offer(rank, "light", 200, 250);
        group.step(10ms);
    }
    // The light tenant sends 150 requests, less than half of the group's
    // capacity.
    RC_ASSERT(group.served_cost("light") >= 0.9 * 150 * 0.145);
}

TEST(admission, counts_work_sent_since_a_stale_report)
{
    admission a(three_rank_settings());
    a.update(load_of(0, 2, start_time), start_time);
    std::size_t accepted = 0;
    for (std::uint64_t n = 1; n <= 200; ++n)
    {
        // Repeating the same, increasingly old report of an idle group must not
        // admit more work.
        const mono_time now = start_time + n * 1ms;
        a.update(load_of(0, 2, start_time), now);
        const auto r = make_request(n, 0, "a", 300, 10, now);
        accepted += a.offer(r, now).verdict != admission_verdict::refused;
    }
    // Two engines prefill 4,200 tokens within the target of one second.
    EXPECT_LE(accepted, 14U);
    EXPECT_GE(accepted, 8U);
}

TEST(admission, counts_reported_work_of_other_entries)
{
    admission a(three_rank_settings());
    group_load load = load_of(0, 2, start_time);
    load.queued_shared_tokens = token_count(20000);
    a.update(load, start_time);
    const auto r = make_request(1, 0, "a", 1000, 10, start_time);
    const admission_decision d = a.offer(r, start_time);
    EXPECT_EQ(d.verdict, admission_verdict::refused);
    EXPECT_EQ(d.cause, refusal_cause::prompt_backlog);
    // 20,000 tokens at 4,200 per second, less what fits the target, multiplied
    // by the safety factor of retry times and rounded to whole seconds.
    EXPECT_NEAR(seconds(d.retry_after), 1.2 * (20 / 4.2 + 1 / 2.1 - 0.75), 1.0);
}

TEST(admission, refuses_queued_requests_at_once_when_engines_are_lost)
{
    admission a(three_rank_settings());
    a.update(load_of(0, 8, start_time), start_time);
    std::uint64_t n = 0;
    while (a.queued() < 20)
    {
        a.offer(make_request(++n, 1, "a", 1500, 100, start_time), start_time);
        ASSERT_LT(n, 200U);
    }
    const mono_time later = start_time + 10ms;
    a.update(load_of(0, 1, later), later);
    std::size_t refused = 0;
    while (auto turn = a.next(later))
        refused += turn->decision.verdict == admission_verdict::refused;
    EXPECT_GE(refused, 10U);
}

TEST(admission, refuses_with_a_retry_time_when_no_engine_serves)
{
    admission a(three_rank_settings());
    const auto d =
        a.offer(make_request(1, 0, "a", 10, 10, start_time), start_time);
    EXPECT_EQ(d.cause, refusal_cause::no_capacity);
    EXPECT_GE(d.retry_after, 1s);
}

TEST(admission, moves_requests_of_removed_ranks)
{
    admission a(three_rank_settings());
    a.update(load_of(0, 1, start_time), start_time);
    std::uint64_t n = 0;
    while (a.queued() < 5 && n < 100)
        a.offer(make_request(++n, 2, "a", 1500, 100, start_time), start_time);
    const work before = a.backlog(rank_index(2));
    a.set_ranks({three_ranks()[0], three_ranks()[1]});
    EXPECT_EQ(a.queued(), 5U);
    EXPECT_EQ(a.backlog(rank_index(1)), before);
}

struct weights_case
{
    double a;
    double b;
    double min_ratio;
    double max_ratio;
};

queued_request make_queued_request(std::uint64_t n, const std::string& tenant,
                                   double weight, double cost)
{
    queued_request q;
    q.id = {0, n};
    q.tenant = tenant_id(tenant);
    q.tenant_weight = weight;
    q.cost = cost;
    return q;
}

class fair_queue_weights : public testing::TestWithParam<weights_case>
{
};

TEST_P(fair_queue_weights, share_by_weight)
{
    fair_queue q(0.05);
    for (std::uint64_t n = 0; n < 2000; ++n)
    {
        const bool first = n % 2 == 0;
        q.push(make_queued_request(n, first ? "a" : "b",
                                   first ? GetParam().a : GetParam().b,
                                   first ? 0.04 : 0.01));
    }
    double cost[2] = {0, 0};
    for (int n = 0; n < 700; ++n)
    {
        const queued_request r = q.pop_front();
        cost[r.tenant.value == "a" ? 0 : 1] += r.cost;
    }
    EXPECT_GE(cost[0] / cost[1], GetParam().min_ratio);
    EXPECT_LE(cost[0] / cost[1], GetParam().max_ratio);
}

INSTANTIATE_TEST_SUITE_P(table, fair_queue_weights,
                         testing::Values(weights_case{1, 1, 0.9, 1.1},
                                         weights_case{2, 1, 1.8, 2.2},
                                         weights_case{1, 3, 0.3, 0.37}));

RC_GTEST_PROP(fair_queue, returns_every_request_once, ())
{
    fair_queue q;
    std::size_t pushed = 0;
    std::size_t taken = 0;
    for (std::uint64_t n = 0; n < 200; ++n)
    {
        switch (*rc::gen::inRange(0, 4))
        {
        case 0:
            taken += !q.empty() && (q.pop_front(), true);
            break;
        case 1:
            taken += q.remove({0, *rc::gen::inRange<std::uint64_t>(0, 200)})
                         .has_value();
            break;
        default:
            q.push(make_queued_request(n,
                                       std::to_string(*rc::gen::inRange(0, 5)),
                                       1, *rc::gen::inRange(1, 100) * 0.01));
            ++pushed;
        }
        RC_ASSERT(q.size() == pushed - taken);
        RC_ASSERT((q.front() == nullptr) == q.empty());
        RC_ASSERT((q.most_urgent() == nullptr) == q.empty());
    }
}

struct first_token_case
{
    const char* name;
    duration target;
    duration deadline;
    std::int64_t output;
    duration expected;
};

class first_token_time : public testing::TestWithParam<first_token_case>
{
};

// Guards against admitting requests whose first token is in time but whose
// deadline passes in the middle of the answer (see flood_refusals_test). One
// stream of these engines yields 10 tokens per second.
TEST_P(first_token_time, leaves_time_for_the_answer)
{
    const first_token_case& c = GetParam();
    engine_speed speed;
    speed.decode_tokens_per_second = 80;
    speed.max_streams = 8;
    const mono_time t = compute_first_token_deadline(
        start_time, start_time + c.target, start_time + c.deadline,
        token_count(c.output), speed);
    EXPECT_EQ(t - start_time, c.expected);
}

INSTANTIATE_TEST_SUITE_P(
    requests, first_token_time,
    testing::Values(first_token_case{"by_target", 1s, 9s, 20, 1s},
                    first_token_case{"by_deadline", 60s, 5s, 20, 3s},
                    first_token_case{"long_output", 60s, 5s, 4000, 2500ms}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::policy
