// Rates of a group, and the choice of engines that can take one more request.
#include "policy/admission.hpp"

#include <algorithm>

namespace poplar::policy
{

namespace
{

/// Fraction of a pool's prompt window, or of its engines, below which the pool
/// also takes prompts that another pool could prefill.
constexpr double spare_fraction = 0.5;

double as_double(token_count n)
{
    return static_cast<double>(n.value);
}

} // namespace

admission::amounts admission::to_amounts(const work& w)
{
    return {as_double(w.prompt), as_double(w.output)};
}

double admission::rate(resource kind) const
{
    return kind == output ? load_.decode_rate
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

double admission::min_prefill_seconds(const work& w) const
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

double admission::sum_ahead(std::array<pool_amounts, 2> rank_state::*member,
                            std::size_t rank, bool guaranteed, pool at) const
{
    double sum = 0;
    for (std::size_t r = 0; r < ranks_.size(); ++r)
    {
        const auto& [lent, guaranteed_amounts] = ranks_[r].*member;
        if (r <= rank || !guaranteed)
            sum += guaranteed_amounts[at];
        if (r <= rank && !guaranteed)
            sum += lent[at];
    }
    return sum;
}

double admission::prefill_tokens_ahead(std::size_t rank, bool guaranteed,
                                       pool at) const
{
    return peer_prefill_tokens_[at] +
           sum_ahead(&rank_state::prefill_tokens, rank, guaranteed, at);
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
    return load_.stream_slots - streams() - peer_streams_;
}

bool admission::has_guaranteed_slot(std::size_t rank) const
{
    return ranks_[rank].guaranteed_streams + 1 <=
           share(rank) * load_.stream_slots;
}

bool admission::within_share(std::size_t rank) const
{
    return ranks_[rank].credit > 0 && has_guaranteed_slot(rank);
}

bool admission::pool_has_capacity(std::size_t rank, bool guaranteed,
                                  pool at) const
{
    if (pool_rate(at) <= 0)
        return false;
    const double window = pool_rate(at) * settings_.prompt_window;
    if (prefill_tokens_ahead(rank, guaranteed, at) < window)
        return true;
    // Long prompts may exceed the window: one prompt per engine is allowed, so
    // that no engine is idle.
    const double engines = pool_rate(at) / pool_speed(at);
    const double prefill_requests =
        sum_ahead(&rank_state::prefill_requests, rank, guaranteed, at);
    return prefill_requests + 1 <= engines && peer_prefill_tokens_[at] < window;
}

bool admission::meets_deadline(std::size_t rank, bool guaranteed, const work& w,
                               mono_time first_token_deadline, pool at) const
{
    const double ready =
        prefill_tokens_ahead(rank, guaranteed, at) / pool_rate(at) +
        as_double(w.prompt) / pool_speed(at);
    const double remaining = seconds(first_token_deadline - last_advance_);
    return ready <= remaining * (1 - settings_.target_margin);
}

std::optional<admission::pool>
admission::select_pool(std::size_t rank, const work& w,
                       mono_time first_token_deadline) const
{
    const bool guaranteed = within_share(rank);
    if (load_.decode_rate <= 0 || (!guaranteed && free_slots() < 1))
        return std::nullopt;
    // An engine that runs streams prefills less efficiently, and prefill slows
    // its streams. Short prompts therefore also go to prefill engines while
    // these have spare capacity.
    const bool is_long = w.prompt >= settings_.split_threshold;
    const bool prefill_has_capacity =
        pool_has_capacity(rank, guaranteed, prefill_pool);
    if (prefill_has_capacity && (is_long || has_spare_capacity(prefill_pool)))
        return prefill_pool;
    if (pool_has_capacity(rank, guaranteed, shared_pool) &&
        (load_.prefill_rate <= 0 ||
         meets_deadline(rank, guaranteed, w, first_token_deadline,
                        shared_pool)))
        return shared_pool;
    return prefill_has_capacity ? std::optional(prefill_pool) : std::nullopt;
}

bool admission::has_spare_capacity(pool at) const
{
    double prefill_tokens = peer_prefill_tokens_[at];
    double prefill_requests = 0;
    for (const rank_state& r : ranks_)
    {
        prefill_tokens += r.prefill_tokens[0][at] + r.prefill_tokens[1][at];
        prefill_requests +=
            r.prefill_requests[0][at] + r.prefill_requests[1][at];
    }
    const double window = pool_rate(at) * settings_.prompt_window;
    return prefill_tokens < spare_fraction * window ||
           prefill_requests < spare_fraction * pool_rate(at) / pool_speed(at);
}

} // namespace poplar::policy
