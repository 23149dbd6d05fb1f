/// Callers' HTTP: reads requests, refuses wrong ones, opens streams and calls.
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

/// Members may be called from any thread.
class front
{
public:
    front(const entry_limits& limits, const entry_timeouts& timeouts,
          const live_config& config, agent_links& links, stream_table& streams,
          call_table& calls, decision_log& decisions, entry_metrics& metrics);

    void handle(net::http_request request, const net::responder_ptr& answer);
    /// From now on every request is refused as not run.
    void stop();

private:
    struct caller_identity;
    struct incoming;

    void route(incoming& in, const net::responder_ptr& answer);
    void chat(incoming& in, const net::responder_ptr& answer);
    void models(const incoming& in, const net::responder_ptr& answer) const;
    void service(incoming& in, const net::responder_ptr& answer);
    void refuse(const incoming& in, const net::responder_ptr& answer,
                const failure& why);
    caller_identity identify_caller(const incoming& in) const;
    mono_time deadline_of(const incoming& in, duration default_timeout) const;
    group_id choose_group(const sheet::sheet& s, const std::string& model,
                          std::string& adapter) const;
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
