// Time per decision, memory per worker and account, and bytes per update at
// 1/16, 1/4 and the full size of the design scale (docs/design.md, 1.7).
#include "policy/admission.hpp"
#include "policy/cells.hpp"
#include "policy/output_estimator.hpp"
#include "policy/role_planner.hpp"
#include "policy/router.hpp"

#include <array>
#include <benchmark/benchmark.h>
#include <malloc.h>

namespace poplar::policy
{
namespace
{

constexpr std::int64_t full_workers = 12000;
constexpr std::int64_t full_accounts = 19000;
constexpr std::int64_t full_entries = 460;
constexpr std::size_t models = 29;
constexpr std::size_t cells = 23;
constexpr std::size_t prompt_blocks_per_request = 128;
constexpr mono_time start_time{duration(1000000000)};

std::size_t heap_bytes()
{
    return mallinfo2().uordblks;
}

group_id group_of(std::size_t i)
{
    return group_id("model-" + std::to_string(i % models));
}

/// Prompts share their first half within a model.
std::vector<std::uint64_t> blocks_of(std::size_t model, std::size_t request)
{
    std::vector<std::uint64_t> blocks(prompt_blocks_per_request);
    for (std::size_t i = 0; i < blocks.size(); ++i)
        blocks[i] = i < blocks.size() / 2
                        ? model * 1000000 + i
                        : (request + 1) * 1000000000 + model * 1000000 + i;
    return blocks;
}

route_request request_for(std::size_t n,
                          const std::vector<std::uint64_t>& blocks)
{
    route_request q;
    q.group = group_of(n);
    q.prompt =
        token_count(static_cast<std::int64_t>(blocks.size() * block_tokens));
    q.blocks = blocks;
    return q;
}

/// One entry that knows `workers` workers, each with some cached prompts.
router filled_router(std::size_t workers, random_source& random)
{
    router_settings settings;
    settings.blocks_per_engine = 1024;
    router r(settings);
    for (std::size_t i = 0; i < workers; ++i)
    {
        const bool prefill = i / models % 4 == 0;
        const engine_index engine = r.set_engine(
            {instance_id("engine-" + std::to_string(i)), group_of(i),
             failure_domain_id("domain-" + std::to_string(i % 20)),
             prefill ? sheet::engine_role::prefill : sheet::engine_role::decode,
             true});
        engine_report report;
        report.measured_at = start_time;
        report.streams = static_cast<unsigned>(random() % 48);
        r.report(engine, report, start_time);
        for (std::size_t k = 0; k < 4; ++k)
        {
            const auto blocks = blocks_of(i % models, random() % 1000);
            const auto q = request_for(i, blocks);
            r.dispatched(engine, q, q.prompt, start_time);
            r.prompt_computed(engine, q.prompt, start_time);
            r.finished(engine, start_time);
        }
        r.report(engine, report, start_time);
    }
    return r;
}

void choose_engine(benchmark::State& state)
{
    random_source random(1);
    const auto workers = static_cast<std::size_t>(state.range(0));
    const std::size_t before = heap_bytes();
    const router r = filled_router(workers, random);
    const std::size_t after = heap_bytes();
    std::vector<std::vector<std::uint64_t>> prompts;
    prompts.reserve(256);
    for (std::size_t n = 0; n < 256; ++n)
        prompts.push_back(blocks_of(n % models, random() % 1000));
    std::size_t n = 0;
    for (auto _ : state)
    {
        const std::size_t i = n++ % prompts.size();
        benchmark::DoNotOptimize(
            r.choose(request_for(i, prompts[i]), start_time, random));
    }
    state.counters["bytes_per_worker"] =
        static_cast<double>(after - before) / static_cast<double>(workers);
}

/// A load report as an entry receives it, with eight cache events.
void take_report(benchmark::State& state)
{
    random_source random(1);
    const auto workers = static_cast<std::size_t>(state.range(0));
    router r = filled_router(workers, random);
    std::vector<std::uint64_t> sequences(workers, 1);
    mono_time now = start_time;
    for (auto _ : state)
    {
        now += std::chrono::milliseconds(1);
        const auto engine = static_cast<engine_index>(random() % workers);
        std::array<cache_change, 8> events{};
        for (cache_change& e : events)
            e = {sequences[engine]++, true, random()};
        engine_report report;
        report.measured_at = now;
        r.report(engine, report, now);
        r.cache_events(engine, events, false);
    }
    state.counters["bytes_per_report"] =
        sizeof(engine_report) + 8 * sizeof(cache_change);
}

/// Offer, dispatch, first token and end of one request among many tenants.
void admit_request(benchmark::State& state)
{
    const auto accounts = static_cast<std::size_t>(state.range(0));
    admission_settings settings;
    settings.ranks.resize(3);
    for (sheet::rank& rank : settings.ranks)
    {
        rank.first_token_target = std::chrono::seconds(10);
        rank.guaranteed_share = 0.3;
    }
    admission a(settings);
    std::vector<engine_load> engines(26);
    for (engine_load& e : engines)
        e.role = sheet::engine_role::mixed;
    a.update(sum_group_load(engines, engine_speed(), start_time), start_time);
    random_source random(1);
    std::uint64_t n = 0;
    mono_time now = start_time;
    for (auto _ : state)
    {
        now += std::chrono::milliseconds(1);
        admission_request q;
        q.id = {0, ++n};
        q.tenant = tenant_id("tenant-" + std::to_string(random() % accounts));
        q.rank = rank_index(random() % 3);
        q.expected = {token_count(500), token_count(20)};
        q.first_token_deadline = now + std::chrono::seconds(10);
        benchmark::DoNotOptimize(a.offer(q, now));
        while (auto turn = a.next(now))
            benchmark::DoNotOptimize(turn);
        a.finished({0, n > 200 ? n - 200 : n}, now);
    }
}

void estimate_output(benchmark::State& state)
{
    const auto accounts = static_cast<std::size_t>(state.range(0));
    output_estimator estimator;
    const model_id model("model");
    std::vector<tenant_id> tenants;
    tenants.reserve(accounts);
    for (std::size_t i = 0; i < accounts; ++i)
        tenants.emplace_back("t" + std::to_string(i));
    const std::size_t middle = heap_bytes();
    for (const tenant_id& tenant : tenants)
        estimator.learn(tenant, model, rank_index(0), token_count(100));
    const std::size_t after = heap_bytes();
    std::size_t n = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(estimator.estimate(
            tenants[n++ % accounts], model, rank_index(0), token_count(4096)));
    state.counters["bytes_per_account"] =
        static_cast<double>(after - middle) / static_cast<double>(accounts);
}

/// One plan for one group of a cell: the work of a control owner.
void plan_roles(benchmark::State& state)
{
    const auto engines = static_cast<std::size_t>(state.range(0)) / models;
    role_planner planner;
    planner_input input;
    input.ranks.resize(3);
    input.interval = std::chrono::seconds(1);
    input.demand.resize(3);
    for (rank_demand& d : input.demand)
        d.offered = {token_count(100000), token_count(10000)};
    for (std::size_t i = 0; i < engines; ++i)
    {
        planned_engine& e = input.engines.emplace_back();
        e.instance = instance_id("engine-" + std::to_string(i));
        e.failure_domain = failure_domain_id(std::to_string(i % 20));
        e.role = i % 4 == 0 ? sheet::engine_role::prefill
                            : sheet::engine_role::decode;
    }
    mono_time now = start_time;
    for (auto _ : state)
    {
        now += std::chrono::seconds(1);
        benchmark::DoNotOptimize(planner.plan(input, now));
    }
}

/// Members of all cells, computed when the list of instances changes.
void divide_into_cells(benchmark::State& state)
{
    std::vector<instance_id> members;
    members.reserve(static_cast<std::size_t>(state.range(0)));
    for (std::int64_t i = 0; i < state.range(0); ++i)
        members.emplace_back("engine-" + std::to_string(i));
    for (auto _ : state)
        benchmark::DoNotOptimize(assign_cells(members, cells));
}

void sizes(benchmark::internal::Benchmark* b, std::int64_t full)
{
    b->Arg(full / 16)->Arg(full / 4)->Arg(full);
}

void worker_sizes(benchmark::internal::Benchmark* b)
{
    sizes(b, full_workers);
}

void account_sizes(benchmark::internal::Benchmark* b)
{
    sizes(b, full_accounts);
}

void entry_sizes(benchmark::internal::Benchmark* b)
{
    sizes(b, full_entries);
}

BENCHMARK(choose_engine)->Apply(worker_sizes);
BENCHMARK(take_report)->Apply(worker_sizes);
BENCHMARK(admit_request)->Apply(account_sizes);
BENCHMARK(estimate_output)->Apply(account_sizes);
BENCHMARK(plan_roles)->Apply(worker_sizes);
BENCHMARK(divide_into_cells)->Apply(worker_sizes);
BENCHMARK(divide_into_cells)->Apply(entry_sizes);

} // namespace
} // namespace poplar::policy

BENCHMARK_MAIN();
