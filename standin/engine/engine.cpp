#include "standin/engine/engine.hpp"

#include "base/digest.hpp"
#include "observe/log.hpp"
#include "policy/prefix.hpp"
#include "standin/common/tokens.hpp"

#include <algorithm>

namespace poplar::standin
{

namespace
{

/// The scheduler looks at changes and expiry at least this often when idle.
constexpr auto idle_wait = absl::Milliseconds(20);

/// A stream with more bytes waiting for its reader takes part in no step.
constexpr std::size_t unread_limit_bytes = 64 << 10;

/// Time between two load samples.
constexpr duration sample_interval = std::chrono::milliseconds(20);

} // namespace

std::string to_string(admission result)
{
    switch (result)
    {
    case admission::accepted:
        return "accepted";
    case admission::changing:
        return "changing";
    case admission::wrong_model:
        return "wrong_model";
    case admission::wrong_role:
        return "wrong_role";
    case admission::too_long:
        return "too_long";
    case admission::kv_unavailable:
        return "kv_unavailable";
    }
    return "unknown";
}

engine::engine(engine_settings settings, weight_loader load_weights)
    : settings_(std::move(settings)), load_weights_(std::move(load_weights)),
      setup_(settings_.setup), kv_free_(settings_.kv_pieces),
      cache_(settings_.cache_blocks, settings_.cache_event_gap_rate,
             settings_.seed),
      thread_([this] { run(); })
{
}

engine::~engine()
{
    {
        absl::MutexLock lock(&mutex_);
        stopping_ = true;
        work_.SignalAll();
    }
    thread_.join();
}

std::int64_t engine::pieces_for(std::int64_t tokens) const
{
    return (tokens + settings_.piece_tokens - 1) / settings_.piece_tokens;
}

admission engine::check(const job_request& request) const
{
    absl::MutexLock lock(&mutex_);
    return check_locked(request);
}

admission engine::check_locked(const job_request& request) const
{
    if (change_)
        return admission::changing;
    if (request.model != setup_.model ||
        (!request.adapter.empty() &&
         std::ranges::count(setup_.adapters, request.adapter) == 0))
        return admission::wrong_model;
    const std::int64_t prompt = policy::count_tokens(request.prompt).value;
    const bool has_kv = !request.kv_source.empty();
    if (setup_.role == "prefill" && !request.prefill_only)
        return admission::wrong_role;
    if (setup_.role == "decode" &&
        (request.prefill_only || (!has_kv && prompt > settings_.short_prompt)))
        return admission::wrong_role;
    if (pieces_for(prompt + request.max_tokens) > settings_.kv_pieces)
        return admission::too_long;
    return admission::accepted;
}

admission engine::submit(job_request request, const net::responder_ptr& answer,
                         std::optional<std::uint64_t> kv_digest)
{
    auto j = std::make_shared<job>();
    j->request = std::move(request);
    const job_request& r = j->request;
    const std::uint64_t seed = r.adapter.empty() ? 0 : digest(r.adapter);
    j->digest = answer_digest(r.prompt, r.model);
    j->blocks = policy::prompt_blocks(r.prompt, seed);
    j->prompt_tokens = policy::count_tokens(r.prompt).value;
    j->end_token = answer_tokens(r.prompt, r.max_tokens);
    j->next_token = r.resume_tokens;
    j->kv_imported = kv_digest.has_value();
    j->kv_pieces =
        pieces_for(j->prompt_tokens + (r.prefill_only ? 0 : r.max_tokens));
    if (kv_digest && *kv_digest != j->digest)
        return admission::kv_unavailable;
    const std::string id = r.request_id;
    {
        absl::MutexLock lock(&mutex_);
        const admission result = check_locked(r);
        if (result != admission::accepted)
            return result;
        j->answer = answer;
        j->arrival = ++last_arrival_;
        counters_.executions[id] += 1;
        counters_.kv_imports += kv_digest ? 1 : 0;
        waiting_.insert(std::ranges::upper_bound(waiting_, j, goes_before), j);
        work_.SignalAll();
    }
    answer->when_gone([this, id] { cancel(id); });
    return admission::accepted;
}

bool engine::cancel(const std::string& request_id)
{
    absl::MutexLock lock(&mutex_);
    for (auto* jobs : {&waiting_, &running_})
        for (const job_ptr& it : *jobs)
        {
            if (it->request.request_id != request_id || it->ended)
                continue;
            ++counters_.canceled;
            it->answer->abort();
            end(*it);
            remove_ended();
            return true;
        }
    return false;
}

void engine::run()
{
    mono_time next = now();
    for (;;)
    {
        step s;
        {
            absl::MutexLock lock(&mutex_);
            if (stopping_)
                return cut_all();
            const mono_time at = now();
            finish_change(at);
            drop_expired_kv(at);
            admit(at);
            sample(at);
            s = plan();
            if (frozen_ || (s.prefill.empty() && s.decode.empty()))
            {
                work_.WaitWithTimeout(&mutex_, idle_wait);
                next = now();
                continue;
            }
            // Steps keep their pace when one wakes late, but do not catch up
            // more than one step.
            next = std::max(next, at - time_of(s)) + time_of(s);
        }
        std::this_thread::sleep_for(next - now());
        absl::MutexLock lock(&mutex_);
        if (!frozen_)
            apply(s);
    }
}

void engine::admit(mono_time /*at*/)
{
    while (!change_ && !waiting_.empty() &&
           running_.size() < settings_.max_batch &&
           waiting_.front()->kv_pieces <= kv_free_)
    {
        const job_ptr j = waiting_.front();
        waiting_.erase(waiting_.begin());
        start(j);
    }
}

void engine::start(const job_ptr& j)
{
    kv_free_ -= j->kv_pieces;
    if (j->kv_imported)
        j->cached_tokens = j->prompt_tokens;
    else
        j->cached_tokens = static_cast<std::int64_t>(cache_.use(j->blocks) *
                                                     policy::block_tokens);
    // The output so far is computed again; the last token always is.
    j->prefill_left = std::max<std::int64_t>(
        1, j->prompt_tokens - j->cached_tokens + j->request.resume_tokens);
    counters_.cached_tokens += static_cast<std::uint64_t>(j->cached_tokens);
    running_.insert(std::ranges::upper_bound(running_, j, goes_before), j);
}

engine::step engine::plan() const
{
    step s;
    for (const job_ptr& it : running_)
        if (it->prefill_left == 0 && it->answer->write({}) < unread_limit_bytes)
            s.decode.push_back(it);
    std::int64_t left = s.decode.empty() ? settings_.prefill_chunk
                                         : settings_.shared_prefill_chunk;
    for (const job_ptr& it : running_)
    {
        const std::int64_t n = std::min(left, it->prefill_left);
        if (n > 0)
            s.prefill.emplace_back(it, n);
        left -= n;
    }
    return s;
}

duration engine::time_of(const step& s) const
{
    double us = 0;
    for (const auto& [j, n] : s.prefill)
        us += 1e6 * static_cast<double>(n) / settings_.prefill_tokens_per_s;
    if (!s.decode.empty())
        us += static_cast<double>(settings_.decode_step.count()) +
              static_cast<double>(settings_.decode_step_per_stream.count()) *
                  static_cast<double>(s.decode.size());
    return duration(static_cast<std::int64_t>(us / speed_));
}

void engine::apply(const step& s)
{
    for (const job_ptr& it : s.decode)
        if (!it->ended)
            emit_token(*it);
    for (const auto& [j, n] : s.prefill)
    {
        if (j->ended)
            continue;
        j->prefill_left -= n;
        counters_.prefill_tokens += static_cast<std::uint64_t>(n);
        if (j->prefill_left == 0)
            finish_prefill(*j);
    }
    remove_ended();
}

void engine::finish_prefill(job& j)
{
    cache_.add(j.blocks, now());
    if (j.request.prefill_only)
        return hand_out_kv(j);
    j.begun = true;
    j.answer->begin(200, {{"Content-Type", "application/x-ndjson"}});
    emit_token(j);
}

void engine::hand_out_kv(job& j)
{
    const std::string handle =
        "kv" + hex(digest(std::to_string(++last_handle_), settings_.seed));
    kept_[handle] = {j.digest, j.prompt_tokens, j.kv_pieces,
                     now() + settings_.kv_hold};
    j.kv_pieces = 0; // They stay reserved by the kept cache.
    const nlohmann::json body{{"handle", handle},
                              {"prompt_tokens", j.prompt_tokens},
                              {"cached_tokens", j.cached_tokens}};
    j.answer->respond(net::json_response(200, body.dump()));
    ++counters_.completed;
    end(j);
}

void engine::emit_token(job& j)
{
    if (j.next_token < j.end_token)
    {
        j.answer->write("{\"offset\":" + std::to_string(j.next_token) +
                        ",\"text\":\"" + token_text(j.digest, j.next_token) +
                        "\"}\n");
        ++j.next_token;
        ++counters_.output_tokens;
    }
    if (j.next_token < j.end_token)
        return;
    const nlohmann::json done{{"done", true},
                              {"prompt_tokens", j.prompt_tokens},
                              {"cached_tokens", j.cached_tokens},
                              {"output_tokens", j.end_token}};
    j.answer->write(done.dump() + "\n");
    j.answer->finish();
    ++counters_.completed;
    end(j);
}

void engine::end(job& j)
{
    j.ended = true;
}

void engine::remove_ended()
{
    for (const job_ptr& it : running_)
        if (it->ended)
            kv_free_ += it->kv_pieces;
    for (auto* jobs : {&waiting_, &running_})
        std::erase_if(*jobs, [](const job_ptr& it) { return it->ended; });
}

void engine::cut_all()
{
    for (auto* jobs : {&waiting_, &running_})
        for (const job_ptr& it : *jobs)
        {
            ++counters_.cut_streams;
            it->answer->abort();
            end(*it);
        }
    remove_ended();
}

load_sample engine::measure(mono_time at) const
{
    load_sample s;
    s.at = at;
    s.setup = setup_;
    s.running = running_.size();
    s.waiting = waiting_.size();
    for (const job_ptr& it : waiting_)
        s.queued_prompt_tokens += it->prompt_tokens;
    for (const job_ptr& it : running_)
        s.queued_prompt_tokens += it->prefill_left;
    s.decode_streams = static_cast<std::size_t>(std::ranges::count_if(
        running_, [](const job_ptr& it) { return it->prefill_left == 0; }));
    s.kv_pieces_free = kv_free_;
    return s;
}

void engine::sample(mono_time at)
{
    if (!samples_.empty() && at - samples_.back().at < sample_interval)
        return;
    samples_.push_back(measure(at));
    while (samples_.size() > 1 &&
           samples_[1].at + settings_.load_report_lag <= at)
        samples_.pop_front();
}

load_sample engine::load() const
{
    absl::MutexLock lock(&mutex_);
    if (settings_.load_report_lag == duration::zero() || samples_.empty())
        return measure(now());
    return samples_.front();
}

engine_counters engine::counters() const
{
    absl::MutexLock lock(&mutex_);
    return counters_;
}

std::vector<cache_event> engine::cache_events(std::uint64_t after,
                                              std::uint64_t& next) const
{
    absl::MutexLock lock(&mutex_);
    const mono_time until = now() - settings_.cache_event_delay;
    next = cache_.last_sequence(until);
    return cache_.events(after, until);
}

void engine::set_speed(double factor)
{
    absl::MutexLock lock(&mutex_);
    speed_ = factor;
}

void engine::set_frozen(bool frozen)
{
    absl::MutexLock lock(&mutex_);
    frozen_ = frozen;
    work_.SignalAll();
}

} // namespace poplar::standin
