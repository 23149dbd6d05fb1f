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

bool admission::is_long(const work& w) const
{
    return w.prompt >= settings_.split_threshold;
}

admission::resource admission::prompt_resource(const work& w) const
{
    return is_long(w) ? long_prompt : short_prompt;
}

bool admission::joined() const
{
    return load_.prefill_rate <= 0;
}

double admission::amount(const amounts& a, resource of) const
{
    if (of != output && joined())
        return a[long_prompt] + a[short_prompt];
    return a[of];
}

admission::amounts admission::amounts_of(const work& w) const
{
    amounts a{};
    a[prompt_resource(w)] = as_double(w.prompt);
    a[output] = as_double(w.output);
    return a;
}

double admission::rate(resource of) const
{
    switch (of)
    {
    case long_prompt:
        return joined() ? load_.shared_prefill_rate : load_.prefill_rate;
    case short_prompt:
        return load_.shared_prefill_rate;
    default:
        return load_.decode_rate;
    }
}

double admission::prompt_speed(const work& w) const
{
    const double speed = settings_.speed.prefill_tokens_per_second;
    return is_long(w) && !joined() ? speed
                                   : speed * settings_.speed.shared_prefill;
}

double admission::cost(const work& w) const
{
    return engine_seconds(w, settings_.speed);
}

double admission::capacity() const
{
    const double prompt = load_.prefill_rate + load_.shared_prefill_rate;
    return prompt / settings_.speed.prefill_tokens_per_second +
           load_.decode_rate / settings_.speed.decode_tokens_per_second;
}

double admission::computing_before(std::size_t rank, bool guaranteed,
                                   resource of) const
{
    double sum = amount(foreign_, of);
    for (std::size_t r = 0; r < ranks_.size(); ++r)
    {
        const rank_state& state = ranks_[r];
        if (r <= rank || !guaranteed)
            sum += amount(state.computing[1], of);
        if (r <= rank && !guaranteed)
            sum += amount(state.computing[0], of);
    }
    return sum;
}

double admission::prompts_before(std::size_t rank, bool guaranteed,
                                 resource of) const
{
    double sum = 0;
    for (std::size_t r = 0; r < ranks_.size(); ++r)
    {
        const rank_state& state = ranks_[r];
        if (r <= rank || !guaranteed)
            sum += amount(state.prompts[1], of);
        if (r <= rank && !guaranteed)
            sum += amount(state.prompts[0], of);
    }
    return sum;
}

unsigned admission::streams() const
{
    unsigned sum = 0;
    for (const rank_state& r : ranks_)
        sum += r.streams;
    return sum;
}

double admission::free_slots() const
{
    return load_.stream_slots - static_cast<double>(streams()) -
           foreign_[output];
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

bool admission::has_room(std::size_t rank, bool guaranteed, const work& w) const
{
    const resource of = prompt_resource(w);
    if (rate(of) <= 0 || rate(output) <= 0)
        return false;
    if (!guaranteed && free_slots() < 1)
        return false;
    const double window = rate(of) * settings_.prompt_window;
    if (computing_before(rank, guaranteed, of) < window)
        return true;
    // Long prompts: at least one for each engine, so that none is idle.
    const double engines = rate(of) / prompt_speed(w);
    return prompts_before(rank, guaranteed, of) + 1 <= engines &&
           amount(foreign_, of) < window;
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
        r.promised = std::max(0.0, r.promised - drain_rate(i) * dt);
    }
    note_own_load(now);
}

void admission::note_own_load(mono_time now)
{
    if (!history_.empty() && now - history_.back().at < history_step)
        return;
    own_load own{now, 0, 0, streams()};
    for (const rank_state& r : ranks_)
    {
        for (const amounts& a : r.computing)
        {
            own.long_prompt += a[long_prompt];
            own.short_prompt += a[short_prompt];
        }
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
    foreign_[long_prompt] =
        std::max(0.0, as_double(load.queued_prefill_tokens) - own.long_prompt);
    foreign_[short_prompt] =
        std::max(0.0, as_double(load.queued_shared_tokens) - own.short_prompt);
    foreign_[output] =
        std::max(0.0, static_cast<double>(load.streams) - own.streams);
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
            for (int k = 0; k < resources; ++k)
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
                                     refusal_cause cause, double seconds_late)
{
    rank_state& rank = ranks_[rank_of(r.rank)];
    admission_decision d;
    d.cause = cause;
    double wait = seconds_late;
    // Callers told to retry will want the capacity that frees first: later
    // refusals are told a later time.
    wait += rank.promised / std::max(drain_rate(rank_of(r.rank)), 1e-6);
    rank.promised += cost(r.expected);
    if (cause == refusal_cause::no_capacity)
        wait = std::max(wait, 1.0);
    d.retry_after =
        std::clamp(from_seconds(std::min(wait, 1e6)), settings_.shortest_retry,
                   settings_.longest_retry);
    rank.demand.refused += r.expected;
    if (is_long(r.expected))
        rank.demand.long_prompt += r.expected.prompt;
    return d;
}

void admission::start(const admission_request& r, bool guaranteed)
{
    const std::size_t rank = rank_of(r.rank);
    const resource of = prompt_resource(r.expected);
    rank_state& state = ranks_[rank];
    running_[r.id] = {rank, guaranteed, r.expected, true};
    state.computing[guaranteed][of] += as_double(r.expected.prompt);
    ++state.prompts[guaranteed][of];
    ++state.streams;
    state.guaranteed_streams += guaranteed ? 1 : 0;
    const amounts a = amounts_of(r.expected);
    for (int k = 0; k < resources; ++k)
        state.recent[k] += a[k] / recent_seconds;
    state.credit -= cost(r.expected);
}

void admission::enqueue(const admission_request& r, mono_time now)
{
    const std::size_t rank = rank_of(r.rank);
    const double own = as_double(r.expected.prompt) / prompt_speed(r.expected);
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

std::optional<std::size_t> admission::next_rank()
{
    for (bool guaranteed : {true, false})
    {
        for (std::size_t i = 0; i < ranks_.size(); ++i)
        {
            rank_state& r = ranks_[i];
            if (r.queue.empty() || within_share(i) != guaranteed)
                continue;
            if (has_room(i, guaranteed, r.queue.front()->expected))
                return i;
        }
    }
    return std::nullopt;
}

admission_decision admission::offer(const admission_request& request,
                                    mono_time now)
{
    advance(now);
    admission_decision d = judge(request, now);
    rank_state& r = ranks_[rank_of(request.rank)];
    if (d.verdict == admission_verdict::refused)
        return refuse(request, d.cause, seconds(d.retry_after));
    r.demand.accepted += request.expected;
    if (is_long(request.expected))
        r.demand.long_prompt += request.expected.prompt;
    const std::size_t rank = rank_of(request.rank);
    const bool guaranteed = within_share(rank);
    if (r.queue.empty() && has_room(rank, guaranteed, request.expected) &&
        !next_rank())
    {
        d.verdict = admission_verdict::dispatch;
        d.expected_wait = {};
        d.guaranteed = guaranteed;
        start(request, guaranteed);
        return d;
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
        refuse(request, refusal_cause::target_passed, wait);
    r.demand.accepted.prompt -= w.prompt;
    r.demand.accepted.output -= w.output;
    if (is_long(w))
        r.demand.long_prompt -= w.prompt;
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
    const std::optional<std::size_t> i = next_rank();
    if (!i)
        return std::nullopt;
    rank_state& r = ranks_[*i];
    admission_turn turn;
    turn.request = unqueue(*i, r.queue.pop_front());
    turn.decision.verdict = admission_verdict::dispatch;
    turn.decision.guaranteed = within_share(*i);
    start(turn.request, turn.decision.guaranteed);
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
    const resource of = prompt_resource(it->second.expected);
    double& computing = r.computing[it->second.guaranteed][of];
    computing =
        std::max(0.0, computing - as_double(it->second.expected.prompt));
    double& prompts = r.prompts[it->second.guaranteed][of];
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
    const double prompt = r.queued[long_prompt] + r.queued[short_prompt];
    return {token_count(std::llround(prompt)),
            token_count(std::llround(r.queued[output]))};
}

} // namespace poplar::policy
