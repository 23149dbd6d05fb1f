// Guards against entries of the store that are misread, and against malformed
// ones that would name an upstream to use.
#include "platform/objects.hpp"

#include <gtest/gtest.h>

namespace poplar::platform
{
namespace
{

using std::chrono::milliseconds;

constexpr const char* sample_configuration = R"({
  "version": 4,
  "routes": [{"name": "r", "host": "A.example", "pathPrefix": "/x/",
    "service": "writers", "routeType": "stream", "timeoutMs": 5000,
    "targetLatencyMs": 500, "maxAttempts": 2, "priority": 1, "sticky": true,
    "resumable": true, "gapTargetMs": 200}],
  "services": [{"name": "writers", "maxConns": 360,
    "kvTokenCapacity": 1000}],
  "limits": {"maxHeaderBytes": 1000, "maxBodyBytes": 2000,
    "headerTimeoutMs": 3000, "idleTimeoutMs": 4000}})";

TEST(decode_configuration, reads_routes_services_and_limits)
{
    const gateway::configuration c = decode_configuration(sample_configuration);
    EXPECT_EQ(c.version, gateway::config_version(4));
    ASSERT_EQ(c.routes.size(), 1U);
    const gateway::route& r = c.routes[0];
    EXPECT_EQ(r.host, "a.example");
    EXPECT_EQ(r.kind, gateway::call_kind::stream);
    EXPECT_EQ(r.target, duration(milliseconds(500)));
    EXPECT_EQ(r.timeout, duration(milliseconds(5000)));
    EXPECT_TRUE(r.resumable);
    ASSERT_EQ(c.services.size(), 1U);
    EXPECT_EQ(c.services[0].kv_capacity, token_count(1000));
    EXPECT_EQ(c.limits.body_bytes, 2000U);
    EXPECT_EQ(c.limits.idle_timeout, duration(milliseconds(4000)));
}

TEST(decode_configuration, refuses_text_that_is_none)
{
    EXPECT_THROW(decode_configuration("{"), parse_error);
    EXPECT_THROW(decode_configuration("{}"), parse_error);
}

struct entry_case
{
    const char* name;
    const char* text;
};

class malformed_entry : public testing::TestWithParam<entry_case>
{
};

TEST_P(malformed_entry, names_no_upstream)
{
    EXPECT_THROW(decode_upstream(object_key("servers/i-1"), GetParam().text),
                 parse_error);
}

INSTANTIATE_TEST_SUITE_P(
    entries, malformed_entry,
    testing::Values(
        entry_case{"no_json", "\xff"}, entry_case{"empty", "{}"},
        entry_case{"list", "[]"},
        entry_case{"no_address",
                   R"({"service":"w","zone":"z","slots":1,"state":"ready"})"},
        entry_case{"address_type",
                   R"({"service":"w","address":7,"zone":"z","slots":1,
                       "state":"ready"})"},
        entry_case{"address_name",
                   R"({"service":"w","address":"host:1","zone":"z",
                       "slots":1,"state":"ready"})"},
        entry_case{"unknown_state",
                   R"({"service":"w","address":"1.2.3.4:1","zone":"z",
                       "slots":1,"state":"resting"})"},
        entry_case{"slots_type",
                   R"({"service":"w","address":"1.2.3.4:1","zone":"z",
                       "slots":"many","state":"ready"})"}),
    [](const auto& it) { return it.param.name; });

TEST(decode_upstream, reads_an_engine)
{
    const auto r = decode_upstream(
        object_key("servers/i-1"),
        R"({"service":"w","address":"1.2.3.4:1","zone":"z","slots":64,
            "state":"draining","stage":"prefill","born":17})");
    EXPECT_EQ(r.id.value, "i-1");
    EXPECT_EQ(r.stage, gateway::engine_stage::prefill);
    EXPECT_EQ(r.state, gateway::upstream_state::draining);
    EXPECT_EQ(r.started_ms, 17);
}

TEST(object_dialect, writes_under_a_condition)
{
    const store::store_dialect d = make_object_dialect();
    const object_key key("order-leases/engines");
    const auto create = d.put(key, R"({"a":1})", object_version());
    EXPECT_EQ(create.method + " " + create.path, "POST /objects/order-leases");
    const auto change = d.put(key, R"({"a":1})", object_version(7));
    EXPECT_EQ(change.method + " " + change.path,
              "PUT /objects/order-leases/engines");
    EXPECT_NE(change.body.find("\"revision\":7"), std::string::npos);
}

TEST(object_dialect, reads_pages_and_changes)
{
    const store::store_dialect d = make_object_dialect();
    net::http_response r;
    r.body = R"({"asOf":9,"hasMore":true,"items":[
        {"metadata":{"name":"b","revision":3},"spec":{"a":1}}]})";
    const store::object_page page = d.parse_page("servers/", r);
    EXPECT_EQ(page.next, "b");
    EXPECT_EQ(page.list.revision, object_version(9));
    ASSERT_EQ(page.list.objects.size(), 1U);
    EXPECT_EQ(page.list.objects[0].key.value, "servers/b");
    r.body = R"({"asOf":10,"events":[{"deleted":true,
        "object":{"metadata":{"name":"b","revision":10},"spec":{}}}]})";
    const store::object_list changes = d.parse_changes("servers/", r);
    ASSERT_EQ(changes.objects.size(), 1U);
    EXPECT_EQ(changes.objects[0].version, object_version());
}

} // namespace
} // namespace poplar::platform
