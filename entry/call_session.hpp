/// One call of a plain service, from dispatch to its result, as a state
/// machine: time and messages in, actions out.
///
/// A call that must run at most once goes to the owner of its ledger shard.
/// After it may have reached an owner it is repeated only to that same
/// instance, whose ledger recognises it.
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

struct service_call
{
    request_id id;
    service_id service;
    tenant_id tenant;
    rank_index rank;
    std::string method;
    std::string path; ///< With query.
    std::vector<net::header> headers;
    std::string body;
    bool is_once = false;
    idempotency_key key;
    unsigned shard = 0;
    mono_time deadline;
};

struct call_limits
{
    unsigned max_attempts = 8;
    /// Wait for the reconnection of an agent that may have got the call.
    duration attach_wait = std::chrono::seconds(3);
    /// Time during which owners may answer that they do not own the shard yet
    /// or any more.
    duration handover_timeout = std::chrono::seconds(2);
};

/// Asks for a call of `routed`.
struct find_instance
{
    std::vector<instance_id> avoid;
    ip_address hint; ///< Address of the shard's owner, when known.
    bool is_retry = false;
};

struct send_call
{
    instance_id to;
    std::uint64_t connection = 0;
    fb::callT call;
};

struct answer_call
{
    fb::call_resultT result;
};

struct fail_call
{
    failure why;
};

enum class call_event
{
    sent,
    repeated,
    not_executed,
    wrong_owner,
    agent_lost
};

struct note_call
{
    call_event what = call_event::sent;
    instance_id instance;
    std::string detail;
};

using call_action =
    std::variant<find_instance, send_call, answer_call, fail_call, note_call>;
using call_actions = std::vector<call_action>;

class call_session
{
public:
    call_session(service_call call, call_limits limits,
                 std::function<std::uint64_t()> next_number);

    call_actions start(mono_time now);
    /// Answers find_instance.
    call_actions routed(mono_time now, const owner_route& route);
    call_actions result(mono_time now, std::uint64_t connection,
                        const fb::call_resultT& r);
    /// The last call was certainly not sent: the connection was closed.
    call_actions not_sent(mono_time now, std::uint64_t connection);
    call_actions connection_lost(mono_time now, std::uint64_t connection);
    call_actions connection_ready(mono_time now, const instance_id& instance,
                                  std::uint64_t connection);
    /// The agent refuses connections: its process is gone.
    call_actions agent_unreachable(const instance_id& instance);
    call_actions tick(mono_time now);

    mono_time next_tick() const;
    bool has_ended() const
    {
        return state_ == state::ended;
    }

private:
    enum class state
    {
        choosing,
        waiting,  ///< Routes again at `next_choice_`.
        sent,     ///< The answer is awaited.
        detached, ///< May have arrived; the connection is lost.
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
    fb::ran_state execution_state() const;
    bool may_await_handover(mono_time now) const;

    service_call call_;
    call_limits limits_;
    std::function<std::uint64_t()> next_number_;

    state state_ = state::choosing;
    instance_id instance_;
    std::uint64_t connection_ = 0;
    std::uint64_t stream_ = 0;
    bool take_over_ = false;
    /// An earlier copy may have reached `instance_`, so that "not run" is no
    /// longer certain.
    bool has_lost_attempt_ = false;
    bool is_confirmed_not_executed_ =
        false; ///< By the ledger, in its last answer.
    unsigned attempts_ = 0;
    std::vector<instance_id> avoid_;
    ip_address hint_;
    mono_time started_;
    mono_time detached_at_;
    mono_time next_choice_;
};

} // namespace poplar::entry
