/// An entry in virtual time: the policy modules, or a baseline in their place.
#pragma once

#include "policy/admission.hpp"
#include "policy/output_estimator.hpp"
#include "policy/router.hpp"
#include "replay/cluster.hpp"

#include <deque>
#include <vector>

namespace poplar::replay
{

enum class entry_kind
{
    poplar,           ///< Admission, fair queues and router of `policy`.
    first_come,       ///< One queue in order of arrival, until the target.
    least_connections ///< Straight to the engine with the fewest streams.
};

/// One offer of a request; a refused caller offers again after Retry-After.
struct attempt
{
    std::size_t request = 0;
    unsigned number = 1;
    std::size_t rank = 0;
    mono_time offered;
    mono_time first_token_by;
    mono_time first_token;
    mono_time finished;
    bool refused = false;
    mono_time retry_at; ///< With refused.
    duration told{};    ///< Retry-After.
    policy::refusal_cause cause = policy::refusal_cause::none;
    // State at the entry:
    std::size_t engine = 0;
    bool at_engine = false;
    std::int64_t computing = 0; ///< Prompt tokens sent, until computed.
    bool has_stream = false;    ///< As told to the router.
    bool split = false;         ///< A prefill engine computes the prompt.
    bool guaranteed = false;
    std::vector<std::uint64_t> blocks;
};

class entry_model
{
public:
    entry_model(entry_kind kind, const trace& t, cluster& engines,
                token_count split_threshold);

    /// Offers a new attempt of a request.
    void arrive(std::size_t request, unsigned number, mono_time now);
    void handle(engine_output& output, mono_time now);
    /// Reports, displaced and transferred work, and the queue.
    void tick(mono_time now);

    const std::vector<attempt>& attempts() const
    {
        return attempts_;
    }
    std::vector<policy::rank_work> take_demand();
    /// Attempts refused since the last call.
    std::vector<std::size_t> take_refused();
    /// Parts of their capacity in use, as the entry knows them.
    double stream_use() const;
    double prompt_backlog_seconds() const;
    std::size_t queued() const
    {
        return admission_.queued();
    }

private:
    struct transfer
    {
        mono_time at;
        engine_job job;
    };

    policy::admission_request request_of(std::size_t id, mono_time now);
    policy::route_request route_of(const attempt& a, policy::route_kind kind,
                                   std::int64_t prompt) const;
    std::optional<std::size_t> pick(const attempt& a, policy::route_kind kind,
                                    std::int64_t prompt, mono_time now);
    std::optional<std::size_t> least_open(policy::route_kind kind) const;
    bool prefill_available() const;
    engine_job job_of(std::size_t id) const;
    bool send(engine_job job, mono_time now);
    bool send_stream(engine_job job, mono_time now);
    void sent_to(std::size_t id, std::size_t engine, policy::route_kind kind,
                 std::int64_t prompt, mono_time now);
    void refuse(std::size_t id, duration retry_after,
                policy::refusal_cause cause, mono_time now);
    void prompt_ended(attempt& a, mono_time now);
    void left_engine(attempt& a, mono_time now);
    void refresh_members(mono_time now);
    void update_load(mono_time now);
    void resume_waiting(mono_time now);
    void run_first_come(mono_time now);

    entry_kind kind_;
    const trace& trace_;
    cluster& cluster_;
    token_count split_threshold_;
    std::vector<attempt> attempts_;
    policy::admission admission_;
    policy::router router_;
    policy::output_estimator estimator_;
    policy::random_source random_{12345};
    std::vector<std::vector<std::uint64_t>> shared_blocks_; ///< By kind.
    std::vector<engine_job> waiting_; ///< Admitted, without an engine.
    std::vector<transfer> transfers_;
    std::deque<std::size_t> first_come_;
    std::vector<unsigned> open_; ///< Own streams and prompts by engine.
    std::vector<std::size_t> refused_;
    std::vector<policy::engine_report> reports_;
    std::uint64_t membership_ = 0;
};

} // namespace poplar::replay
