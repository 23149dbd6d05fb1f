// Guards against load that is counted in the wrong failure domain, or twice.
#include "gateway/engine_control.hpp"
#include "gateway/load_exchange.hpp"
#include "gateway/scaling_duty.hpp"

#include <gtest/gtest.h>

namespace poplar::gateway
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

struct view_case
{
    const char* name;
    std::vector<scaled_upstream> upstreams;
    std::vector<asked_work> asked;
    double east;
    double west;
};

class scaling_sum : public testing::TestWithParam<view_case>
{
};

// Load must count where its upstreams are, and none may be left out.
TEST_P(scaling_sum, puts_load_where_it_is_served)
{
    const auto domains =
        sum_scaling_load(GetParam().upstreams, GetParam().asked);
    const auto load = [&](const char* name)
    {
        const auto it = domains.find(failure_domain_id(name));
        return it == domains.end() ? 0 : it->second.asked + it->second.running;
    };
    EXPECT_DOUBLE_EQ(load("east"), GetParam().east);
    EXPECT_DOUBLE_EQ(load("west"), GetParam().west);
}

const failure_domain_id east("east");
const failure_domain_id west("west");

INSTANTIATE_TEST_SUITE_P(
    loads, scaling_sum,
    testing::Values(
        view_case{"running",
                  {{east, engine_stage::decode, 4, 6},
                   {west, engine_stage::none, 2, 1}},
                  {},
                  1.5,
                  0.5},
        view_case{"prefill",
                  {{east, engine_stage::prefill, 1, 3}},
                  {{east, 0.5}},
                  0.5,
                  0},
        view_case{"asked", {{east}, {west}}, {{east, 2}, {west, 1}}, 2, 1},
        view_case{"lost_domain", {{east}}, {{east, 2}, {west, 1}}, 3, 0},
        view_case{"unknown_domain",
                  {{east}, {west}},
                  {{failure_domain_id(), 3}},
                  1.5,
                  1.5},
        view_case{"no_slots", {{east, engine_stage::none, 0, 2}}, {}, 2, 0}),
    [](const auto& it) { return it.param.name; });

TEST(scaling_sum, counts_upstreams_that_running_requests_need)
{
    const std::vector<scaled_upstream> upstreams{
        {east, engine_stage::prefill, 1, 3},
        {east, engine_stage::decode, 4, 1},
        {east, engine_stage::decode, 4, 0}};
    const auto load = sum_scaling_load(upstreams, {}).at(east);
    EXPECT_EQ(load.registered, 3U);
    EXPECT_EQ(load.occupied, 2U);
}

// Gateways without this duty, and earlier versions, state no failure domain.
TEST(scaling_registration, may_state_the_failure_domain)
{
    const ip_address peer{"127.0.0.1", 7};
    const auto full = decode_registration(encode_registration({peer, east}));
    EXPECT_EQ(full.peer, peer);
    EXPECT_EQ(full.failure_domain, east);
    EXPECT_EQ(encode_registration({peer, {}}), R"({"peer":"127.0.0.1:7"})");
    EXPECT_EQ(decode_registration(R"({"peer":"127.0.0.1:7"})").failure_domain,
              failure_domain_id());
    EXPECT_THROW(
        decode_registration(R"({"peer": "127.0.0.1:7", "failure_domain": 7})"),
        parse_error);
}

// The sum alone does not tell where the callers are.
TEST(scaling_demand, is_known_by_gateway)
{
    peer_loads loads;
    std::vector<std::uint64_t> changed;
    load_report a;
    a.sender = "a";
    a.number = 1;
    a.demand = {{5, {2, 1}}, {6, {9, 9}}};
    load_report b = a;
    b.sender = "b";
    b.demand = {{5, {4, 0}}};
    loads.apply(a, mono_time(seconds(1)), changed);
    loads.apply(b, mono_time(seconds(1)), changed);
    const auto demands = loads.demand_by_sender(5);
    ASSERT_EQ(demands.size(), 2U);
    EXPECT_EQ(demands[0].first, "a");
    EXPECT_DOUBLE_EQ(demands[0].second.prefill, 2);
    EXPECT_EQ(demands[1].first, "b");
    EXPECT_DOUBLE_EQ(demands[1].second.prefill, 4);
}

} // namespace
} // namespace poplar::gateway
