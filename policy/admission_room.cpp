// Rates of a group, and room for one more request at its engines.
#include "policy/admission.hpp"

#include <algorithm>

namespace poplar::policy
{

namespace
{

/// Part of a pool's window below which it has time for other prompts.
constexpr double spare_part = 0.5;

double as_double(token_count n)
{
    return static_cast<double>(n.value);
}

} // namespace

admission::amounts admission::amounts_of(const work& w)
{
    return {as_double(w.prompt), as_double(w.output)};
}

double admission::rate(resource of) const
{
    return of == output ? load_.decode_rate
                        : load_.prefill_rate + load_.shared_prefill_rate;
}

double admission::pool_rate(pool at) const
{
    return at == prefill_pool ? load_.prefill_rate : load_.shared_prefill_rate;
}

double admission::pool_speed(pool at) const
{
    if (pool_rate(at) <= 0)
        return 0;
    return at == prefill_pool ? settings_.speed.prefill_tokens_per_second
                              : settings_.speed.shared_prefill_rate();
}

double admission::least_prompt_seconds(const work& w) const
{
    const double speed =
        std::max({pool_speed(prefill_pool), pool_speed(shared_pool), 1.0});
    return as_double(w.prompt) / speed;
}

double admission::cost(const work& w) const
{
    return engine_seconds(w, settings_.speed);
}

double admission::capacity() const
{
    return rate(prompt) / settings_.speed.prefill_tokens_per_second +
           load_.decode_rate / settings_.speed.decode_tokens_per_second;
}

double admission::before(std::array<pool_amounts, 2> rank_state::*amounts,
                         std::size_t rank, bool guaranteed, pool at) const
{
    double sum = 0;
    for (std::size_t r = 0; r < ranks_.size(); ++r)
    {
        const auto& [lent, own] = ranks_[r].*amounts;
        if (r <= rank || !guaranteed)
            sum += own[at];
        if (r <= rank && !guaranteed)
            sum += lent[at];
    }
    return sum;
}

double admission::computing_before(std::size_t rank, bool guaranteed,
                                   pool at) const
{
    return foreign_prompt_[at] +
           before(&rank_state::computing, rank, guaranteed, at);
}

double admission::streams() const
{
    double sum = 0;
    for (const rank_state& r : ranks_)
        sum += r.streams;
    return sum;
}

double admission::free_slots() const
{
    return load_.stream_slots - streams() - foreign_streams_;
}

bool admission::has_share_slot(std::size_t rank) const
{
    return ranks_[rank].guaranteed_streams + 1 <=
           share(rank) * load_.stream_slots;
}

bool admission::within_share(std::size_t rank) const
{
    return ranks_[rank].credit > 0 && has_share_slot(rank);
}

bool admission::pool_has_room(std::size_t rank, bool guaranteed, pool at) const
{
    if (pool_rate(at) <= 0)
        return false;
    const double window = pool_rate(at) * settings_.prompt_window;
    if (computing_before(rank, guaranteed, at) < window)
        return true;
    // Long prompts: at least one for each engine, so that none is idle.
    const double engines = pool_rate(at) / pool_speed(at);
    const double prompts = before(&rank_state::prompts, rank, guaranteed, at);
    return prompts + 1 <= engines && foreign_prompt_[at] < window;
}

bool admission::in_time(std::size_t rank, bool guaranteed, const work& w,
                        mono_time first_token_by, pool at) const
{
    const double ready =
        computing_before(rank, guaranteed, at) / pool_rate(at) +
        as_double(w.prompt) / pool_speed(at);
    const double left = seconds(first_token_by - advanced_);
    return ready <= left * (1 - settings_.target_margin);
}

std::optional<admission::pool>
admission::pool_for(std::size_t rank, const work& w,
                    mono_time first_token_by) const
{
    const bool guaranteed = within_share(rank);
    if (load_.decode_rate <= 0 || (!guaranteed && free_slots() < 1))
        return std::nullopt;
    // A stream engine computes prompts less efficiently and slows its streams:
    // short prompts take prefill engines too while these have time to spare.
    const bool is_long = w.prompt >= settings_.split_threshold;
    const bool prefill_room = pool_has_room(rank, guaranteed, prefill_pool);
    if (prefill_room && (is_long || has_spare(prefill_pool)))
        return prefill_pool;
    if (pool_has_room(rank, guaranteed, shared_pool) &&
        (load_.prefill_rate <= 0 ||
         in_time(rank, guaranteed, w, first_token_by, shared_pool)))
        return shared_pool;
    return prefill_room ? std::optional(prefill_pool) : std::nullopt;
}

bool admission::has_spare(pool at) const
{
    double computing = foreign_prompt_[at];
    double prompts = 0;
    for (const rank_state& r : ranks_)
    {
        computing += r.computing[0][at] + r.computing[1][at];
        prompts += r.prompts[0][at] + r.prompts[1][at];
    }
    const double window = pool_rate(at) * settings_.prompt_window;
    return computing < spare_part * window ||
           prompts < spare_part * pool_rate(at) / pool_speed(at);
}

} // namespace poplar::policy
