// Guards against orders of upstreams that are not sent by a running gateway, or
// sent although nobody asked for them.
#include "tests/platform/gateway_fixture.hpp"

#include <algorithm>

namespace poplar::gateway
{
namespace
{

struct scaling_case
{
    const char* name;
    const char* duties;
    bool has_bounds;
    bool is_called;
};

class scaling_calls : public gateway_test,
                      public testing::WithParamInterface<scaling_case>
{
protected:
    void start_with_duties(const ip_address& platform_api)
    {
        json configuration = configuration_json(1);
        if (GetParam().has_bounds)
            configuration["services"][1]["scaling"] = {
                {"min", 3}, {"max", 6}, {"bootS", 2.5}};
        put("config/main", configuration);
        gateway_settings s;
        const ip_address any{"127.0.0.1", 0};
        s.instance = instance_id("g");
        s.failure_domain = failure_domain_id("z");
        s.listen = s.ready = s.admin = s.peer = any;
        s.timeouts.close_delay = milliseconds(300);
        s.timeouts.drain_limit = milliseconds(1500);
        s.platform_api.emplace();
        s.platform_api->address = platform_api;
        s.platform_api->duties = GetParam().duties;
        gateway_ = std::make_unique<gateway>(s, store_);
        wait_until_ready();
    }
};

bool is_order(const std::string& head)
{
    return head.starts_with("POST /scale HTTP/1.1\r\n");
}

TEST_P(scaling_calls, reach_the_platform)
{
    scripted_upstream platform_api(
        [](const std::string&) -> scripted_answer
        { return {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"}; });
    add_upstream("w1", {"127.0.0.1", 9}, "writers", "decode");
    start_with_duties(platform_api.address());
    // The first order follows 5 s after the upstream was first seen.
    std::vector<std::string> heads;
    for (int i = 0; i < 100 && std::ranges::none_of(heads, is_order); ++i)
    {
        std::this_thread::sleep_for(
            milliseconds(GetParam().is_called ? 200 : 80));
        heads = platform_api.heads();
    }
    const auto order = std::ranges::find_if(heads, is_order);
    ASSERT_EQ(order != heads.end(), GetParam().is_called);
    if (!GetParam().is_called)
        return;
    EXPECT_NE(order->find("Duty-Holder: g\r\n"), std::string::npos) << *order;
    EXPECT_NE(order->find("Fencing-Token: "), std::string::npos) << *order;
}

INSTANTIATE_TEST_SUITE_P(
    duties, scaling_calls,
    testing::Values(scaling_case{"alone", "autoscale", true, true},
                    scaling_case{"with_usage", "metering,autoscale", true,
                                 true},
                    scaling_case{"without_bounds", "autoscale", false, false},
                    scaling_case{"not_listed", "metering", true, false}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::gateway
