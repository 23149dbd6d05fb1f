// Randomized soak test of gateway processes: connection faults, signals,
// restarts, configuration changes and restorations of the store occur in
// sequence and overlap, while callers check their answers and upstreams count
// executions.
// POPLAR_SOAK="SEED COUNT" runs other seeds, POPLAR_SOAK_GATEWAYS other numbers
// of gateways; each seed that ever failed stays in the list.
#include "tests/platform/soak_callers.hpp"

#include <cstdlib>
#include <gtest/gtest.h>
#include <sstream>

namespace poplar::gateway
{
namespace
{

constexpr duration soak_duration = std::chrono::seconds(6);

std::vector<std::uint64_t> seeds()
{
    std::uint64_t first = 1;
    std::uint64_t count = 3;
    if (const char* text = std::getenv("POPLAR_SOAK"))
        std::istringstream(text) >> first >> count;
    std::vector<std::uint64_t> all;
    all.reserve(count);
    for (std::uint64_t i = 0; i < count; ++i)
        all.push_back(first + i);
    return all;
}

std::size_t gateway_count()
{
    const char* text = std::getenv("POPLAR_SOAK_GATEWAYS");
    return text ? std::stoul(text) : 2;
}

class gateway_soak : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(gateway_soak, answers_correctly_under_faults)
{
    const std::vector<planned_fault> plan = plan_faults(GetParam());
    soak_world world(GetParam(), gateway_count());
    soak_callers callers(world);
    const mono_time end = now() + soak_duration;
    for (const planned_fault& it : plan)
    {
        if (now() >= end)
            break;
        world.inject(it);
        world.wait(std::chrono::milliseconds(it.pause_ms));
    }
    world.restore_in_calm(plan.back());
    callers.stop();
    world.clear_faults();
    callers.expect_recovery();
    world.executions.check(world.faults);
}

TEST_P(gateway_soak, plans_the_same_faults_for_a_seed)
{
    EXPECT_EQ(plan_faults(GetParam()), plan_faults(GetParam()));
    EXPECT_NE(plan_faults(GetParam()), plan_faults(GetParam() + 1));
}

INSTANTIATE_TEST_SUITE_P(seeds, gateway_soak, testing::ValuesIn(seeds()),
                         [](const auto& it)
                         { return "seed_" + std::to_string(it.param); });

} // namespace
} // namespace poplar::gateway
