#include "gateway/usage_duty.hpp"

#include "base/json_text.hpp"
#include "gateway/duty_timing.hpp"
#include "observe/log.hpp"
#include "platform/duties.hpp"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace poplar::gateway
{

namespace
{

using observe::event;
using std::chrono::milliseconds;

constexpr duration call_timeout = std::chrono::seconds(1);
constexpr std::size_t max_answer_bytes = std::size_t(16) << 10;
/// Delay before a report that failed is sent again; doubles up to the longest.
constexpr duration first_send_delay = milliseconds(300);
constexpr duration max_send_delay = std::chrono::seconds(4);
constexpr const char* usage_member = "usage";

std::uint64_t sum_of(const policy::account_counts& counts)
{
    const auto values = counts | std::views::values;
    return std::accumulate(values.begin(), values.end(), std::uint64_t(0));
}

} // namespace

nlohmann::json encode_usage_record(const policy::usage_record& record)
{
    nlohmann::json pending = nlohmann::json::array();
    for (const policy::usage_report& it : record.pending)
        pending.push_back({{"window", it.window.value}, {"counts", it.counts}});
    nlohmann::json j{{"pending", std::move(pending)}};
    if (record.fixed_through)
        j["fixed_through"] = record.fixed_through->value;
    return j;
}

policy::usage_record decode_usage_record(const nlohmann::json& payload)
{
    try
    {
        return guard_json(
            [&]
            {
                policy::usage_record record;
                if (!payload.is_object() || !payload.contains(usage_member))
                    return record;
                const nlohmann::json& j = payload.at(usage_member);
                if (j.contains("fixed_through"))
                    record.fixed_through = policy::window_number(
                        json_integer<std::uint64_t>(j.at("fixed_through")));
                for (const nlohmann::json& it : j.at("pending"))
                    record.pending.push_back(
                        {policy::window_number(
                             json_integer<std::uint64_t>(it.at("window"))),
                         it.at("counts").get<policy::account_counts>()});
                return record;
            });
    }
    catch (const parse_error& ec)
    {
        observe::log(event::gateway_duty_record_unreadable,
                     {{"object", usage_member}, {"reason", ec.what()}});
        return {};
    }
}

usage_duty::usage_duty(usage_duty_options options)
    : options_(std::move(options)), send_delay_(first_send_delay)
{
    plan_settings_.window = options_.window;
}

void usage_duty::step(duty_lease& lease, const platform_call& call)
{
    lease.follow_era();
    const usage_view v = options_.view();
    plan_settings_.settle = options_.settle_time();
    try
    {
        if (should_hold(lease, v))
            act(lease, call, v);
    }
    catch (const store::store_error&)
    {
        // A holder that cannot renew must not keep others from taking over.
        set_announced(false);
        throw;
    }
    set_announced(lease.is_holder());
}

void usage_duty::act(duty_lease& lease, const platform_call& call,
                     const usage_view& v)
{
    was_holder_ = was_holder_ || lease.is_holder();
    if (!lease.is_holder())
    {
        next_acquire_ = options_.clock() + lease_acquire_interval;
        const auto token = lease.acquire();
        was_holder_ = token.has_value();
        if (!token)
            return;
        observe::log(event::gateway_duty_taken, {{"fencing", token->value},
                                                 {"index", v.index},
                                                 {"gateways", v.gateways}});
    }
    record_ = decode_usage_record(lease.payload());
    if (fix_reports(lease, v))
        send_reports(lease, call);
}

void usage_duty::set_announced(bool is_holder)
{
    if (is_holder != std::exchange(is_announced_, is_holder))
        options_.announce(is_holder, record_.fixed_through);
}

bool usage_duty::should_hold(const duty_lease& lease, const usage_view& v) const
{
    if (lease.is_holder())
        return true;
    if (options_.clock() < next_acquire_)
        return false;
    return was_holder_ ||
           v.holder_silence > holder_silence_limit +
                                  duty_takeover_delay * std::int64_t(v.index);
}

bool usage_duty::fix_reports(duty_lease& lease, const usage_view& v)
{
    policy::usage_plan_input input;
    input.record = record_;
    input.now = v.now;
    input.started = v.started;
    if (const auto at = lease.restored_at())
        input.restored = at->time_since_epoch() + v.clock_offset;
    input.confirmed = confirmed_;
    input.own_fixed = own_fixed_;
    const auto last = policy::last_settled(plan_settings_, v.now);
    if (!last || (record_.fixed_through && *last <= *record_.fixed_through))
        return true;
    const policy::window_number oldest = policy::window_at(
        v.now - plan_settings_.max_age, plan_settings_.window);
    auto totals = options_.totals(oldest, *last);
    input.total = [&](policy::window_number w)
    {
        return totals[w];
    };
    policy::usage_plan plan = policy::plan_usage(plan_settings_, input);
    if (plan.record == record_)
        return true;
    nlohmann::json payload = lease.payload().is_object()
                                 ? lease.payload()
                                 : nlohmann::json::object();
    payload[usage_member] = encode_usage_record(plan.record);
    if (!lease.write_payload(std::move(payload)))
        return false;
    for (const policy::window_number w : plan.abandoned)
        observe::log(event::gateway_usage_abandoned, {{"window", w.value}});
    for (const policy::usage_report& it : plan.record.pending)
        own_fixed_.emplace(it.window, it.counts);
    record_ = std::move(plan.record);
    forget_before(oldest);
    options_.announce(true, record_.fixed_through);
    is_announced_ = true;
    return true;
}

void usage_duty::forget_before(policy::window_number window)
{
    confirmed_.erase(confirmed_.begin(), confirmed_.lower_bound(window));
    own_fixed_.erase(own_fixed_.begin(), own_fixed_.lower_bound(window));
}

/// Sends the reports that have not arrived, in the order of their windows.
void usage_duty::send_reports(duty_lease& lease, const platform_call& call)
{
    for (const policy::usage_report& it : record_.pending)
    {
        if (confirmed_.contains(it.window))
            continue;
        if (options_.clock() < next_send_)
            return;
        const auto token = lease.acquire();
        if (!token || !lease.may_act())
            return;
        if (!send(it, *token, call))
            return note_failure(lease);
        confirmed_.insert(it.window);
        unreachable_ = 0;
        send_delay_ = first_send_delay;
    }
}

bool usage_duty::send(const policy::usage_report& report, fencing_token fencing,
                      const platform_call& call)
{
    net::client_request request = platform::encode_usage_report(
        options_.platform_api, {options_.holder, fencing}, report);
    request.timeout = call_timeout;
    request.max_response_bytes = max_answer_bytes;
    const net::client_result result = call(std::move(request));
    const bool has_answer = result.failure == net::client_failure::none;
    const bool has_arrived = has_answer && result.response.status == 200;
    unreachable_ = has_answer ? 0 : unreachable_ + 1;
    observe::log(has_arrived ? event::gateway_usage_reported
                             : event::gateway_usage_failed,
                 {{"window", report.window.value},
                  {"accounts", report.counts.size()},
                  {"requests", sum_of(report.counts)},
                  {"fencing", fencing.value},
                  {"failure", to_string(result.failure)},
                  {"status", result.response.status}});
    return has_arrived;
}

void usage_duty::note_failure(duty_lease& lease)
{
    next_send_ = options_.clock() + send_delay_;
    send_delay_ = std::min(2 * send_delay_, max_send_delay);
    if (unreachable_ < max_unreachable_calls)
        return;
    observe::log(event::gateway_duty_yielded,
                 {{"reason", "the platform's API cannot be reached"}});
    unreachable_ = 0;
    was_holder_ = false;
    lease.yield();
}

} // namespace poplar::gateway
