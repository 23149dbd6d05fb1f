#include "entry/dispatch_policy.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <algorithm>
#include <limits>

namespace poplar::entry
{

namespace
{

constexpr duration overload_retry_after = std::chrono::seconds(1);
/// Upper bound of the retry budget.
constexpr double max_saved_retries = 20;
/// Work of one running stream, expressed in prompt tokens.
constexpr double tokens_per_stream = 256;

class basic_policy : public dispatch_policy
{
public:
    explicit basic_policy(basic_policy_options o) : options_(o) {}

    void sheet_changed(const sheet::sheet&) override {}

    void engine_changed(const engine_view& engine, mono_time) override
    {
        absl::MutexLock lock(&mutex_);
        engine_state& state = engines_[engine.instance];
        state.view = engine;
        if (engine.is_new_report)
            state.unreported_tokens = 0;
    }

    void engine_removed(const instance_id& instance) override
    {
        absl::MutexLock lock(&mutex_);
        engines_.erase(instance);
    }

    admission_answer offer(const request_view& request, mono_time) override
    {
        absl::MutexLock lock(&mutex_);
        const std::string explanation =
            std::to_string(open_requests_) + " open of " +
            std::to_string(options_.max_open_requests);
        if (open_requests_ >= options_.max_open_requests)
            return {request.id, dispatch_verdict::refused, overload_retry_after,
                    explanation};
        ++open_requests_;
        available_retries_ = std::min(
            max_saved_retries, available_retries_ + options_.retry_ratio);
        return {request.id, dispatch_verdict::dispatch, {}, explanation};
    }

    std::vector<admission_answer> decide_queued(mono_time) override
    {
        return {};
    }

    std::optional<engine_choice> choose(const request_view& request,
                                        attempt_kind kind,
                                        const std::vector<instance_id>& avoid,
                                        mono_time) override
    {
        absl::MutexLock lock(&mutex_);
        engine_state* best = nullptr;
        for (auto& [name, state] : engines_)
        {
            if (!can_serve(state, request, kind) ||
                std::ranges::count(avoid, name) > 0)
                continue;
            if (!best || estimate_work(state) < estimate_work(*best))
                best = &state;
        }
        if (!best)
            return std::nullopt;
        const std::string reason =
            "least work: " + std::to_string(estimate_work(*best)) + " tokens";
        best->unreported_tokens +=
            static_cast<double>(request.prompt_tokens.value) +
            tokens_per_stream;
        return engine_choice{best->view.instance, reason};
    }

    void leg_ended(const request_id&, const instance_id&, mono_time) override {}

    void first_token(const request_id&, mono_time) override {}

    void finished(const request_view&, token_count, mono_time) override
    {
        absl::MutexLock lock(&mutex_);
        --open_requests_;
    }

    bool try_retry() override
    {
        absl::MutexLock lock(&mutex_);
        if (available_retries_ < 1)
            return false;
        available_retries_ -= 1;
        return true;
    }

private:
    struct engine_state
    {
        engine_view view;
        double unreported_tokens = 0; ///< Work sent since the last report.
    };

    static bool can_serve(const engine_state& state,
                          const request_view& request, attempt_kind kind)
    {
        const bool is_prefill =
            state.view.report.role == fb::engine_role::prefill;
        return state.view.is_usable && state.view.group == request.group &&
               state.view.report.role != fb::engine_role::unassigned &&
               state.view.report.model == request.model.value &&
               is_prefill == (kind == attempt_kind::prefill);
    }

    static double estimate_work(const engine_state& state)
    {
        const fb::load_reportT& r = state.view.report;
        return state.unreported_tokens +
               static_cast<double>(r.queued_prompt_tokens) +
               tokens_per_stream * (r.running + r.waiting);
    }

    const basic_policy_options options_;
    absl::Mutex mutex_;
    absl::flat_hash_map<instance_id, engine_state>
        engines_ ABSL_GUARDED_BY(mutex_);
    unsigned open_requests_ ABSL_GUARDED_BY(mutex_) = 0;
    double available_retries_ ABSL_GUARDED_BY(mutex_) = max_saved_retries / 2;
};

} // namespace

std::unique_ptr<dispatch_policy> make_basic_policy(basic_policy_options o)
{
    return std::make_unique<basic_policy>(o);
}

} // namespace poplar::entry
