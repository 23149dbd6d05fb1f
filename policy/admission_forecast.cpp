// Forecasts of admission: how long a request would wait.
#include "policy/admission.hpp"

#include <algorithm>

namespace poplar::policy
{

namespace
{

/// Least part of a rate assumed for a rank, so that forecasts stay finite.
constexpr double least_part = 0.02;
/// Least part of a request's time that the queue may take however many callers
/// are due to return.
constexpr double fresh_part = 0.4;

/// Of a request's time, that its output may be expected to take: a guess of the
/// output length alone refuses no request.
constexpr double longest_stream_part = 0.5;

} // namespace

mono_time latest_first_token(mono_time arrived, mono_time target,
                             mono_time deadline, token_count output,
                             const engine_speed& speed)
{
    const double streaming =
        static_cast<double>(output.value) / speed.stream_rate();
    const double most = longest_stream_part * seconds(deadline - arrived);
    return std::min(target, deadline - from_seconds(std::min(streaming, most)));
}

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

/// Seconds until the part of the own queue that is ahead has its prompts taken
/// up: by the rank's guaranteed share or by what more urgent ranks leave,
/// whichever is sooner.
double admission::prompt_wait(std::size_t rank, double part_ahead) const
{
    const double full = rate(prompt);
    const rank_state& r = ranks_[rank];
    double own = r.queued[prompt] * part_ahead;
    double all = own;
    for (std::size_t i = 0; i < rank; ++i)
        all += ranks_[i].queued[prompt];
    for (pool at : {prefill_pool, shared_pool})
    {
        all += computing_before(rank, false, at);
        own += computing_before(rank, true, at);
    }
    const double lent = all / lent_rate(rank, prompt);
    if (share(rank) <= 0)
        return lent;
    // Shares are of engine time: a rank of long prompts may use its share on
    // prompts alone.
    const double by_share = std::max(
        own / full, r.queue.cost() * part_ahead / (share(rank) * capacity()));
    return std::min(lent, by_share);
}

/// The same for stream slots; `own` is the request's output.
double admission::stream_wait(std::size_t rank, double part_ahead,
                              double own) const
{
    const double full = rate(output);
    const rank_state& r = ranks_[rank];
    // Without a free slot the request waits for at least one to be released.
    const bool slot = free_slots() >= 1 || within_share(rank);
    const double ahead = r.queued[output] * part_ahead + (slot ? 0 : own);
    double urgent = 0;
    for (std::size_t i = 0; i < rank; ++i)
        urgent += ranks_[i].queued[output];
    const double each = std::max(1.0, own);
    const double free = std::max(0.0, free_slots()) * each;
    const double lent =
        std::max(0.0, ahead + urgent - free) / lent_rate(rank, output);
    if (share(rank) <= 0)
        return lent;
    const double share_slots =
        share(rank) * load_.stream_slots - r.guaranteed_streams;
    const double by_share =
        std::max(0.0, ahead - std::max(0.0, share_slots) * each) /
        (share(rank) * full);
    return std::min(lent, by_share);
}

admission::forecast admission::forecast_for(std::size_t rank, const work& w,
                                            double part_ahead) const
{
    return {prompt_wait(rank, part_ahead),
            stream_wait(rank, part_ahead, static_cast<double>(w.output.value))};
}

admission_decision admission::judge(const admission_request& r, bool promised,
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
    const double margin = settings_.target_margin;
    const double usable = slack * (1 - (promised ? margin / 2 : margin));
    double wait = f.wait();
    double limit = usable;
    // Callers told to return find room in the queue.
    if (!promised)
    {
        const double due =
            ranks_[rank].promises.cost_due(now + from_seconds(usable));
        limit -= due / std::max(drain_rate(rank), 1e-6);
        limit = std::max(limit, fresh_part * usable);
    }
    d.expected_wait = from_seconds(std::min(wait, 1e6));
    if (own > slack)
        d.cause = refusal_cause::too_long;
    else if (wait > 0 && wait + own > limit)
        d.cause = f.prompt >= f.stream ? refusal_cause::prompt_backlog
                                       : refusal_cause::stream_backlog;
    else
        d.verdict = admission_verdict::queued;
    d.retry_after = from_seconds(std::max(0.0, f.wait() + own - usable));
    return d;
}

} // namespace poplar::policy
