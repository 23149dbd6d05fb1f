/// Where the data path asks for decisions: admission, choice of an engine,
/// retries. Implementations hold their own lock, which is a leaf.
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

/// An engine as the policy sees it.
struct engine_view
{
    instance_id instance;
    group_id group;
    failure_domain_id failure_domain;
    bool is_usable = false; ///< May get new work.
    bool is_new_report = false;
    fb::load_reportT report;
};

/// What is known of a request when it arrives.
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
    queued, ///< A later call of `decide_queued` decides.
    refused
};

struct admission_answer
{
    request_id id;
    dispatch_verdict verdict = dispatch_verdict::dispatch;
    duration retry_after{};
    std::string explanation; ///< For the decision record and the caller.
    /// Added to the rank's priority at the engine.
    int priority_boost = 0;
    /// Whether a prefill engine computes the prompt; absent: by the group's
    /// split threshold.
    std::optional<bool> split;
    /// Estimated length of the answer; 0: not estimated.
    token_count expected_output{};
};

struct engine_choice
{
    instance_id instance;
    std::string reason;
};

class dispatch_policy
{
public:
    virtual ~dispatch_policy() = default;

    virtual void sheet_changed(const sheet::sheet& s) = 0;
    virtual void engine_changed(const engine_view& engine, mono_time now) = 0;
    virtual void engine_removed(const instance_id& instance) = 0;

    virtual admission_answer offer(const request_view& request,
                                   mono_time now) = 0;
    /// Decisions about queued requests; called every 20 ms and after an end.
    virtual std::vector<admission_answer> decide_queued(mono_time now) = 0;

    /// Chooses among usable engines outside `avoid` and counts the work as
    /// sent to it.
    virtual std::optional<engine_choice>
    choose(const request_view& request, leg_kind leg,
           const std::vector<instance_id>& avoid, mono_time now) = 0;
    /// The dispatch to this engine is over.
    virtual void leg_ended(const request_id& id, const instance_id& instance,
                           mono_time now) = 0;

    virtual void first_token(const request_id& id, mono_time now) = 0;
    /// Called once for every request that was offered and not refused.
    virtual void finished(const request_view& request, token_count output,
                          mono_time now) = 0;
    /// Takes one retry from the budget; false when there is none.
    virtual bool try_retry() = 0;
};

struct basic_policy_options
{
    unsigned max_open_requests = 4096;
    double retry_ratio = 0.1;
};

/// Admits up to a number of open requests and chooses the engine with the
/// least work.
std::unique_ptr<dispatch_policy> make_basic_policy(basic_policy_options o);

} // namespace poplar::entry
