#include "gateway/scaling_duty.hpp"

#include "gateway/duty_timing.hpp"
#include "observe/log.hpp"

#include <algorithm>
#include <ranges>
#include <set>

namespace poplar::gateway
{

namespace
{

using observe::event;
using std::chrono::milliseconds;

/// A service in a failure domain is watched for this long before the first
/// order: the entries of its upstreams and the load reports of the other
/// gateways must have arrived.
constexpr duration watch_time = std::chrono::seconds(5);
/// Fraction of the calls of all duties. It is allowed to accumulate for a
/// second, so that a tenth in advance and a tenth per second make a fifth.
constexpr double call_share = 0.1;
/// A step that has taken this long ends, so that other duties are in time.
constexpr duration max_step_time = milliseconds(500);
/// Delay before an order is repeated; doubles up to the longest.
constexpr duration first_retry_delay = milliseconds(500);
constexpr duration max_retry_delay = std::chrono::seconds(8);

duration grow(duration delay)
{
    return std::clamp(2 * delay, first_retry_delay, max_retry_delay);
}

/// The answer concerns all calls, not this order alone.
bool is_general(const net::client_result& result)
{
    return result.failure != net::client_failure::none ||
           result.response.status == 429 || result.response.status >= 500;
}

} // namespace

scaling_duty::scaling_duty(scaling_duty_options options)
    : options_(std::move(options)),
      budget_(std::max(1.0, call_share * options_.calls_per_second))
{
}

void scaling_duty::step(duty_lease& lease, const scale_call& call)
{
    lease.follow_era();
    const scaling_view v = options_.view();
    try
    {
        check_holder(lease, v);
        if (!lease.is_holder())
            forget_orders();
        update(v);
        if (follow_due() && hold(lease, v))
            send_due(lease, call);
    }
    catch (const store::store_error&)
    {
        // A holder that cannot renew must not keep others from taking over.
        set_announced(false);
        throw;
    }
    set_announced(lease.is_holder());
}

void scaling_duty::update(const scaling_view& v)
{
    const mono_time t = options_.clock();
    std::set<service_id> scaled;
    for (const scaled_service& service : v.services)
    {
        scaled.insert(service.name);
        for (const auto& [name, load] : service.domains)
        {
            subject_state& s = subjects_[{service.name, name}];
            if (s.first_seen == mono_time{})
                s.first_seen = t;
        }
        for (auto& [of, s] : subjects_)
        {
            if (of.service != service.name)
                continue;
            // A domain whose upstreams are all gone keeps its number, so that
            // the platform replaces them.
            const auto it = service.domains.find(of.failure_domain);
            s.load = it == service.domains.end() ? policy::scaling_load()
                                                 : it->second;
            s.load.is_complete = v.is_complete;
            s.wanted = s.plan.update(service.bounds, s.load,
                                     s.confirmed || s.is_unconfirmed, t);
        }
    }
    std::erase_if(subjects_, [&](const auto& it)
                  { return !scaled.contains(it.first.service); });
}

/// Without an order of its own, this process takes the registered number for
/// the ordered one.
bool scaling_duty::is_due(const subject_state& s) const
{
    const mono_time t = options_.clock();
    if (t - s.first_seen < watch_time || t < s.retry_at)
        return false;
    return s.is_unconfirmed ||
           s.wanted != s.confirmed.value_or(s.load.registered);
}

bool scaling_duty::has_due() const
{
    return options_.clock() >= paused_until_ &&
           std::ranges::any_of(subjects_ | std::views::values,
                               [&](const subject_state& it)
                               { return is_due(it); });
}

bool scaling_duty::follow_due()
{
    if (!has_due())
        due_since_.reset();
    else if (!due_since_)
        due_since_ = options_.clock();
    return due_since_.has_value();
}

void scaling_duty::check_holder(duty_lease& lease, const scaling_view& v)
{
    const mono_time t = options_.clock();
    if (!options_.acquires_lease || !lease.is_holder() ||
        v.holder_silence > holder_silence_limit || t < next_acquire_)
        return;
    next_acquire_ = t + lease_acquire_interval;
    lease.acquire();
}

bool scaling_duty::hold(duty_lease& lease, const scaling_view& v)
{
    if (lease.is_holder())
        return true;
    const mono_time t = options_.clock();
    if (!options_.acquires_lease || t < next_acquire_ ||
        v.holder_silence <= holder_silence_limit ||
        t - *due_since_ < duty_takeover_delay * std::int64_t(v.index))
        return false;
    next_acquire_ = t + lease_acquire_interval;
    const auto token = lease.acquire();
    if (token)
        observe::log(event::gateway_duty_taken, {{"fencing", token->value},
                                                 {"index", v.index},
                                                 {"gateways", v.gateways}});
    return token.has_value();
}

void scaling_duty::send_due(duty_lease& lease, const scale_call& call)
{
    refill_budget();
    const mono_time begun = options_.clock();
    for (auto& [of, s] : subjects_)
    {
        if (!is_due(s))
            continue;
        if (options_.clock() - begun >= max_step_time || budget_ < 1)
            return;
        const auto token = lease.acquire();
        if (!token || !lease.may_act())
            return;
        --budget_;
        if (!send(of, s, *token, lease, call))
            return;
    }
}

bool scaling_duty::send(const subject& of, subject_state& s,
                        fencing_token fencing, duty_lease& lease,
                        const scale_call& call)
{
    s.is_unconfirmed = true;
    const net::client_result result = call(
        {options_.holder, fencing}, {of.service, of.failure_domain, s.wanted});
    const bool is_confirmed = result.failure == net::client_failure::none &&
                              result.response.status == 200;
    observe::log(is_confirmed ? event::gateway_upstreams_ordered
                              : event::gateway_upstream_order_failed,
                 {{"service", of.service.value},
                  {"failure_domain", of.failure_domain.value},
                  {"wanted", s.wanted},
                  {"registered", s.load.registered},
                  {"asked_ms", std::int64_t(s.load.asked * 1000)},
                  {"running_ms", std::int64_t(s.load.running * 1000)},
                  {"forecast_ms", std::int64_t(s.plan.forecast() * 1000)},
                  {"fencing", fencing.value},
                  {"failure", to_string(result.failure)},
                  {"status", result.response.status}});
    if (!is_confirmed)
    {
        note_failure(s, result, lease);
        return !is_general(result);
    }
    s.confirmed = s.wanted;
    s.is_unconfirmed = false;
    s.retry_delay = pause_ = duration::zero();
    unreachable_ = 0;
    return true;
}

void scaling_duty::note_failure(subject_state& s,
                                const net::client_result& result,
                                duty_lease& lease)
{
    const mono_time t = options_.clock();
    s.retry_delay = grow(s.retry_delay);
    s.retry_at = t + s.retry_delay;
    if (!is_general(result))
        return;
    pause_ = grow(pause_);
    paused_until_ = t + pause_;
    unreachable_ =
        result.failure == net::client_failure::none ? 0 : unreachable_ + 1;
    if (!options_.acquires_lease || unreachable_ < max_unreachable_calls)
        return;
    observe::log(event::gateway_duty_yielded,
                 {{"reason", "the platform's API cannot be reached"}});
    unreachable_ = 0;
    lease.yield();
}

void scaling_duty::refill_budget()
{
    const double per_second = call_share * options_.calls_per_second;
    const mono_time t = options_.clock();
    budget_ = std::min(
        std::max(1.0, per_second),
        budget_ + per_second *
                      std::chrono::duration<double>(t - refilled_at_).count());
    refilled_at_ = t;
}

/// Another process may order other numbers from now on.
void scaling_duty::forget_orders()
{
    for (subject_state& it : subjects_ | std::views::values)
    {
        it.confirmed.reset();
        it.is_unconfirmed = false;
        it.retry_at = {};
        it.retry_delay = {};
    }
}

void scaling_duty::set_announced(bool is_holder)
{
    if (options_.acquires_lease &&
        is_holder != std::exchange(is_announced_, is_holder))
        options_.announce(is_holder);
}

} // namespace poplar::gateway
