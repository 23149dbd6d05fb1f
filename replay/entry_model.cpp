#include "replay/entry_model.hpp"

#include "base/digest.hpp"

#include <algorithm>

namespace poplar::replay
{

namespace
{

using policy::route_kind;
using sheet::engine_role;

const group_id group("writers");
const model_id model("writer");

std::uint64_t chained(std::uint64_t before, std::uint64_t salt)
{
    return digest(hex(salt), before);
}

policy::admission_settings
admission_settings_for(const trace& t, const cluster& c, token_count threshold)
{
    policy::admission_settings s;
    s.ranks = t.ranks;
    s.speed = nominal_speed(c.constants().engine);
    s.split_threshold = threshold;
    return s;
}

policy::router_settings router_settings_for(const cluster& c)
{
    policy::router_settings s;
    s.speed = nominal_speed(c.constants().engine);
    return s;
}

} // namespace

entry_model::entry_model(entry_kind kind, const trace& t, cluster& engines,
                         token_count split_threshold)
    : kind_(kind), trace_(t), cluster_(engines),
      split_threshold_(split_threshold),
      admission_(admission_settings_for(t, engines, split_threshold)),
      router_(router_settings_for(engines)), open_(t.domains.size(), 0),
      reports_(t.domains.size())
{
    for (std::size_t k = 0; k < t.kinds.size(); ++k)
    {
        std::vector<std::uint64_t>& blocks = shared_blocks_.emplace_back();
        const auto n = t.kinds[k].shared_prefix /
                       static_cast<std::int64_t>(policy::block_tokens);
        std::uint64_t chain = k + 1;
        for (std::int64_t i = 0; i < n; ++i)
            blocks.push_back(chain = chained(chain, k + 1));
    }
}

engine_job entry_model::job_of(std::size_t id) const
{
    const attempt& a = attempts_[id];
    const traced_request& r = trace_.requests[a.request];
    engine_job job;
    job.attempt = id;
    const auto ranks = static_cast<int>(trace_.ranks.size());
    job.priority = static_cast<int>(a.rank) + (a.guaranteed ? 0 : ranks);
    if (kind_ == entry_kind::first_come)
        job.priority = 0;
    job.blocks = a.blocks;
    job.prompt = r.prompt;
    job.shared = std::min(trace_.kinds[r.kind].shared_prefix, r.prompt);
    job.output = r.output;
    return job;
}

policy::route_request entry_model::route_of(const attempt& a, route_kind kind,
                                            std::int64_t prompt) const
{
    policy::route_request q;
    q.group = group;
    q.kind = kind;
    q.prompt = token_count(prompt);
    q.blocks = a.blocks;
    return q;
}

std::optional<std::size_t> entry_model::least_open(route_kind kind) const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < open_.size(); ++i)
    {
        const engine_role role = cluster_.at(i).engine.role();
        const bool fits = kind == route_kind::prefill
                              ? policy::is_prefill_only(role)
                              : policy::can_decode(role);
        if (!fits || !cluster_.accepts(i))
            continue;
        if (!best || open_[i] < open_[*best])
            best = i;
    }
    return best;
}

std::optional<std::size_t> entry_model::pick(const attempt& a, route_kind kind,
                                             std::int64_t prompt, mono_time now)
{
    if (kind_ != entry_kind::poplar)
        return least_open(kind);
    const auto route = router_.choose(route_of(a, kind, prompt), now, random_);
    if (!route)
        return std::nullopt;
    return route->engine;
}

bool entry_model::prefill_available() const
{
    return least_open(route_kind::prefill).has_value();
}

policy::admission_request entry_model::request_of(std::size_t id, mono_time now)
{
    const attempt& a = attempts_[id];
    const traced_request& r = trace_.requests[a.request];
    const work_kind& kind = trace_.kinds[r.kind];
    const tenant_id tenant(kind.name + std::to_string(r.tenant));
    const auto uncached = [&](route_kind path)
    {
        const auto c =
            router_.choose(route_of(a, path, r.prompt), now, random_);
        return c ? r.prompt - c->cached.value : r.prompt;
    };
    std::int64_t prompt = uncached(route_kind::unsplit);
    if (prompt >= split_threshold_.value && prefill_available())
        prompt =
            std::max(split_threshold_.value, uncached(route_kind::prefill));
    policy::admission_request q;
    q.id = {0, id + 1};
    q.tenant = tenant;
    q.rank = rank_index(a.rank);
    q.expected.prompt = token_count(std::max<std::int64_t>(1, prompt));
    q.expected.output =
        estimator_.estimate(tenant, model, q.rank, token_count(kind.max_tokens))
            .mean;
    q.first_token_deadline = a.first_token_by;
    return q;
}

void entry_model::arrive(std::size_t request, unsigned number, mono_time now)
{
    const traced_request& r = trace_.requests[request];
    const std::size_t id = attempts_.size();
    attempt& a = attempts_.emplace_back();
    a.request = request;
    a.number = number;
    a.rank = trace_.kinds[r.kind].rank;
    a.offered = now;
    a.first_token_by = now + trace_.ranks[a.rank].first_token_target;
    a.blocks = shared_blocks_[r.kind];
    const auto n = static_cast<std::size_t>(r.prompt) / policy::block_tokens;
    std::uint64_t chain = request + 1000;
    a.blocks.resize(std::min(a.blocks.size(), n));
    while (a.blocks.size() < n)
        a.blocks.push_back(chain = chained(chain, request));
    a.split = r.prompt >= split_threshold_.value;
    switch (kind_)
    {
    case entry_kind::first_come:
        first_come_.push_back(id);
        return;
    case entry_kind::least_connections:
        send(job_of(id), now);
        return;
    case entry_kind::poplar:
        break;
    }
    const policy::admission_request q = request_of(id, now);
    const policy::admission_decision d = admission_.offer(q, now);
    a.guaranteed = d.guaranteed;
    a.split = d.split;
    if (d.verdict == policy::admission_verdict::refused)
        refuse(id, d.retry_after, d.cause, now);
    if (d.verdict == policy::admission_verdict::dispatch)
        send(job_of(id), now);
}

void entry_model::refuse(std::size_t id, duration retry_after,
                         policy::refusal_cause cause, mono_time now)
{
    attempt& a = attempts_[id];
    a.refused = true;
    a.told = retry_after;
    a.cause = cause;
    a.retry_at = now + retry_after;
    a.blocks = {};
    refused_.push_back(id);
}

void entry_model::sent_to(std::size_t id, std::size_t engine, route_kind kind,
                          std::int64_t prompt, mono_time now)
{
    attempt& a = attempts_[id];
    a.engine = engine;
    a.at_engine = true;
    ++open_[engine];
    a.computing = prompt;
    a.has_stream = kind != route_kind::prefill;
    if (kind_ == entry_kind::poplar)
        router_.dispatched(static_cast<policy::engine_index>(engine),
                           route_of(a, kind, prompt), token_count(prompt), now);
}

/// Sends the prompt; false (and kept) when no engine takes it now.
bool entry_model::send(engine_job job, mono_time now)
{
    const attempt& a = attempts_[job.attempt];
    const bool split = a.split && prefill_available();
    const route_kind kind = split ? route_kind::prefill : route_kind::unsplit;
    job.prefill_only = split;
    const std::int64_t prompt =
        job.prompt + static_cast<std::int64_t>(job.generated);
    const auto engine = pick(a, kind, prompt, now);
    if (!engine || !cluster_.accepts(*engine))
    {
        waiting_.push_back(std::move(job));
        return false;
    }
    const auto cached =
        kind_ == entry_kind::poplar
            ? router_.choose(route_of(a, kind, prompt), now, random_)
            : std::nullopt;
    const std::int64_t uncached = cached && cached->engine == *engine
                                      ? prompt - cached->cached.value
                                      : prompt;
    sent_to(job.attempt, *engine, kind, uncached, now);
    cluster_.at(*engine).engine.submit_prompt(std::move(job));
    return true;
}

bool entry_model::send_stream(engine_job job, mono_time now)
{
    const auto engine =
        pick(attempts_[job.attempt], route_kind::decode, job.prompt, now);
    if (!engine || !cluster_.accepts(*engine))
        return false;
    sent_to(job.attempt, *engine, route_kind::decode, 0, now);
    job.prefill_only = false;
    engine_output first;
    first.signal = engine_signal::first_token;
    first.job.attempt = job.attempt;
    cluster_.at(*engine).engine.submit_stream(std::move(job));
    handle(first, now);
    return true;
}

void entry_model::prompt_ended(attempt& a, mono_time now)
{
    if (kind_ == entry_kind::poplar && a.computing > 0)
        router_.prompt_computed(static_cast<policy::engine_index>(a.engine),
                                token_count(a.computing), now);
    a.computing = 0;
}

void entry_model::left_engine(attempt& a, mono_time now)
{
    if (!a.at_engine)
        return;
    prompt_ended(a, now);
    a.at_engine = false;
    --open_[a.engine];
    if (kind_ == entry_kind::poplar && a.has_stream)
        router_.finished(static_cast<policy::engine_index>(a.engine), now);
}

void entry_model::handle(engine_output& output, mono_time now)
{
    const std::size_t id = output.job.attempt;
    attempt& a = attempts_[id];
    const request_id request{0, id + 1};
    switch (output.signal)
    {
    case engine_signal::prompt_done:
    {
        left_engine(a, now);
        admission_.first_token(request, now);
        const cluster_constants& c = cluster_.constants();
        const duration d =
            c.kv_transfer_base +
            policy::from_seconds(static_cast<double>(output.job.prompt) /
                                 c.kv_transfer_tokens_per_second);
        transfers_.push_back({now + d, std::move(output.job)});
        break;
    }
    case engine_signal::first_token:
        prompt_ended(a, now);
        if (a.first_token == mono_time())
            a.first_token = now;
        admission_.first_token(request, now);
        break;
    case engine_signal::finished:
    {
        left_engine(a, now);
        a.finished = now;
        a.blocks = {};
        admission_.finished(request, now);
        const traced_request& r = trace_.requests[a.request];
        const std::string tenant =
            trace_.kinds[r.kind].name + std::to_string(r.tenant);
        estimator_.learn(tenant_id(tenant), model, rank_index(a.rank),
                         token_count(r.output));
        break;
    }
    }
}

void entry_model::refresh_members(mono_time now)
{
    if (membership_ == cluster_.membership())
        return;
    membership_ = cluster_.membership();
    for (std::size_t i = 0; i < cluster_.members().size(); ++i)
    {
        const member& m = cluster_.at(i);
        router_.set_engine({m.instance, group, m.domain, m.engine.role(),
                            m.state == member_state::serving});
    }
    update_load(now);
}

void entry_model::update_load(mono_time now)
{
    std::vector<policy::engine_load> loads;
    loads.reserve(reports_.size());
    mono_time oldest = now;
    for (std::size_t i = 0; i < reports_.size(); ++i)
    {
        policy::engine_load& l = loads.emplace_back();
        l.role = cluster_.at(i).engine.role();
        l.available = cluster_.accepts(i);
        l.queued_prompt_tokens = reports_[i].queued_prompt_tokens;
        l.streams = reports_[i].streams;
        if (l.available)
            oldest = std::min(oldest, reports_[i].measured_at);
    }
    admission_.update(
        policy::sum_group_load(
            loads, nominal_speed(cluster_.constants().engine), oldest),
        now);
}

void entry_model::resume_waiting(mono_time now)
{
    for (engine_job& job : cluster_.take_displaced(now))
    {
        attempt& a = attempts_[job.attempt];
        left_engine(a, now);
        // The prompt and the output so far are computed again elsewhere.
        a.split = job.prompt >= split_threshold_.value;
        waiting_.push_back(std::move(job));
    }
    for (engine_job& job : std::exchange(waiting_, {}))
        send(std::move(job), now);
    std::erase_if(transfers_, [&](transfer& t)
                  { return t.at <= now && send_stream(t.job, now); });
}

void entry_model::run_first_come(mono_time now)
{
    while (!first_come_.empty())
    {
        const std::size_t id = first_come_.front();
        if (attempts_[id].first_token_by < now)
        {
            // The caller gave up.
            refuse(id, duration::zero(), policy::refusal_cause::target_passed,
                   now);
            first_come_.pop_front();
            continue;
        }
        const auto engine = least_open(route_kind::unsplit);
        if (!engine || open_[*engine] >= cluster_.constants().engine.max_batch)
            return;
        first_come_.pop_front();
        send(job_of(id), now);
    }
}

void entry_model::tick(mono_time now)
{
    refresh_members(now);
    bool reported = false;
    for (delivered_report& r : cluster_.take_reports(now))
    {
        const auto engine = static_cast<policy::engine_index>(r.engine);
        router_.report(engine, r.report, now);
        router_.cache_events(engine, r.cache, r.cache_gap);
        reports_[r.engine] = r.report;
        reported = true;
    }
    if (reported)
        update_load(now);
    resume_waiting(now);
    if (kind_ == entry_kind::first_come)
        run_first_come(now);
    if (kind_ != entry_kind::poplar)
        return;
    while (auto turn = admission_.next(now))
    {
        const std::size_t id = turn->request.id.low - 1;
        attempts_[id].guaranteed = turn->decision.guaranteed;
        attempts_[id].split = turn->decision.split;
        if (turn->decision.verdict == policy::admission_verdict::dispatch)
            send(job_of(id), now);
        else
            refuse(id, turn->decision.retry_after, turn->decision.cause, now);
    }
}

std::vector<policy::rank_work> entry_model::take_demand()
{
    return admission_.take_demand();
}

std::vector<std::size_t> entry_model::take_refused()
{
    return std::exchange(refused_, {});
}

double entry_model::stream_use() const
{
    double used = 0;
    double slots = 0;
    for (std::size_t i = 0; i < open_.size(); ++i)
    {
        if (!cluster_.accepts(i) ||
            !policy::can_decode(cluster_.at(i).engine.role()))
            continue;
        used += open_[i];
        slots += cluster_.constants().engine.max_batch;
    }
    return slots > 0 ? used / slots : 1;
}

double entry_model::prompt_backlog_seconds() const
{
    double queued = 0;
    double rate = 0;
    for (std::size_t i = 0; i < reports_.size(); ++i)
    {
        if (!cluster_.accepts(i) ||
            !policy::is_prefill_only(cluster_.at(i).engine.role()))
            continue;
        queued += static_cast<double>(reports_[i].queued_prompt_tokens.value);
        rate += cluster_.constants().engine.prefill_tokens_per_second;
    }
    for (std::size_t r = 0; r < trace_.ranks.size(); ++r)
        queued +=
            static_cast<double>(admission_.backlog(rank_index(r)).prompt.value);
    return rate > 0 ? queued / rate : 0;
}

} // namespace poplar::replay
