#include "replay/engine_model.hpp"

#include <algorithm>

namespace poplar::replay
{

namespace
{

void insert_by_priority(std::vector<engine_job>& jobs, engine_job job)
{
    const auto at =
        std::ranges::upper_bound(jobs, job.priority, {}, &engine_job::priority);
    jobs.insert(at, std::move(job));
}

} // namespace

policy::engine_speed nominal_speed(const engine_constants& c)
{
    policy::engine_speed s;
    const double step_ms = c.step_base_ms + c.step_per_stream_ms * c.max_batch;
    s.prefill_tokens_per_second = c.prefill_tokens_per_second;
    s.decode_tokens_per_second = c.max_batch * 1000 / step_ms;
    s.max_streams = c.max_batch;
    s.shared_prefill_fraction = c.prefill_time_share;
    s.shared_prefill_efficiency = c.chunk_efficiency;
    return s;
}

engine_model::engine_model(const engine_constants& constants,
                           sheet::engine_role role)
    : constants_(constants), role_(role)
{
}

void engine_model::submit_prompt(engine_job job)
{
    const auto cached =
        static_cast<std::int64_t>(cached_blocks(job) * policy::block_tokens);
    // A resumed answer's tokens are computed again with its prompt.
    const std::int64_t all =
        job.prompt + static_cast<std::int64_t>(job.generated);
    job.left_to_compute =
        static_cast<double>(std::max<std::int64_t>(1, all - cached));
    insert_by_priority(prompts_, std::move(job));
}

void engine_model::submit_stream(engine_job job)
{
    insert_by_priority(streams_, std::move(job));
}

std::int64_t engine_model::pieces_of(const engine_job& job) const
{
    const auto tokens =
        job.prompt - job.shared + static_cast<std::int64_t>(job.generated);
    return tokens / constants_.piece_tokens + 1;
}

std::size_t engine_model::active_streams() const
{
    std::size_t n = 0;
    std::int64_t pieces = 0;
    std::int64_t shared = 0;
    while (n < streams_.size() && n < constants_.max_batch)
    {
        pieces += pieces_of(streams_[n]);
        shared = std::max(shared, streams_[n].shared / constants_.piece_tokens);
        if (pieces + shared > constants_.kv_pieces && n > 0)
            break;
        ++n;
    }
    return n;
}

void engine_model::step(mono_time, duration dt, std::vector<engine_output>& out)
{
    const double time = policy::seconds(dt);
    const std::size_t active = active_streams();
    double share = prompts_.empty() ? 0 : 1;
    double efficiency = 1;
    if (active > 0 && share > 0)
    {
        share = constants_.prefill_time_share;
        efficiency = constants_.chunk_efficiency;
    }
    const double step_ms =
        constants_.step_base_ms +
        constants_.step_per_stream_ms * static_cast<double>(active);
    if (active > 0)
        decode(active, time * (1 - share) * 1000 / step_ms, out);
    if (share > 0)
        compute_prompts(time * share * efficiency *
                            constants_.prefill_tokens_per_second,
                        out);
    stream_pieces_ = 0;
    for (const engine_job& job : streams_)
        stream_pieces_ += pieces_of(job);
}

void engine_model::decode(std::size_t active, double tokens,
                          std::vector<engine_output>& out)
{
    for (std::size_t i = 0; i < active; ++i)
    {
        engine_job& job = streams_[i];
        job.generated += tokens;
        if (job.generated < static_cast<double>(job.output))
            continue;
        engine_output& done = out.emplace_back();
        done.signal = engine_signal::finished;
        done.job.attempt = job.attempt;
    }
    std::erase_if(streams_, [](const engine_job& job)
                  { return job.generated >= static_cast<double>(job.output); });
}

void engine_model::compute_prompts(double budget,
                                   std::vector<engine_output>& out)
{
    while (budget > 0 && !prompts_.empty())
    {
        engine_job& job = prompts_.front();
        const double n = std::min(budget, job.left_to_compute);
        job.left_to_compute -= n;
        budget -= n;
        if (job.left_to_compute > 0)
            return;
        store(job);
        engine_output& done = out.emplace_back();
        done.job.attempt = job.attempt;
        if (job.prefill_only)
        {
            done.signal = engine_signal::prompt_done;
            done.job = std::move(job);
        }
        else
        {
            done.signal = engine_signal::first_token;
            insert_by_priority(streams_, std::move(job));
        }
        prompts_.erase(prompts_.begin());
    }
}

std::vector<engine_job> engine_model::take_all(bool lose_cache)
{
    std::vector<engine_job> jobs = std::move(prompts_);
    jobs.insert(jobs.end(), std::make_move_iterator(streams_.begin()),
                std::make_move_iterator(streams_.end()));
    prompts_.clear();
    streams_.clear();
    stream_pieces_ = 0;
    if (lose_cache)
    {
        cache_.clear();
        recent_.clear();
        changes_.clear();
        // Leaves a gap in the events, as a restarted engine does.
        next_sequence_ += 1000;
    }
    return jobs;
}

policy::engine_report engine_model::report(mono_time now) const
{
    policy::engine_report r;
    r.measured_at = now;
    double queued = 0;
    for (const engine_job& job : prompts_)
        queued += job.left_to_compute;
    r.queued_prompt_tokens = token_count(static_cast<std::int64_t>(queued));
    r.streams = static_cast<unsigned>(streams_.size());
    r.kv_pieces_free =
        std::max<std::int64_t>(0, constants_.kv_pieces - stream_pieces_);
    return r;
}

std::int64_t engine_model::cached_tokens() const
{
    return static_cast<std::int64_t>(cache_.size() * policy::block_tokens);
}

std::vector<policy::cache_change> engine_model::take_cache_changes()
{
    return std::exchange(changes_, {});
}

std::size_t engine_model::cached_blocks(const engine_job& job)
{
    std::size_t n = 0;
    while (n < job.blocks.size() && cache_.contains(job.blocks[n]))
        ++n;
    return n;
}

void engine_model::log(bool added, std::uint64_t block)
{
    changes_.push_back({next_sequence_++, added, block});
}

void engine_model::store(const engine_job& job)
{
    // From the end, so that the start of the prefix is the newest.
    for (auto it = job.blocks.rbegin(); it != job.blocks.rend(); ++it)
    {
        const auto known = cache_.find(*it);
        if (known != cache_.end())
        {
            recent_.splice(recent_.begin(), recent_, known->second);
            continue;
        }
        recent_.push_front(*it);
        cache_[*it] = recent_.begin();
        log(true, *it);
    }
    trim_cache();
}

void engine_model::trim_cache()
{
    const std::int64_t free_pieces =
        std::max<std::int64_t>(0, constants_.kv_pieces - stream_pieces_);
    const auto room = static_cast<std::size_t>(
        free_pieces * constants_.piece_tokens /
        static_cast<std::int64_t>(policy::block_tokens));
    while (cache_.size() > room)
    {
        log(false, recent_.back());
        cache_.erase(recent_.back());
        recent_.pop_back();
    }
}

} // namespace poplar::replay
