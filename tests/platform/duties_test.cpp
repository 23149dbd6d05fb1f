// Guards against calls that the platform's API would refuse or misread.
#include "platform/duties.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace poplar::platform
{
namespace
{

using nlohmann::json;

std::string header(const net::client_request& r, const char* name)
{
    const std::string* text = net::find_header(r.headers, name);
    return text ? *text : "";
}

void expect_call(const net::client_request& r, const char* path)
{
    EXPECT_EQ(r.method, "POST");
    EXPECT_EQ(r.path, path);
    EXPECT_EQ(r.to, (ip_address{"127.0.0.1", 99}));
    EXPECT_EQ(header(r, "Duty-Holder"), "g-1");
    EXPECT_EQ(header(r, "Fencing-Token"), "18446744073709551615");
    EXPECT_EQ(header(r, "Content-Type"), "application/json");
}

const duty_credentials by{"g-1", fencing_token(18446744073709551615U)};

TEST(duty_calls, encode_a_usage_report)
{
    const net::client_request r = encode_usage_report(
        {"127.0.0.1", 99}, by,
        {policy::window_number(353445120), {{"fida11", 11}, {"hule930", 412}}});
    expect_call(r, "/usage");
    EXPECT_EQ(json::parse(r.body), json::parse(R"({"windowId": 353445120,
                              "counts": {"hule930": 412, "fida11": 11}})"));
}

// A report of a window without any request must have an empty object.
TEST(duty_calls, encode_an_empty_usage_report)
{
    EXPECT_EQ(json::parse(encode_usage_report({"127.0.0.1", 99}, by,
                                              {policy::window_number(7), {}})
                              .body),
              json::parse(R"({"windowId": 7, "counts": {}})"));
}

TEST(duty_calls, encode_an_order_of_upstreams)
{
    const net::client_request r = encode_scale_order(
        {"127.0.0.1", 99}, by,
        {service_id("huvo11a"), failure_domain_id("valtellina"), 6});
    expect_call(r, "/scale");
    EXPECT_EQ(json::parse(r.body),
              json::parse(R"({"service": "huvo11a", "zone": "valtellina",
                              "desired": 6})"));
}

struct duties_case
{
    const char* text;
    bool usage;
    bool scaling;
};

class duty_names : public testing::TestWithParam<duties_case>
{
};

TEST_P(duty_names, select_duties)
{
    const duty_set d = parse_duties(GetParam().text);
    EXPECT_EQ(d.usage, GetParam().usage);
    EXPECT_EQ(d.scaling, GetParam().scaling);
}

INSTANTIATE_TEST_SUITE_P(
    texts, duty_names,
    testing::Values(duties_case{"", false, false},
                    duties_case{"metering", true, false},
                    duties_case{"autoscale", false, true},
                    duties_case{"metering,autoscale", true, true},
                    duties_case{" autoscale , other", false, true},
                    duties_case{"autoscaler", false, false}));

} // namespace
} // namespace poplar::platform
