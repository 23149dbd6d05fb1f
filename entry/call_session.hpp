/// State machine of one call of a plain service, from dispatch to result. It
/// takes times and messages as inputs and returns the actions to perform; it
/// does no I/O and has no threads.
///
/// A call that must execute at most once is sent to the owner of its ledger
/// shard. Once an attempt may have reached an owner, further attempts go only
/// to that same instance, whose ledger detects the duplicate.
#pragma once

#include "base/address.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "entry/failure.hpp"
#include "entry/membership.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace poplar::entry
{

/// A validated request to a plain service.
struct service_call
{
    request_id id;
    service_id service;
    tenant_id tenant;
    rank_index rank;
    std::string method;
    std::string path; ///< Below the service's prefix, with the query.
    std::vector<net::header> headers;
    std::string body;
    bool is_once = false; ///< Must execute at most once.
    idempotency_key key;  ///< Required when `is_once`.
    unsigned shard = 0;   ///< Ledger shard of service, tenant and key.
    mono_time deadline;
};

struct call_limits
{
    /// Attempts of a call that may be repeated. At-most-once calls are bounded
    /// by the times below and their deadline instead.
    unsigned max_attempts = 8;
    /// Longest wait for the reconnection of an agent that may have received the
    /// call. After it the outcome is reported as unknown.
    duration attach_wait = std::chrono::seconds(3);
    /// Time from the start of the call during which it is sent again when an
    /// instance answers that it does not own the shard yet or any more.
    duration handover_timeout = std::chrono::seconds(2);
};

/// Requests a route; the reply is given to `call_session::routed`.
struct find_instance
{
    std::vector<instance_id> avoid; ///< Instances that refused the call.
    ip_address hint;       ///< Address of the shard's owner, empty if unknown.
    bool is_retry = false; ///< Counts against the retry budget.
};

/// Sends one attempt on a connection to an agent.
struct send_call
{
    instance_id to;
    std::uint64_t connection = 0;
    fb::callT call;
};

/// Answers the caller with the result of the service; ends the call.
struct answer_call
{
    fb::call_resultT result;
};

/// Answers the caller with a failure; ends the call.
struct fail_call
{
    failure why;
};

enum class call_event
{
    sent,
    repeated,     ///< Sent again after an attempt with unknown outcome.
    not_executed, ///< An agent answered that the call did not execute.
    wrong_owner,
    agent_lost ///< The connection was lost after the call was sent.
};

/// Adds an event to the decision log.
struct note_call
{
    call_event what = call_event::sent;
    instance_id instance;
    std::string detail;
};

using call_action =
    std::variant<find_instance, send_call, answer_call, fail_call, note_call>;
using call_actions = std::vector<call_action>;

/// The session of one call. Inputs that do not refer to the current attempt,
/// such as late results, return no actions.
class call_session
{
public:
    /// `next_number` returns stream numbers that are unique in this process.
    call_session(service_call call, call_limits limits,
                 std::function<std::uint64_t()> next_number);

    call_actions start(mono_time now);
    /// The reply to find_instance.
    call_actions routed(mono_time now, const owner_route& route);
    /// An agent's result of the attempt.
    call_actions result(mono_time now, std::uint64_t connection,
                        const fb::call_resultT& r);
    /// The last attempt was certainly not sent, because its connection was
    /// already closed.
    call_actions not_sent(mono_time now, std::uint64_t connection);
    /// A connection was lost; an attempt that it carried may have executed.
    call_actions connection_lost(mono_time now, std::uint64_t connection);
    /// A new connection to the agent is open.
    call_actions connection_ready(mono_time now, const instance_id& instance,
                                  std::uint64_t connection);
    /// A connection attempt failed; the agent's process is taken as ended.
    call_actions agent_unreachable(const instance_id& instance);
    /// Handles the deadline and timeouts that have been reached.
    call_actions tick(mono_time now);

    /// When `tick` next has something to do.
    mono_time next_tick() const;
    bool has_ended() const
    {
        return state_ == state::ended;
    }

private:
    enum class state
    {
        choosing, ///< Waits for a route.
        waiting,  ///< Requests a route again at `next_choice_`.
        sent,     ///< Waits for the result of the attempt.
        detached, ///< The connection was lost; the attempt may have arrived.
        ended
    };

    void choose(call_actions& out, bool is_retry);
    void choose_later(mono_time now, duration wait, call_actions& out);
    void send(mono_time now, call_actions& out);
    void handle_not_executed(mono_time now, const fb::call_resultT& r,
                             call_actions& out);
    void retry_or_fail(mono_time now, const fb::call_resultT& r,
                       call_actions& out);
    void fail(failure_kind kind, std::string message, duration retry_after,
              call_actions& out);
    void fail_unknown(call_actions& out);
    /// Whether the call may have executed, for the answer to the caller.
    fb::ran_state execution_state() const;
    /// True until the handover timeout has passed.
    bool may_await_handover(mono_time now) const;

    service_call call_;
    call_limits limits_;
    std::function<std::uint64_t()> next_number_;

    state state_ = state::choosing;
    instance_id instance_;         ///< Destination of the last attempt.
    std::uint64_t connection_ = 0; ///< Connection of the last attempt.
    std::uint64_t stream_ = 0;     ///< Stream number of the last attempt.
    /// The instance replaces the shard's owner, which was lost.
    bool take_over_ = false;
    /// An earlier attempt with unknown outcome may have reached `instance_`, so
    /// that a "not run" answer to a later one does not prove that the call has
    /// not executed.
    bool has_lost_attempt_ = false;
    /// The ledger stated in its last answer that the call has not executed.
    bool is_confirmed_not_executed_ = false;
    unsigned attempts_ = 0;
    std::vector<instance_id> avoid_;
    ip_address hint_;
    mono_time started_;
    mono_time detached_at_; ///< When an attempt's connection was first lost.
    mono_time next_choice_;
};

} // namespace poplar::entry
