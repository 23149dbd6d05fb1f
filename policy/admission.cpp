#include "policy/admission.hpp"

#include <algorithm>
#include <cmath>

namespace poplar::policy
{

namespace
{

/// Time constant of the moving average of dispatched work, in seconds.
constexpr double dispatch_rate_time_constant = 2;
/// Age up to which samples of this entry's load are kept. An older load report
/// is compared with the oldest sample.
constexpr duration own_load_history_length = std::chrono::seconds(10);
/// Minimum time between two samples of this entry's load, and between two
/// periodic forecast checks of queued requests.
constexpr duration own_load_sample_interval = std::chrono::milliseconds(50);
/// Quantum of the fair queues, in engine seconds.
constexpr double quantum_seconds = 0.05;

/// Maximum fraction of a rank's capacity reserved for retries of refused
/// requests; the remainder is for new requests. A larger fraction makes the
/// given retry times less reliable: in replays of overload, the fraction of
/// retries at that time that were served on target was 0.65 with 0.1, 0.57 with
/// 0.5 and 0.41 with 1.
constexpr double max_reserved_fraction = 0.1;
/// Factor on the forecast wait of a refused request. Under overload, the
/// forecast end of a backlog is too early by this factor.
constexpr double retry_safety_factor = 1.2;

double as_double(token_count n)
{
    return static_cast<double>(n.value);
}

} // namespace

admission::admission(admission_settings settings)
    : settings_(std::move(settings))
{
    if (settings_.ranks.empty())
        settings_.ranks.emplace_back();
    ranks_.assign(settings_.ranks.size(), rank_state(quantum_seconds));
}

std::size_t admission::rank_of(rank_index rank) const
{
    return std::min<std::size_t>(rank.value, ranks_.size() - 1);
}

double admission::share(std::size_t rank) const
{
    return settings_.ranks[rank].guaranteed_share;
}

void admission::advance(mono_time now)
{
    if (last_advance_ == mono_time())
        last_advance_ = now;
    const double dt = std::max(0.0, seconds(now - last_advance_));
    if (dt <= 0)
        return;
    last_advance_ = now;
    const double decay = std::exp(-dt / dispatch_rate_time_constant);
    for (std::size_t i = 0; i < ranks_.size(); ++i)
    {
        rank_state& r = ranks_[i];
        for (double& a : r.dispatch_rate)
            a *= decay;
        const double earned = share(i) * capacity();
        const double max_credit = earned * settings_.share_burst;
        r.credit = std::clamp(r.credit + earned * dt, -max_credit, max_credit);
    }
    sample_own_load(now);
}

void admission::sample_own_load(mono_time now)
{
    if (!own_load_history_.empty() &&
        now - own_load_history_.back().time < own_load_sample_interval)
        return;
    own_load sample{now, {}, streams()};
    for (const rank_state& r : ranks_)
    {
        for (int at = 0; at < pools; ++at)
            sample.prefill_tokens[at] +=
                r.prefill_tokens[0][at] + r.prefill_tokens[1][at];
    }
    own_load_history_.push_back(sample);
    while (now - own_load_history_.front().time > own_load_history_length)
        own_load_history_.pop_front();
}

void admission::update(const group_load& load, mono_time now)
{
    advance(now);
    load_ = load;
    own_load own;
    for (const own_load& past : own_load_history_)
    {
        if (past.time > load.measured_at && own.time != mono_time())
            break;
        own = past;
    }
    // Reported load above this entry's own load at that time is from other
    // entries. The present own load is added wherever load is computed.
    peer_prefill_tokens_ = {
        std::max(0.0, as_double(load.queued_prefill_tokens) -
                          own.prefill_tokens[prefill_pool]),
        std::max(0.0, as_double(load.queued_shared_tokens) -
                          own.prefill_tokens[shared_pool])};
    peer_streams_ = std::max(0.0, load.streams - own.streams);
    forecast_check_due_ = true;
}

void admission::set_ranks(std::vector<sheet::rank> ranks)
{
    if (ranks.empty())
        return;
    settings_.ranks = std::move(ranks);
    while (ranks_.size() < settings_.ranks.size())
        ranks_.emplace_back(quantum_seconds);
    const std::size_t last = settings_.ranks.size() - 1;
    for (std::size_t i = last + 1; i < ranks_.size(); ++i)
    {
        rank_state& removed = ranks_[i];
        while (!removed.queue.empty())
        {
            admission_request r = dequeue(i, removed.queue.pop_front());
            r.rank = rank_index(last);
            enqueue(r, last_advance_);
        }
        ranks_[last].streams += removed.streams;
        ranks_[last].guaranteed_streams += removed.guaranteed_streams;
        for (int g = 0; g < 2; ++g)
        {
            for (int k = 0; k < pools; ++k)
            {
                ranks_[last].prefill_requests[g][k] +=
                    removed.prefill_requests[g][k];
                ranks_[last].prefill_tokens[g][k] +=
                    removed.prefill_tokens[g][k];
            }
        }
    }
    for (auto& [id, request_state] : dispatched_)
    {
        request_state.rank = std::min(request_state.rank, last);
    }
    while (ranks_.size() > settings_.ranks.size())
        ranks_.pop_back();
}

admission_decision admission::refuse(const admission_request& r,
                                     refusal_cause cause, double seconds_late,
                                     mono_time now)
{
    const std::size_t i = rank_of(r.rank);
    rank_state& rank = ranks_[i];
    admission_decision d;
    d.cause = cause;
    double wait = seconds_late * retry_safety_factor;
    if (cause == refusal_cause::no_capacity)
        wait = std::max(wait, 1.0);
    d.retry_after =
        std::clamp(from_seconds(std::min(wait, 1e6)), settings_.min_retry_after,
                   settings_.max_retry_after);
    if (cause != refusal_cause::too_long)
    {
        // Reserves only a fraction of the rank's rate, so that new requests
        // keep the remainder.
        const double rate = drain_rate(i) * max_reserved_fraction;
        const mono_time due = rank.reservations.reserve(
            r.tenant, now + d.retry_after, cost(r.expected), rate);
        d.retry_after = std::min(due - now, settings_.max_retry_after);
    }
    rank.demand.refused += r.expected;
    return d;
}

admission_decision admission::dispatch_now(const admission_request& r, pool at)
{
    const std::size_t rank = rank_of(r.rank);
    rank_state& state = ranks_[rank];
    admission_decision d;
    d.verdict = admission_verdict::dispatch;
    d.split = at == prefill_pool;
    d.guaranteed = within_share(rank);
    dispatched_[r.id] = {rank, d.guaranteed, at, r.expected, true};
    state.prefill_tokens[d.guaranteed][at] += as_double(r.expected.prompt);
    ++state.prefill_requests[d.guaranteed][at];
    ++state.streams;
    state.guaranteed_streams += d.guaranteed ? 1 : 0;
    const amounts a = to_amounts(r.expected);
    for (int k = 0; k < resources; ++k)
        state.dispatch_rate[k] += a[k] / dispatch_rate_time_constant;
    state.credit -= cost(r.expected);
    return d;
}

void admission::enqueue(const admission_request& r, mono_time now)
{
    const std::size_t rank = rank_of(r.rank);
    const double prefill_seconds = min_prefill_seconds(r.expected);
    queued_request q{r.id,
                     r.tenant,
                     r.tenant_weight,
                     r.expected,
                     cost(r.expected),
                     now,
                     r.first_token_deadline,
                     r.first_token_deadline - from_seconds(prefill_seconds)};
    const amounts a = to_amounts(r.expected);
    for (int k = 0; k < resources; ++k)
        ranks_[rank].queued[k] += a[k];
    ranks_[rank].queue.push(std::move(q));
}

admission_request admission::dequeue(std::size_t rank, queued_request q)
{
    const amounts a = to_amounts(q.expected);
    rank_state& r = ranks_[rank];
    for (int k = 0; k < resources; ++k)
        r.queued[k] = r.queue.empty() ? 0 : std::max(0.0, r.queued[k] - a[k]);
    return {
        q.id,       std::move(q.tenant),   q.tenant_weight, rank_index(rank),
        q.expected, q.first_token_deadline};
}

std::optional<admission::dispatch_choice> admission::choose_next_dispatch()
{
    for (bool guaranteed : {true, false})
    {
        for (std::size_t i = 0; i < ranks_.size(); ++i)
        {
            rank_state& r = ranks_[i];
            if (r.queue.empty() || within_share(i) != guaranteed)
                continue;
            const queued_request& q = *r.queue.front();
            if (const auto at =
                    select_pool(i, q.expected, q.first_token_deadline))
                return dispatch_choice{i, *at};
        }
    }
    return std::nullopt;
}

admission_decision admission::offer(const admission_request& request,
                                    mono_time now)
{
    advance(now);
    const std::size_t rank = rank_of(request.rank);
    rank_state& r = ranks_[rank];
    r.reservations.drop_expired(now);
    const bool has_reservation = r.reservations.claim(request.tenant, now);
    const admission_decision d = decide(request, has_reservation, now);
    if (d.verdict == admission_verdict::refused)
    {
        admission_decision refusal =
            refuse(request, d.cause, seconds(d.retry_after), now);
        refusal.expected_wait = d.expected_wait;
        return refusal;
    }
    r.demand.accepted += request.expected;
    if (r.queue.empty() && !choose_next_dispatch())
    {
        const auto at =
            select_pool(rank, request.expected, request.first_token_deadline);
        if (at)
            return dispatch_now(request, *at);
    }
    enqueue(request, now);
    return d;
}

std::optional<request_id> admission::find_late_request(std::size_t rank,
                                                       mono_time now)
{
    const fair_queue& queue = ranks_[rank].queue;
    const queued_request* late = queue.most_urgent();
    if (!late || late->dispatch_deadline < now)
        return late ? std::optional(late->id) : std::nullopt;
    if (!forecast_check_due_)
        return std::nullopt;
    // More urgent work or a loss of engines may have invalidated the forecast
    // made on arrival. The newest request of the tenant with the largest
    // backlog is refused first.
    const queued_request* last = queue.newest_of_largest_backlog();
    const double ahead =
        queue.cost_ahead(last->tenant, last->tenant_weight, 0) - last->cost;
    const double fraction = std::max(0.0, ahead) / std::max(queue.cost(), 1e-9);
    const forecast f = make_forecast(rank, last->expected, fraction);
    if (f.wait() <= seconds(last->dispatch_deadline - now))
        return std::nullopt;
    return last->id;
}

std::optional<queue_decision> admission::refuse_next_late(std::size_t rank,
                                                          mono_time now)
{
    const std::optional<request_id> id = find_late_request(rank, now);
    if (!id)
        return std::nullopt;
    rank_state& r = ranks_[rank];
    admission_request request = dequeue(rank, *r.queue.remove(*id));
    const work& w = request.expected;
    const double wait = make_forecast(rank, w, 1).wait();
    const admission_decision d =
        refuse(request, refusal_cause::target_passed, wait, now);
    r.demand.accepted.prompt -= w.prompt;
    r.demand.accepted.output -= w.output;
    return queue_decision{std::move(request), d};
}

std::optional<queue_decision> admission::next(mono_time now)
{
    advance(now);
    if (now - last_forecast_check_ >= own_load_sample_interval)
    {
        last_forecast_check_ = now;
        forecast_check_due_ = true;
    }
    for (std::size_t i = 0; i < ranks_.size(); ++i)
    {
        if (auto late_refusal = refuse_next_late(i, now))
            return late_refusal;
    }
    forecast_check_due_ = false;
    const std::optional<dispatch_choice> c = choose_next_dispatch();
    if (!c)
        return std::nullopt;
    queue_decision next_dispatch;
    next_dispatch.request = dequeue(c->rank, ranks_[c->rank].queue.pop_front());
    next_dispatch.decision = dispatch_now(next_dispatch.request, c->at);
    return next_dispatch;
}

void admission::first_token(const request_id& id, mono_time now)
{
    advance(now);
    const auto it = dispatched_.find(id);
    if (it == dispatched_.end() || !it->second.prefilling)
        return;
    it->second.prefilling = false;
    rank_state& r = ranks_[it->second.rank];
    const pool at = it->second.at;
    double& prefill_tokens = r.prefill_tokens[it->second.guaranteed][at];
    prefill_tokens =
        std::max(0.0, prefill_tokens - as_double(it->second.expected.prompt));
    double& prefill_requests = r.prefill_requests[it->second.guaranteed][at];
    prefill_requests = std::max(0.0, prefill_requests - 1);
}

void admission::finished(const request_id& id, mono_time now)
{
    first_token(id, now);
    const auto it = dispatched_.find(id);
    if (it == dispatched_.end())
        return;
    rank_state& r = ranks_[it->second.rank];
    --r.streams;
    r.guaranteed_streams -= it->second.guaranteed ? 1 : 0;
    dispatched_.erase(it);
}

void admission::cancel(const request_id& id)
{
    for (std::size_t i = 0; i < ranks_.size(); ++i)
    {
        if (auto q = ranks_[i].queue.remove(id))
            dequeue(i, std::move(*q));
    }
}

std::vector<rank_work> admission::take_demand()
{
    std::vector<rank_work> result;
    result.reserve(ranks_.size());
    for (rank_state& r : ranks_)
        result.push_back(std::exchange(r.demand, {}));
    return result;
}

std::size_t admission::queued() const
{
    std::size_t n = 0;
    for (const rank_state& r : ranks_)
        n += r.queue.size();
    return n;
}

work admission::backlog(rank_index rank) const
{
    const rank_state& r = ranks_[rank_of(rank)];
    return {token_count(std::llround(r.queued[prompt])),
            token_count(std::llround(r.queued[output]))};
}

} // namespace poplar::policy
