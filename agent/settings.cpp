#include "agent/settings.hpp"

#include "observe/log.hpp"

namespace poplar::agent
{

namespace
{

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

upstream_kind parse_kind(settings::reader& all)
{
    const std::string kind = all.text("kind", "engine");
    if (kind == "service")
        return upstream_kind::service;
    if (kind != "engine")
        all.fail("kind", R"(expected "engine" or "service")");
    return upstream_kind::engine;
}

stream_options parse_streams(settings::reader r)
{
    stream_options o;
    o.max_open = static_cast<std::size_t>(
        r.integer("max_open", static_cast<std::int64_t>(o.max_open), 1, 65536));
    o.keep_time =
        r.time("keep_time", o.keep_time, milliseconds(100), minutes(1));
    o.token_idle_limit = r.time("token_idle_limit", o.token_idle_limit,
                                milliseconds(100), minutes(5));
    o.first_token_limit = r.time("first_token_limit", o.first_token_limit,
                                 milliseconds(100), minutes(30));
    o.cancel_timeout = r.time("cancel_timeout", o.cancel_timeout,
                              milliseconds(100), minutes(1));
    return o;
}

order_options parse_orders(settings::reader& r, upstream_kind kind)
{
    order_options o;
    o.takes_orders = kind == upstream_kind::engine;
    o.drain_time =
        r.time("drain_time", o.drain_time, milliseconds(0), hours(1));
    o.retry_interval = r.time("retry_interval", o.retry_interval,
                              milliseconds(100), minutes(1));
    o.longest_retry_interval =
        r.time("longest_retry_interval", o.longest_retry_interval,
               milliseconds(100), minutes(10));
    return o;
}

poll_options parse_polls(settings::reader r)
{
    poll_options o;
    o.interval = r.time("interval", o.interval, milliseconds(50), seconds(10));
    o.timeout = r.time("timeout", o.timeout, milliseconds(50), seconds(30));
    o.report_interval = r.time("report_interval", o.report_interval,
                               milliseconds(50), seconds(10));
    o.longest_report_interval =
        r.time("longest_report_interval", o.longest_report_interval,
               milliseconds(50), seconds(30));
    return o;
}

call_options parse_calls(settings::reader r)
{
    call_options o;
    o.max_open = static_cast<std::size_t>(
        r.integer("max_open", static_cast<std::int64_t>(o.max_open), 1, 65536));
    o.timeout = r.time("timeout", o.timeout, milliseconds(100), minutes(30));
    o.max_ledger_writes = static_cast<unsigned>(
        r.integer("max_ledger_writes", o.max_ledger_writes, 1, 10000));
    return o;
}

void parse_log(settings::reader log)
{
    // The level itself is checked and used by the daemon package.
    log.text("level", "info");
}

} // namespace

agent_settings parse_settings(settings::reader& all)
{
    agent_settings s;
    s.instance = instance_id(all.text("instance"));
    s.group = group_id(all.text("group"));
    s.region = region_id(all.text("region"));
    s.failure_domain = failure_domain_id(all.text("failure_domain"));
    s.kind = parse_kind(all);
    s.upstream = all.address("upstream");
    s.listen = all.address("listen");
    s.admin = all.address("admin", {"127.0.0.1", 0});
    s.platform = all.address("platform");
    s.slot_lock_port =
        static_cast<std::uint16_t>(all.integer("slot_lock_port", 0, 0, 65535));
    s.checks_fencing = all.flag("checks_fencing", false);
    s.slot_check_interval =
        all.time("slot_check_interval", s.slot_check_interval,
                 milliseconds(100), minutes(1));
    s.streams = parse_streams(all.table("streams"));
    settings::reader orders = all.table("orders");
    s.orders = parse_orders(orders, s.kind);
    s.polls = parse_polls(all.table("polls"));
    s.polls.order_timeout = orders.time("timeout", s.polls.order_timeout,
                                        milliseconds(100), minutes(5));
    s.calls = parse_calls(all.table("calls"));
    s.shutdown_limit = all.time("shutdown_limit", s.shutdown_limit,
                                milliseconds(0), hours(24));
    parse_log(all.table("log"));
    all.finish();
    return s;
}

} // namespace poplar::agent
