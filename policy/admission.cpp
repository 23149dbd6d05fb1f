#include "policy/admission.hpp"

#include <algorithm>
#include <cmath>

namespace poplar::policy
{

namespace
{

/// Time constant of the average of dispatched work.
constexpr double recent_seconds = 2;
/// Load reports older than this are matched with the oldest known own load.
constexpr duration history_length = std::chrono::seconds(10);
constexpr duration history_step = std::chrono::milliseconds(50);
constexpr double quantum_seconds = 0.05;

/// Part of a rank's capacity that callers told to return may fill, beside fresh
/// requests: in replays of floods 0.65 of the promises held at 0.1, 0.57 at 0.5
/// and 0.41 at 1.
constexpr double returning_part = 0.1;
/// Forecasts of a backlog's end are short by this factor under a flood.
constexpr double retry_caution = 1.2;

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
    if (advanced_ == mono_time())
        advanced_ = now;
    const double dt = std::max(0.0, seconds(now - advanced_));
    if (dt <= 0)
        return;
    advanced_ = now;
    const double fade = std::exp(-dt / recent_seconds);
    for (std::size_t i = 0; i < ranks_.size(); ++i)
    {
        rank_state& r = ranks_[i];
        for (double& a : r.recent)
            a *= fade;
        const double earned = share(i) * capacity();
        const double most = earned * settings_.share_burst;
        r.credit = std::clamp(r.credit + earned * dt, -most, most);
    }
    note_own_load(now);
}

void admission::note_own_load(mono_time now)
{
    if (!history_.empty() && now - history_.back().at < history_step)
        return;
    own_load own{now, {}, streams()};
    for (const rank_state& r : ranks_)
    {
        for (int at = 0; at < pools; ++at)
            own.prompt[at] += r.computing[0][at] + r.computing[1][at];
    }
    history_.push_back(own);
    while (now - history_.front().at > history_length)
        history_.pop_front();
}

void admission::update(const group_load& load, mono_time now)
{
    advance(now);
    load_ = load;
    own_load own;
    for (const own_load& past : history_)
    {
        if (past.at > load.measured_at && own.at != mono_time())
            break;
        own = past;
    }
    // What the engines saw beyond this entry's own work at that time is the
    // work of other entries. Own work is known without lag and added to it.
    foreign_prompt_ = {std::max(0.0, as_double(load.queued_prefill_tokens) -
                                         own.prompt[prefill_pool]),
                       std::max(0.0, as_double(load.queued_shared_tokens) -
                                         own.prompt[shared_pool])};
    foreign_streams_ = std::max(0.0, load.streams - own.streams);
    fits_check_due_ = true;
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
            admission_request r = unqueue(i, removed.queue.pop_front());
            r.rank = rank_index(last);
            enqueue(r, advanced_);
        }
        ranks_[last].streams += removed.streams;
        ranks_[last].guaranteed_streams += removed.guaranteed_streams;
        for (int g = 0; g < 2; ++g)
        {
            for (int k = 0; k < pools; ++k)
            {
                ranks_[last].prompts[g][k] += removed.prompts[g][k];
                ranks_[last].computing[g][k] += removed.computing[g][k];
            }
        }
    }
    for (auto& [id, run] : running_)
    {
        run.rank = std::min(run.rank, last);
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
    double wait = seconds_late * retry_caution;
    if (cause == refusal_cause::no_capacity)
        wait = std::max(wait, 1.0);
    d.retry_after =
        std::clamp(from_seconds(std::min(wait, 1e6)), settings_.shortest_retry,
                   settings_.longest_retry);
    if (cause != refusal_cause::too_long)
    {
        // Fresh requests keep a part of what the rank can get.
        const double rate = drain_rate(i) * returning_part;
        const mono_time due = rank.promises.book(r.tenant, now + d.retry_after,
                                                 cost(r.expected), rate);
        d.retry_after = std::min(due - now, settings_.longest_retry);
    }
    rank.demand.refused += r.expected;
    return d;
}

admission_decision admission::start(const admission_request& r, pool at)
{
    const std::size_t rank = rank_of(r.rank);
    rank_state& state = ranks_[rank];
    admission_decision d;
    d.verdict = admission_verdict::dispatch;
    d.split = at == prefill_pool;
    d.guaranteed = within_share(rank);
    running_[r.id] = {rank, d.guaranteed, at, r.expected, true};
    state.computing[d.guaranteed][at] += as_double(r.expected.prompt);
    ++state.prompts[d.guaranteed][at];
    ++state.streams;
    state.guaranteed_streams += d.guaranteed ? 1 : 0;
    const amounts a = amounts_of(r.expected);
    for (int k = 0; k < resources; ++k)
        state.recent[k] += a[k] / recent_seconds;
    state.credit -= cost(r.expected);
    return d;
}

void admission::enqueue(const admission_request& r, mono_time now)
{
    const std::size_t rank = rank_of(r.rank);
    const double own = least_prompt_seconds(r.expected);
    queued_request q{r.id,
                     r.tenant,
                     r.tenant_weight,
                     r.expected,
                     cost(r.expected),
                     now,
                     r.first_token_by,
                     r.first_token_by - from_seconds(own)};
    const amounts a = amounts_of(r.expected);
    for (int k = 0; k < resources; ++k)
        ranks_[rank].queued[k] += a[k];
    ranks_[rank].queue.push(std::move(q));
}

admission_request admission::unqueue(std::size_t rank, queued_request q)
{
    const amounts a = amounts_of(q.expected);
    rank_state& r = ranks_[rank];
    for (int k = 0; k < resources; ++k)
        r.queued[k] = r.queue.empty() ? 0 : std::max(0.0, r.queued[k] - a[k]);
    return {q.id,       std::move(q.tenant), q.tenant_weight, rank_index(rank),
            q.expected, q.first_token_by};
}

std::optional<admission::choice> admission::next_choice()
{
    for (bool guaranteed : {true, false})
    {
        for (std::size_t i = 0; i < ranks_.size(); ++i)
        {
            rank_state& r = ranks_[i];
            if (r.queue.empty() || within_share(i) != guaranteed)
                continue;
            const queued_request& q = *r.queue.front();
            if (const auto at = pool_for(i, q.expected, q.first_token_by))
                return choice{i, *at};
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
    r.promises.drop_lapsed(now);
    const bool promised = r.promises.take(request.tenant, now);
    const admission_decision d = judge(request, promised, now);
    if (d.verdict == admission_verdict::refused)
    {
        admission_decision refusal =
            refuse(request, d.cause, seconds(d.retry_after), now);
        refusal.expected_wait = d.expected_wait;
        return refusal;
    }
    r.demand.accepted += request.expected;
    if (r.queue.empty() && !next_choice())
    {
        const auto at =
            pool_for(rank, request.expected, request.first_token_by);
        if (at)
            return start(request, *at);
    }
    enqueue(request, now);
    return d;
}

std::optional<request_id> admission::late_request(std::size_t rank,
                                                  mono_time now)
{
    const fair_queue& queue = ranks_[rank].queue;
    const queued_request* late = queue.most_pressing();
    if (!late || late->start_by < now)
        return late ? std::optional(late->id) : std::nullopt;
    if (!fits_check_due_)
        return std::nullopt;
    // Work of more urgent ranks or a loss of engines may have overtaken the
    // forecast: the last of the longest line goes first.
    const queued_request* last = queue.last_of_longest();
    const double ahead =
        queue.cost_ahead(last->tenant, last->tenant_weight, 0) - last->cost;
    const double part = std::max(0.0, ahead) / std::max(queue.cost(), 1e-9);
    const forecast f = forecast_for(rank, last->expected, part);
    if (f.wait() <= seconds(last->start_by - now))
        return std::nullopt;
    return last->id;
}

std::optional<admission_turn> admission::next_late(std::size_t rank,
                                                   mono_time now)
{
    const std::optional<request_id> id = late_request(rank, now);
    if (!id)
        return std::nullopt;
    rank_state& r = ranks_[rank];
    admission_request request = unqueue(rank, *r.queue.remove(*id));
    const work& w = request.expected;
    const double wait = forecast_for(rank, w, 1).wait();
    const admission_decision d =
        refuse(request, refusal_cause::target_passed, wait, now);
    r.demand.accepted.prompt -= w.prompt;
    r.demand.accepted.output -= w.output;
    return admission_turn{std::move(request), d};
}

std::optional<admission_turn> admission::next(mono_time now)
{
    advance(now);
    if (now - projected_ >= history_step)
    {
        projected_ = now;
        fits_check_due_ = true;
    }
    for (std::size_t i = 0; i < ranks_.size(); ++i)
    {
        if (auto turn = next_late(i, now))
            return turn;
    }
    fits_check_due_ = false;
    const std::optional<choice> c = next_choice();
    if (!c)
        return std::nullopt;
    admission_turn turn;
    turn.request = unqueue(c->rank, ranks_[c->rank].queue.pop_front());
    turn.decision = start(turn.request, c->at);
    return turn;
}

void admission::first_token(const request_id& id, mono_time now)
{
    advance(now);
    const auto it = running_.find(id);
    if (it == running_.end() || !it->second.computing)
        return;
    it->second.computing = false;
    rank_state& r = ranks_[it->second.rank];
    const pool at = it->second.at;
    double& computing = r.computing[it->second.guaranteed][at];
    computing =
        std::max(0.0, computing - as_double(it->second.expected.prompt));
    double& prompts = r.prompts[it->second.guaranteed][at];
    prompts = std::max(0.0, prompts - 1);
}

void admission::finished(const request_id& id, mono_time now)
{
    first_token(id, now);
    const auto it = running_.find(id);
    if (it == running_.end())
        return;
    rank_state& r = ranks_[it->second.rank];
    --r.streams;
    r.guaranteed_streams -= it->second.guaranteed ? 1 : 0;
    running_.erase(it);
}

void admission::cancel(const request_id& id)
{
    for (std::size_t i = 0; i < ranks_.size(); ++i)
    {
        if (auto q = ranks_[i].queue.remove(id))
            unqueue(i, std::move(*q));
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
