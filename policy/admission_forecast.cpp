// Wait forecasts of admission, and the decision on a new request.
#include "policy/admission.hpp"

#include <algorithm>

namespace poplar::policy
{

namespace
{

/// Minimum fraction of a rate assumed for a rank, so that forecasts stay
/// finite.
constexpr double min_rate_fraction = 0.02;
/// Minimum fraction of a new request's usable time that its wait and prefill
/// together may take, however much is reserved for retries.
constexpr double min_new_request_fraction = 0.4;

/// Maximum fraction of a request's time reserved for its output, so that an
/// estimate of the output length alone causes no refusal.
constexpr double max_stream_fraction = 0.5;

} // namespace

mono_time compute_first_token_deadline(mono_time arrived, mono_time target,
                                       mono_time deadline, token_count output,
                                       const engine_speed& speed)
{
    const double streaming =
        static_cast<double>(output.value) / speed.stream_rate();
    const double max_streaming =
        max_stream_fraction * seconds(deadline - arrived);
    return std::min(
        target, deadline - from_seconds(std::min(streaming, max_streaming)));
}

group_load sum_group_load(std::span<const engine_load> engines,
                          const engine_speed& speed, mono_time measured_at,
                          double fraction)
{
    group_load sum;
    sum.measured_at = measured_at;
    double slots = 0;
    for (const engine_load& e : engines)
    {
        if (!e.available || e.role == sheet::engine_role::unassigned)
            continue;
        if (is_prefill_only(e.role))
        {
            sum.prefill_rate += fraction * speed.prefill_tokens_per_second;
            sum.queued_prefill_tokens += e.queued_prompt_tokens;
            continue;
        }
        sum.shared_prefill_rate += fraction * speed.shared_prefill_rate();
        sum.decode_rate += fraction * speed.decode_tokens_per_second;
        slots += fraction * speed.max_streams;
        sum.queued_shared_tokens += e.queued_prompt_tokens;
        sum.streams += e.streams;
    }
    sum.stream_slots = static_cast<unsigned>(slots);
    return sum;
}

/// Returns the rate in tokens/s left by the dispatches of more urgent ranks and
/// the guaranteed shares of less urgent ranks that have work. A less urgent
/// rank takes at most its dispatch rate plus its queued tokens in one second.
double admission::available_rate(std::size_t rank, resource kind) const
{
    const double total_rate = rate(kind);
    double available = total_rate;
    for (std::size_t r = 0; r < ranks_.size(); ++r)
    {
        const double dispatch_rate = ranks_[r].dispatch_rate[kind];
        const double queued = ranks_[r].queued[kind];
        if (r < rank)
            available -= dispatch_rate;
        else if (r > rank)
            available -=
                std::min(share(r) * total_rate, dispatch_rate + queued);
    }
    return std::max(available, min_rate_fraction * total_rate);
}

/// Returns the engine seconds per second available to the rank's queue.
double admission::drain_rate(std::size_t rank) const
{
    double fraction = 1;
    for (resource kind : {prompt, output})
    {
        if (rate(kind) > 0)
            fraction =
                std::min(fraction, available_rate(rank, kind) / rate(kind));
    }
    return std::max(share(rank), fraction) * capacity();
}

/// Returns the seconds until the prompts ahead have finished prefill: those in
/// the given leading fraction of the rank's queue, in more urgent queues and at
/// the engines. Computed on the rank's guaranteed share and on the capacity
/// left by other ranks; the shorter time counts.
double admission::forecast_prefill_wait(std::size_t rank,
                                        double fraction_ahead) const
{
    const double total_rate = rate(prompt);
    const rank_state& r = ranks_[rank];
    double tokens_on_share = r.queued[prompt] * fraction_ahead;
    double tokens_on_remainder = tokens_on_share;
    for (std::size_t i = 0; i < rank; ++i)
        tokens_on_remainder += ranks_[i].queued[prompt];
    for (pool at : {prefill_pool, shared_pool})
    {
        tokens_on_remainder += prefill_tokens_ahead(rank, false, at);
        tokens_on_share += prefill_tokens_ahead(rank, true, at);
    }
    const double wait_on_remainder =
        tokens_on_remainder / available_rate(rank, prompt);
    if (share(rank) <= 0)
        return wait_on_remainder;
    // A share is a fraction of engine time, so a rank with long prompts may
    // spend all of its share on prefill.
    const double wait_on_share =
        std::max(tokens_on_share / total_rate,
                 r.queue.cost() * fraction_ahead / (share(rank) * capacity()));
    return std::min(wait_on_remainder, wait_on_share);
}

/// Returns the seconds until a stream slot is free for the request, computed
/// like the prefill wait. `own` is the request's output in tokens.
double admission::forecast_stream_wait(std::size_t rank, double fraction_ahead,
                                       double own) const
{
    const double total_rate = rate(output);
    const rank_state& r = ranks_[rank];
    // Without a free slot the request waits for at least one to be released.
    const bool has_slot = free_slots() >= 1 || within_share(rank);
    const double ahead =
        r.queued[output] * fraction_ahead + (has_slot ? 0 : own);
    double urgent = 0;
    for (std::size_t i = 0; i < rank; ++i)
        urgent += ranks_[i].queued[output];
    const double output_per_slot = std::max(1.0, own);
    const double free = std::max(0.0, free_slots()) * output_per_slot;
    const double wait_on_remainder =
        std::max(0.0, ahead + urgent - free) / available_rate(rank, output);
    if (share(rank) <= 0)
        return wait_on_remainder;
    const double share_slots =
        share(rank) * load_.stream_slots - r.guaranteed_streams;
    const double wait_on_share =
        std::max(0.0, ahead - std::max(0.0, share_slots) * output_per_slot) /
        (share(rank) * total_rate);
    return std::min(wait_on_remainder, wait_on_share);
}

admission::forecast admission::make_forecast(std::size_t rank, const work& w,
                                             double fraction_ahead) const
{
    return {forecast_prefill_wait(rank, fraction_ahead),
            forecast_stream_wait(rank, fraction_ahead,
                                 static_cast<double>(w.output.value))};
}

admission_decision admission::decide(const admission_request& r,
                                     bool has_reservation, mono_time now) const
{
    admission_decision d;
    if (rate(output) <= 0 || rate(prompt) <= 0)
    {
        d.cause = refusal_cause::no_capacity;
        return d;
    }
    const std::size_t rank = rank_of(r.rank);
    const fair_queue& queue = ranks_[rank].queue;
    const double ahead =
        queue.cost_ahead(r.tenant, r.tenant_weight, cost(r.expected));
    const double fraction = queue.cost() > 0 ? ahead / queue.cost() : 0;
    const forecast f = make_forecast(rank, r.expected, fraction);
    const double prefill_seconds = min_prefill_seconds(r.expected);
    const double slack = seconds(r.first_token_deadline - now);
    const double margin = settings_.target_margin;
    const double usable = slack * (1 - (has_reservation ? margin / 2 : margin));
    double wait = f.wait();
    double limit = usable;
    // Leaves queue capacity for callers that retry at their reserved time. Such
    // a caller itself skips this limit and keeps only half of the margin.
    if (!has_reservation)
    {
        const double due =
            ranks_[rank].reservations.reserved_cost(now + from_seconds(usable));
        limit -= due / std::max(drain_rate(rank), 1e-6);
        limit = std::max(limit, min_new_request_fraction * usable);
    }
    d.expected_wait = from_seconds(std::min(wait, 1e6));
    if (prefill_seconds > slack)
        d.cause = refusal_cause::too_long;
    else if (wait > 0 && wait + prefill_seconds > limit)
        d.cause = f.prefill_wait >= f.stream_wait
                      ? refusal_cause::prompt_backlog
                      : refusal_cause::stream_backlog;
    else
        d.verdict = admission_verdict::queued;
    d.retry_after =
        from_seconds(std::max(0.0, f.wait() + prefill_seconds - usable));
    return d;
}

} // namespace poplar::policy
