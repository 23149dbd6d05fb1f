/// Interface through which the data path asks for decisions: admission of a
/// request, choice of an engine, and retries.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "base/units.hpp"
#include "entry/stream_session.hpp"
#include "sheet/sheet.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplar::entry
{

/// State of an engine that the policy decides on.
struct engine_view
{
    instance_id instance;
    group_id group;
    failure_domain_id failure_domain;
    bool is_usable = false;     ///< May get new work.
    bool is_new_report = false; ///< `report` was not passed before.
    fb::load_reportT report;
};

/// Properties of a request that are known when it arrives.
struct request_view
{
    request_id id;
    tenant_id tenant;
    rank_index rank;
    group_id group;
    model_id model;
    adapter_id adapter;
    std::string prompt;
    token_count prompt_tokens;
    token_count max_output;
    mono_time arrived{};
    mono_time deadline{};
};

enum class dispatch_verdict
{
    dispatch,
    queued, ///< A later call of `decide_queued` returns the decision.
    refused
};

/// Admission decision about one request.
struct admission_answer
{
    request_id id;
    dispatch_verdict verdict = dispatch_verdict::dispatch;
    duration retry_after{};  ///< For a refused request.
    std::string explanation; ///< Text for the decision record and the caller.
    /// Added to the priority that the rank gives the request at the engine.
    int priority_boost = 0;
    /// Whether a prefill engine computes the prompt. Without a value, the
    /// group's split threshold decides.
    std::optional<bool> split;
    /// Estimated length of the answer; 0 if there is no estimate.
    token_count expected_output{};
};

/// Engine chosen for a request.
struct engine_choice
{
    instance_id instance;
    std::string reason; ///< Text for the decision record.
};

/// Decides about requests. Implementations are thread-safe; they use their own
/// lock, which is a leaf: no other lock is taken while it is held.
class dispatch_policy
{
public:
    virtual ~dispatch_policy() = default;

    virtual void sheet_changed(const sheet::sheet& s) = 0;
    virtual void engine_changed(const engine_view& engine, mono_time now) = 0;
    virtual void engine_removed(const instance_id& instance) = 0;

    /// Decides whether a new request is dispatched, queued or refused.
    virtual admission_answer offer(const request_view& request,
                                   mono_time now) = 0;
    /// Returns the decisions made about queued requests. Called every 20 ms.
    virtual std::vector<admission_answer> decide_queued(mono_time now) = 0;

    /// Chooses a usable engine that is not in `avoid` and counts the request's
    /// work as sent to it. Returns nullopt when no engine qualifies.
    virtual std::optional<engine_choice>
    choose(const request_view& request, attempt_kind leg,
           const std::vector<instance_id>& avoid, mono_time now) = 0;
    /// Records that the request's attempt on this engine has ended.
    virtual void leg_ended(const request_id& id, const instance_id& instance,
                           mono_time now) = 0;

    /// Records that the first output token of the request has arrived.
    virtual void first_token(const request_id& id, mono_time now) = 0;
    /// Records the end of a request. Called once for every request that was
    /// offered and not refused.
    virtual void finished(const request_view& request, token_count output,
                          mono_time now) = 0;
    /// Takes one retry from the budget; returns false when none is available.
    virtual bool try_retry() = 0;
};

struct basic_policy_options
{
    unsigned max_open_requests = 4096;
    double retry_ratio = 0.1; ///< Retries added per admitted request.
};

/// Creates a policy that admits up to `max_open_requests` open requests and
/// chooses the engine with the least work.
std::unique_ptr<dispatch_policy> make_basic_policy(basic_policy_options o);

} // namespace poplar::entry
