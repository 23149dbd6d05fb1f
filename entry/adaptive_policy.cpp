#include "entry/adaptive_policy.hpp"

#include "base/digest.hpp"
#include "control/wire_types.hpp"
#include "entry/admission_answers.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <algorithm>
#include <map>

namespace poplar::entry
{

namespace
{

/// Agents report a changed load at least once per interval. Equals the default
/// of the agent's setting of this name.
constexpr duration report_interval = std::chrono::milliseconds(500);

policy::route_kind to_route_kind(attempt_kind kind)
{
    switch (kind)
    {
    case attempt_kind::unsplit:
        return policy::route_kind::unsplit;
    case attempt_kind::prefill:
        return policy::route_kind::prefill;
    case attempt_kind::decode:
        return policy::route_kind::decode;
    }
    return policy::route_kind::unsplit;
}

class adaptive_policy : public dispatch_policy
{
public:
    explicit adaptive_policy(adaptive_policy_options options)
        : options_(std::move(options)), router_(router_settings(options_)),
          retries_(options_.retries), random_(options_.seed)
    {
    }

    void sheet_changed(const sheet::sheet& s) override;
    void engine_changed(const engine_view& engine, mono_time now) override;
    void engine_removed(const instance_id& instance) override;
    admission_answer offer(const request_view& request, mono_time now) override;
    std::vector<admission_answer> decide_queued(mono_time now) override;
    std::optional<engine_choice> choose(const request_view& request,
                                        attempt_kind kind,
                                        const std::vector<instance_id>& avoid,
                                        mono_time now) override;
    void leg_ended(const request_id& id, const instance_id& instance,
                   mono_time now) override;
    void first_token(const request_id& id, mono_time now) override;
    void finished(const request_view& request, token_count output,
                  mono_time now) override;
    bool try_retry() override;

private:
    struct engine_state
    {
        engine_view view;
        mono_time measured_at;
        std::uint64_t last_sequence = 0;
    };

    /// Current attempt of an open request on an engine.
    struct open_attempt
    {
        instance_id engine; ///< Empty if there is no current attempt.
        /// Prompt tokens whose computation has not been confirmed yet.
        token_count uncomputed_prompt;
        bool has_stream = false; ///< Occupies a stream slot at the engine.
    };

    struct open_request
    {
        group_id group;
        open_attempt attempt;
    };

    struct group_state
    {
        explicit group_state(policy::admission_settings s)
            : admission(std::move(s))
        {
        }

        policy::admission admission;
    };

    static policy::router_settings
    router_settings(const adaptive_policy_options& o)
    {
        policy::router_settings s;
        s.speed = o.speed;
        return s;
    }

    group_state& group(const group_id& name)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void update_router(const engine_state& e, mono_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void apply_cache_events(engine_state& e, policy::engine_index engine)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void update_admission(const group_id& name, mono_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    policy::admission_request admission_request(const request_view& request,
                                                mono_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    policy::route_request
    route_request(const request_view& request, attempt_kind kind,
                  const std::vector<instance_id>& avoid,
                  std::span<const std::uint64_t> blocks) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    token_count estimate_uncached_prompt(const request_view& request,
                                         mono_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    bool has_prefill_engine(const group_id& name) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void prompt_computed(open_request& r, mono_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    double find_tenant_weight(const tenant_id& tenant) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const adaptive_policy_options options_;
    absl::Mutex mutex_;
    sheet::sheet sheet_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<tenant_id, double>
        tenant_weights_ ABSL_GUARDED_BY(mutex_);
    std::map<group_id, group_state> groups_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<instance_id, engine_state>
        engines_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<request_id, open_request>
        open_requests_ ABSL_GUARDED_BY(mutex_);
    policy::router router_ ABSL_GUARDED_BY(mutex_);
    policy::output_estimator estimator_ ABSL_GUARDED_BY(mutex_);
    policy::retry_budget retries_ ABSL_GUARDED_BY(mutex_);
    policy::random_source random_ ABSL_GUARDED_BY(mutex_);
};

void adaptive_policy::sheet_changed(const sheet::sheet& s)
{
    absl::MutexLock lock(&mutex_);
    sheet_ = s;
    tenant_weights_.clear();
    for (const sheet::tenant& it : s.tenants)
        tenant_weights_[it.name] = it.weight;
    for (auto& [name, state] : groups_)
        state.admission.set_ranks(s.ranks);
}

adaptive_policy::group_state& adaptive_policy::group(const group_id& name)
{
    auto it = groups_.find(name);
    if (it != groups_.end())
        return it->second;
    policy::admission_settings s;
    s.ranks = sheet_.ranks;
    s.speed = options_.speed;
    if (const sheet::engine_group* g = sheet::find_group(sheet_, name))
        s.split_threshold = g->split_threshold;
    return groups_.emplace(name, group_state(std::move(s))).first->second;
}

void adaptive_policy::engine_changed(const engine_view& engine, mono_time now)
{
    absl::MutexLock lock(&mutex_);
    engine_state& e = engines_[engine.instance];
    e.view = engine;
    if (engine.is_new_report)
        e.measured_at =
            now - duration(static_cast<std::int64_t>(engine.report.age_us));
    update_router(e, now);
    update_admission(engine.group, now);
}

void adaptive_policy::update_router(const engine_state& e, mono_time now)
{
    policy::engine_info info;
    info.instance = e.view.instance;
    info.group = e.view.group;
    info.failure_domain = e.view.failure_domain;
    info.role = control::from_wire(e.view.report.role);
    info.available = e.view.is_usable;
    const policy::engine_index engine = router_.set_engine(info);
    if (!e.view.is_new_report)
        return;
    policy::engine_report r;
    r.measured_at = e.measured_at;
    r.queued_prompt_tokens = token_count(
        static_cast<std::int64_t>(e.view.report.queued_prompt_tokens));
    r.streams = e.view.report.running + e.view.report.waiting;
    r.kv_pieces_free = e.view.report.kv_pieces_free;
    router_.report(engine, r, now);
    apply_cache_events(engines_[e.view.instance], engine);
}

/// Applies the cache events that were not applied before. A report is in use
/// until the next one, so its events may be passed several times.
void adaptive_policy::apply_cache_events(engine_state& e,
                                         policy::engine_index engine)
{
    std::vector<policy::cache_change> changes;
    for (const auto& it : e.view.report.cache_events)
        if (it->sequence > e.last_sequence)
            changes.push_back({it->sequence, it->added, it->block});
    if (!changes.empty())
        e.last_sequence = changes.back().sequence;
    router_.cache_events(engine, changes, e.view.report.cache_gap);
}

void adaptive_policy::update_admission(const group_id& name, mono_time now)
{
    std::vector<policy::engine_load> loads;
    duration total_age{};
    std::int64_t available = 0;
    for (const auto& [instance, e] : engines_)
    {
        if (e.view.group != name)
            continue;
        policy::engine_load load;
        load.role = control::from_wire(e.view.report.role);
        load.available = e.view.is_usable;
        load.queued_prompt_tokens = token_count(
            static_cast<std::int64_t>(e.view.report.queued_prompt_tokens));
        load.streams = e.view.report.running + e.view.report.waiting;
        if (load.available)
        {
            // An engine whose load has not changed reports less often, so its
            // last report still applies and counts as at most one interval
            // old.
            total_age += std::min(now - e.measured_at, report_interval);
            ++available;
        }
        loads.push_back(load);
    }
    const duration mean_age =
        available > 0 ? total_age / available : duration();
    group(name).admission.update(
        policy::sum_group_load(loads, options_.speed, now - mean_age), now);
}

void adaptive_policy::engine_removed(const instance_id& instance)
{
    absl::MutexLock lock(&mutex_);
    auto it = engines_.find(instance);
    if (it == engines_.end())
        return;
    const group_id name = it->second.view.group;
    engines_.erase(it);
    router_.remove_engine(instance);
    update_admission(name, now());
}

double adaptive_policy::find_tenant_weight(const tenant_id& tenant) const
{
    auto it = tenant_weights_.find(tenant);
    return it == tenant_weights_.end() ? 1.0 : it->second;
}

bool adaptive_policy::has_prefill_engine(const group_id& name) const
{
    return std::ranges::any_of(engines_,
                               [&](const auto& it)
                               {
                                   const engine_view& v = it.second.view;
                                   return v.group == name && v.is_usable &&
                                          v.report.role ==
                                              fb::engine_role::prefill;
                               });
}

/// Estimates the prompt tokens that are not cached on the engine that the
/// request will probably get. Returns at least 1.
token_count
adaptive_policy::estimate_uncached_prompt(const request_view& request,
                                          mono_time now)
{
    const auto blocks = request_blocks(request);
    const auto uncached = [&](attempt_kind kind)
    {
        const auto route = router_.choose(
            route_request(request, kind, {}, blocks), now, random_);
        return route ? request.prompt_tokens - route->cached
                     : request.prompt_tokens;
    };
    const sheet::engine_group* g = sheet::find_group(sheet_, request.group);
    const token_count threshold =
        g ? g->split_threshold : policy::admission_settings().split_threshold;
    token_count n = uncached(attempt_kind::unsplit);
    if (n >= threshold && has_prefill_engine(request.group))
        n = std::max(threshold, uncached(attempt_kind::prefill));
    return std::max(n, token_count(1));
}

policy::admission_request
adaptive_policy::admission_request(const request_view& request, mono_time now)
{
    policy::admission_request r;
    r.id = request.id;
    r.tenant = request.tenant;
    r.tenant_weight = find_tenant_weight(request.tenant);
    r.rank = request.rank;
    r.expected.prompt = estimate_uncached_prompt(request, now);
    r.expected.output = estimator_
                            .estimate(request.tenant, request.model,
                                      request.rank, request.max_output)
                            .mean;
    mono_time target = request.deadline;
    if (request.rank.value < sheet_.ranks.size())
        target = request.arrived +
                 sheet_.ranks[request.rank.value].first_token_target;
    r.first_token_deadline = policy::compute_first_token_deadline(
        request.arrived, target, request.deadline, r.expected.output,
        options_.speed);
    return r;
}

admission_answer adaptive_policy::offer(const request_view& request,
                                        mono_time now)
{
    absl::MutexLock lock(&mutex_);
    retries_.record_first_attempt();
    const policy::admission_request r = admission_request(request, now);
    const policy::admission_decision d =
        group(request.group).admission.offer(r, now);
    if (d.verdict != policy::admission_verdict::refused)
        open_requests_[request.id] = {request.group, {}};
    return to_answer(r, d);
}

std::vector<admission_answer> adaptive_policy::decide_queued(mono_time now)
{
    absl::MutexLock lock(&mutex_);
    std::vector<admission_answer> answers;
    for (auto& [name, state] : groups_)
    {
        while (auto decided = state.admission.next(now))
        {
            const policy::admission_decision& d = decided->decision;
            if (d.verdict == policy::admission_verdict::refused)
                open_requests_.erase(decided->request.id);
            answers.push_back(to_answer(decided->request, d));
        }
    }
    return answers;
}

policy::route_request
adaptive_policy::route_request(const request_view& request, attempt_kind kind,
                               const std::vector<instance_id>& avoid,
                               std::span<const std::uint64_t> blocks) const
{
    policy::route_request r;
    r.group = request.group;
    r.kind = to_route_kind(kind);
    r.prompt = request.prompt_tokens;
    r.expected_output = request.max_output;
    r.blocks = blocks;
    r.preferred_domain = options_.failure_domain;
    for (const instance_id& it : avoid)
        if (const auto engine = router_.find(it))
            r.excluded.push_back(*engine);
    return r;
}

std::optional<engine_choice>
adaptive_policy::choose(const request_view& request, attempt_kind kind,
                        const std::vector<instance_id>& avoid, mono_time now)
{
    absl::MutexLock lock(&mutex_);
    const auto blocks = request_blocks(request);
    const policy::route_request r = route_request(request, kind, avoid, blocks);
    const auto route = router_.choose(r, now, random_);
    if (!route)
        return std::nullopt;
    const policy::engine_info& info = router_.info(route->engine);
    if (!info.available)
        return std::nullopt;
    const bool has_kv = kind == attempt_kind::decode;
    const token_count uncomputed_prompt =
        has_kv ? token_count() : request.prompt_tokens - route->cached;
    router_.dispatched(route->engine, r, uncomputed_prompt, now);
    if (const auto it = open_requests_.find(request.id);
        it != open_requests_.end())
        it->second.attempt = {info.instance, uncomputed_prompt,
                              kind != attempt_kind::prefill};
    return engine_choice{
        info.instance,
        "cached " + std::to_string(route->cached.value) + " of " +
            std::to_string(request.prompt_tokens.value) +
            " prompt tokens; expected start in " +
            std::to_string(to_milliseconds(route->expected_start)) + " ms"};
}

void adaptive_policy::prompt_computed(open_request& r, mono_time now)
{
    const auto engine = router_.find(r.attempt.engine);
    if (engine && r.attempt.uncomputed_prompt.value > 0)
        router_.prompt_computed(*engine, r.attempt.uncomputed_prompt, now);
    r.attempt.uncomputed_prompt = token_count();
}

void adaptive_policy::leg_ended(const request_id& id,
                                const instance_id& instance, mono_time now)
{
    absl::MutexLock lock(&mutex_);
    const auto it = open_requests_.find(id);
    if (it == open_requests_.end() || it->second.attempt.engine != instance)
        return;
    open_request& r = it->second;
    prompt_computed(r, now);
    const auto engine = router_.find(instance);
    if (engine && r.attempt.has_stream)
        router_.finished(*engine, now);
    if (!r.attempt.has_stream)
        group(r.group).admission.first_token(id, now);
    r.attempt = {};
}

void adaptive_policy::first_token(const request_id& id, mono_time now)
{
    absl::MutexLock lock(&mutex_);
    const auto it = open_requests_.find(id);
    if (it == open_requests_.end())
        return;
    prompt_computed(it->second, now);
    group(it->second.group).admission.first_token(id, now);
}

void adaptive_policy::finished(const request_view& request, token_count output,
                               mono_time now)
{
    absl::MutexLock lock(&mutex_);
    open_requests_.erase(request.id);
    policy::admission& a = group(request.group).admission;
    a.cancel(request.id);
    a.finished(request.id, now);
    if (output.value > 0)
        estimator_.learn(request.tenant, request.model, request.rank, output);
}

bool adaptive_policy::try_retry()
{
    absl::MutexLock lock(&mutex_);
    return retries_.try_retry();
}

} // namespace

std::unique_ptr<dispatch_policy>
make_adaptive_policy(adaptive_policy_options options)
{
    return std::make_unique<adaptive_policy>(std::move(options));
}

std::vector<std::uint64_t> request_blocks(const request_view& request)
{
    // Engines cache blocks separately for each adapter. A group has one model,
    // so the seed does not include the model.
    const std::uint64_t seed =
        request.adapter.empty() ? 0 : digest(request.adapter.value);
    return policy::prompt_blocks(request.prompt, seed);
}

} // namespace poplar::entry
