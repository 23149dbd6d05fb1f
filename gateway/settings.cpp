#include "gateway/settings.hpp"

namespace poplar::gateway
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;

double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

duration from_seconds(double s)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(s));
}

shared_retry_settings parse_retries(settings::reader table)
{
    shared_retry_settings r;
    r.ratio = table.number("ratio", r.ratio, 0, 1);
    r.slack =
        static_cast<unsigned>(table.integer("slack", r.slack, 0, 100'000));
    return r;
}

gateway_limits parse_limits(settings::reader table)
{
    gateway_limits l;
    l.max_open_requests = static_cast<unsigned>(
        table.integer("max_open_requests", l.max_open_requests, 1, 1 << 20));
    l.max_body_bytes =
        table.size("max_body_bytes", l.max_body_bytes, byte_count(1 << 16),
                   byte_count(std::int64_t(1) << 34));
    l.max_callers = static_cast<unsigned>(
        table.integer("max_callers", l.max_callers, 1, 1 << 20));
    // At least two reads beyond the pipelined requests that are read ahead.
    l.max_unparsed_bytes = table.size(
        "max_unparsed_bytes", l.max_unparsed_bytes,
        byte_count(std::int64_t(64) << 10), byte_count(std::int64_t(16) << 20));
    l.max_status_callers = static_cast<unsigned>(
        table.integer("max_status_callers", l.max_status_callers, 1, 1 << 20));
    if (table.has("memory"))
        l.memory = table.size("memory", byte_count(0),
                              byte_count(std::int64_t(1) << 20),
                              byte_count(std::int64_t(1) << 40));
    return l;
}

gateway_timeouts parse_timeouts(settings::reader table)
{
    gateway_timeouts t;
    t.apply = table.time("apply", t.apply, milliseconds(100), minutes(1));
    t.heartbeat =
        table.time("heartbeat", t.heartbeat, milliseconds(10), minutes(1));
    t.drain = table.time("drain", t.drain, milliseconds(100), minutes(1));
    t.close_delay =
        table.time("close_delay", t.close_delay, milliseconds(0), minutes(1));
    t.drain_limit =
        table.time("drain_limit", t.drain_limit, milliseconds(0), minutes(10));
    t.order_lease =
        table.time("order_lease", t.order_lease, milliseconds(100), minutes(1));
    if (t.drain_limit < t.close_delay)
        table.fail("drain_limit", "is below close_delay");
    return t;
}

platform_api_settings parse_platform_api(settings::reader table)
{
    platform_api_settings s;
    s.address = table.address("address");
    s.duties = table.text("duties", "");
    s.calls_per_second =
        table.number("calls_per_second", s.calls_per_second, 0.001, 1'000'000);
    // Numbers of seconds instead of times with a unit: platforms state
    // fractions.
    s.usage_window = from_seconds(table.number(
        "usage_window_seconds", to_seconds(s.usage_window), 0.1, 3600));
    s.usage_late = from_seconds(table.number(
        "usage_late_seconds", to_seconds(s.usage_late), 0.1, 3600));
    return s;
}

} // namespace

gateway_settings parse_gateway_settings(settings::reader& all)
{
    gateway_settings s;
    const ip_address any_port{"127.0.0.1", 0};
    s.instance = instance_id(all.text("instance"));
    s.failure_domain = failure_domain_id(all.text("failure_domain", ""));
    s.listen = all.address("listen", any_port);
    s.ready = all.address("ready", any_port);
    s.admin = all.address("admin", any_port);
    s.peer = all.address("peer", any_port);
    s.store = all.address("store");
    s.retries = parse_retries(all.table("retries"));
    s.limits = parse_limits(all.table("limits"));
    s.timeouts = parse_timeouts(all.table("timeouts"));
    if (all.has("platform_api"))
        s.platform_api = parse_platform_api(all.table("platform_api"));
    all.finish();
    return s;
}

} // namespace poplar::gateway
