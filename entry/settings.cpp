#include "entry/settings.hpp"

namespace poplar::entry
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

entry_limits parse_limits(settings::reader table)
{
    entry_limits l;
    l.max_open_requests = static_cast<std::uint32_t>(
        table.integer("max_open_requests", l.max_open_requests, 1, 1 << 20));
    l.max_body = table.size("max_body", l.max_body, byte_count(1 << 10),
                            byte_count(3 << 20));
    l.max_output = token_count(
        table.integer("max_output_tokens", l.max_output.value, 1, 1 << 16));
    l.default_output = token_count(table.integer(
        "default_output_tokens", l.default_output.value, 1, 1 << 16));
    if (l.default_output > l.max_output)
        table.fail("default_output_tokens", "is above max_output_tokens");
    l.window = table.size("window", l.window, byte_count(1 << 10),
                          byte_count(1 << 20));
    l.answer_buffer = table.size("answer_buffer", l.answer_buffer,
                                 byte_count(1 << 10), byte_count(1 << 20));
    l.max_attempts = static_cast<unsigned>(
        table.integer("max_attempts", l.max_attempts, 1, 64));
    l.retry_ratio = table.number("retry_ratio", l.retry_ratio, 0, 1);
    l.tenant_labels = static_cast<unsigned>(
        table.integer("tenant_labels", l.tenant_labels, 0, 1000));
    l.decision_records = static_cast<unsigned>(
        table.integer("decision_records", l.decision_records, 16, 1 << 20));
    l.http_threads = static_cast<unsigned>(
        table.integer("http_threads", l.http_threads, 1, 64));
    l.wire_threads = static_cast<unsigned>(
        table.integer("wire_threads", l.wire_threads, 1, 64));
    return l;
}

entry_timeouts parse_timeouts(settings::reader table)
{
    entry_timeouts t;
    t.default_deadline = table.time("default_deadline", t.default_deadline,
                                    milliseconds(10), minutes(60));
    t.max_deadline = table.time("max_deadline", t.max_deadline,
                                milliseconds(10), minutes(24 * 60));
    t.attach_wait =
        table.time("attach_wait", t.attach_wait, milliseconds(10), seconds(10));
    t.resume_patience = table.time("resume_patience", t.resume_patience,
                                   milliseconds(0), minutes(5));
    t.instance_poll = table.time("instance_poll", t.instance_poll,
                                 milliseconds(50), minutes(1));
    t.watch = table.time("watch", t.watch, milliseconds(100), minutes(2));
    t.lowest_reconnect = table.time("lowest_reconnect", t.lowest_reconnect,
                                    milliseconds(1), seconds(10));
    t.highest_reconnect = table.time("highest_reconnect", t.highest_reconnect,
                                     milliseconds(1), minutes(1));
    t.close_delay =
        table.time("close_delay", t.close_delay, milliseconds(0), minutes(1));
    if (t.highest_reconnect < t.lowest_reconnect)
        table.fail("highest_reconnect", "is below lowest_reconnect");
    if (t.max_deadline < t.default_deadline)
        table.fail("max_deadline", "is below default_deadline");
    return t;
}

policy::engine_speed parse_speed(settings::reader table)
{
    policy::engine_speed s;
    s.prefill_tokens_per_second =
        table.number("prefill_tokens_per_second", s.prefill_tokens_per_second,
                     1, 10'000'000);
    s.decode_tokens_per_second = table.number(
        "decode_tokens_per_second", s.decode_tokens_per_second, 1, 10'000'000);
    s.max_streams = static_cast<unsigned>(
        table.integer("max_streams", s.max_streams, 1, 65536));
    s.shared_prefill_fraction =
        table.number("shared_prefill", s.shared_prefill_fraction, 0.01, 1);
    return s;
}

control_timeouts parse_control(settings::reader table)
{
    control_timeouts c;
    c.lease = table.time("lease", c.lease, milliseconds(100), minutes(5));
    c.renewal = table.time("renewal", c.renewal, milliseconds(20), minutes(1));
    c.takeover_stagger = table.time("takeover_stagger", c.takeover_stagger,
                                    milliseconds(0), minutes(1));
    c.planning =
        table.time("planning", c.planning, milliseconds(20), minutes(1));
    if (c.lease < 2 * c.renewal)
        table.fail("lease", "is below twice the renewal interval");
    return c;
}

} // namespace

entry_settings parse_entry_settings(settings::reader& root)
{
    entry_settings s;
    const ip_address any_port{"127.0.0.1", 0};
    s.instance = instance_id(root.text("instance"));
    s.region = region_id(root.text("region", ""));
    s.failure_domain = failure_domain_id(root.text("failure_domain", ""));
    s.listen = root.address("listen", any_port);
    s.inner_listen = root.address("inner_listen", any_port);
    s.admin = root.address("admin", any_port);
    s.platform = root.address("platform");
    s.cell_count = static_cast<unsigned>(
        root.table("cell").integer("count", s.cell_count, 1, 1000));
    s.limits = parse_limits(root.table("limits"));
    s.timeouts = parse_timeouts(root.table("timeouts"));
    s.speed = parse_speed(root.table("engine_speed"));
    s.control = parse_control(root.table("control"));
    root.finish();
    return s;
}

} // namespace poplar::entry
