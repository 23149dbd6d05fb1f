/// HTTP front end: parses and validates callers' requests, refuses invalid ones
/// and opens streams and calls for the others.
#pragma once

#include "entry/calls.hpp"
#include "entry/live_config.hpp"
#include "entry/settings.hpp"
#include "entry/streams.hpp"
#include "net/http_server.hpp"

#include <atomic>
#include <optional>
#include <string>

namespace poplar::entry
{

/// Routes HTTP requests by path: /v1/chat/completions, /v1/models and
/// /services/<service>/. Thread-safe.
class front
{
public:
    front(const entry_limits& limits, const entry_timeouts& timeouts,
          const live_config& config, agent_links& links, stream_table& streams,
          call_table& calls, decision_log& decisions, entry_metrics& metrics);

    /// Answers the request at once or opens a stream or call that will.
    void handle(net::http_request request, const net::responder_ptr& answer);
    /// Refuses all further requests; see refuse() for the reported outcome.
    void stop();

private:
    struct caller_identity;
    struct incoming;

    void route(incoming& in, const net::responder_ptr& answer);
    void chat(incoming& in, const net::responder_ptr& answer);
    void models(const incoming& in, const net::responder_ptr& answer) const;
    void service(incoming& in, const net::responder_ptr& answer);
    /// Answers with a failure and records it; a keyed call may have executed.
    void refuse(const incoming& in, const net::responder_ptr& answer,
                const failure& why);
    /// Tenant and rank of the request; refuses ranks that are unknown or not
    /// allowed for the tenant.
    caller_identity identify_caller(const incoming& in) const;
    /// Arrival plus the requested timeout, or plus `default_timeout`; limited
    /// to the setting max_deadline.
    mono_time deadline_of(const incoming& in, duration default_timeout) const;
    /// A group that serves the model, preferably one with usable engines; empty
    /// if there is none. Sets `adapter` if `model` names an adapter.
    group_id choose_group(const sheet::sheet& s, const std::string& model,
                          std::string& adapter) const;
    /// Why this process cannot accept any request at present.
    std::optional<failure> unavailable_reason() const;

    const entry_limits limits_;
    const entry_timeouts timeouts_;
    const live_config& config_;
    agent_links& links_;
    stream_table& streams_;
    call_table& calls_;
    decision_log& decisions_;
    entry_metrics& metrics_;
    std::atomic<bool> is_stopping_{false};
};

} // namespace poplar::entry
