// Forecasts of admission: how long a request would wait.
#include "policy/admission.hpp"

#include <algorithm>

namespace poplar::policy
{

namespace
{

/// Least part of a rate assumed for a rank, so that forecasts stay finite.
constexpr double least_part = 0.02;

} // namespace

group_load load_of_group(std::span<const engine_load> engines,
                         const engine_speed& speed, mono_time measured_at,
                         double part)
{
    group_load sum;
    sum.measured_at = measured_at;
    double slots = 0;
    for (const engine_load& e : engines)
    {
        if (!e.available || e.role == sheet::engine_role::unassigned)
            continue;
        if (computes_prompts_only(e.role))
        {
            sum.prefill_rate += part * speed.prefill_tokens_per_second;
            sum.queued_prefill_tokens += e.queued_prompt_tokens;
            continue;
        }
        sum.shared_prefill_rate += part * speed.shared_prefill_rate();
        sum.decode_rate += part * speed.decode_tokens_per_second;
        slots += part * speed.max_streams;
        sum.queued_shared_tokens += e.queued_prompt_tokens;
        sum.streams += e.streams;
    }
    sum.stream_slots = static_cast<unsigned>(slots);
    return sum;
}

/// Rate that more urgent ranks and the shares of less urgent ones leave.
double admission::lent_rate(std::size_t rank, resource of) const
{
    const double full = rate(of);
    double left = full;
    for (std::size_t r = 0; r < ranks_.size(); ++r)
    {
        const double recent = ranks_[r].recent[of];
        const double queued = ranks_[r].queued[of];
        if (r < rank)
            left -= recent;
        else if (r > rank)
            left -= std::min(share(r) * full, recent + queued);
    }
    return std::max(left, least_part * full);
}

/// Engine seconds per second that the rank's queue can expect.
double admission::drain_rate(std::size_t rank) const
{
    double part = 1;
    for (resource of : {prompt, output})
    {
        if (rate(of) > 0)
            part = std::min(part, lent_rate(rank, of) / rate(of));
    }
    return std::max(share(rank), part) * capacity();
}

/// Seconds until `ahead` tokens of the own queue have left, by the rank's
/// guaranteed share or by what more urgent ranks leave, whichever is sooner.
double admission::resource_wait(std::size_t rank, resource of, double ahead,
                                double own) const
{
    const double full = rate(of);
    if (full <= 0)
        return 0;
    double work_ahead = ahead;
    double urgent = 0;
    for (std::size_t r = 0; r < rank; ++r)
        urgent += ranks_[r].queued[of];
    double by_share = ahead;
    if (of == output)
    {
        work_ahead -= std::max(0.0, free_slots()) * std::max(1.0, own);
        const double share_slots =
            share(rank) * load_.stream_slots - ranks_[rank].guaranteed_streams;
        by_share -= std::max(0.0, share_slots) * std::max(1.0, own);
    }
    else
    {
        for (pool at : {prefill_pool, shared_pool})
        {
            work_ahead += computing_before(rank, false, at);
            by_share += computing_before(rank, true, at);
        }
    }
    const double lent =
        std::max(0.0, work_ahead + urgent) / lent_rate(rank, of);
    const double guaranteed = share(rank) * full;
    if (guaranteed <= 0)
        return lent;
    return std::min(lent, std::max(0.0, by_share) / guaranteed);
}

admission::forecast admission::forecast_for(std::size_t rank, const work& w,
                                            double part_ahead) const
{
    const rank_state& r = ranks_[rank];
    forecast f;
    f.prompt = resource_wait(rank, prompt, r.queued[prompt] * part_ahead, 0);
    const double own = static_cast<double>(w.output.value);
    // Without a free slot the request waits for at least one to be released.
    const bool slot = free_slots() >= 1 || within_share(rank);
    f.stream = resource_wait(
        rank, output, r.queued[output] * part_ahead + (slot ? 0 : own), own);
    return f;
}

admission_decision admission::judge(const admission_request& r,
                                    mono_time now) const
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
    const double part = queue.cost() > 0 ? ahead / queue.cost() : 0;
    const forecast f = forecast_for(rank, r.expected, part);
    const double own = least_prompt_seconds(r.expected);
    const double slack = seconds(r.first_token_by - now);
    const double usable = slack * (1 - settings_.target_margin);
    d.expected_wait = from_seconds(f.wait());
    if (own > slack)
        d.cause = refusal_cause::too_long;
    else if (f.wait() > 0 && f.wait() + own > usable)
        d.cause = f.prompt >= f.stream ? refusal_cause::prompt_backlog
                                       : refusal_cause::stream_backlog;
    else
        d.verdict = admission_verdict::queued;
    d.retry_after = from_seconds(std::max(0.0, f.wait() + own - usable));
    return d;
}

} // namespace poplar::policy
