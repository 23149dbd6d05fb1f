/// Table of open chat requests. It passes events to their stream sessions and
/// performs the sessions' actions between callers and agents.
#pragma once

#include "base/ids.hpp"
#include "entry/agent_links.hpp"
#include "entry/chat_answer.hpp"
#include "entry/decision_log.hpp"
#include "entry/demand.hpp"
#include "entry/dispatch_policy.hpp"
#include "entry/entry_metrics.hpp"
#include "entry/stream_session.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace poplar::entry
{

/// Services shared by all requests. They must outlive the open requests.
struct path_services
{
    wire::loop* loop = nullptr;
    agent_links* links = nullptr;
    dispatch_policy* policy = nullptr;
    decision_log* decisions = nullptr;
    entry_metrics* metrics = nullptr;
    demand_counter* demand = nullptr;
    std::function<std::uint64_t()> next_number; ///< For streams and calls.
};

/// A new request and what is needed to answer it.
struct new_stream
{
    request_view view;
    generation_request work;
    std::string rank_name;
    chat_metadata metadata;
    bool is_stream = false;
    std::size_t answer_buffer = 64 << 10;
    net::responder_ptr responder;
};

/// Thread-safe. Callbacks of the responders are run on threads of the event
/// loop.
class stream_table
{
public:
    stream_table(path_services services, session_limits limits);

    /// Adds a request and submits it to admission.
    void open(new_stream request);

    /// Handles a frame from an agent. Returns false if it is not a stream
    /// frame.
    bool received(std::uint64_t connection, const wire::frame& f);
    /// A connection to an agent was opened.
    void opened(const instance_id& instance, std::uint64_t connection);
    /// A connection to an agent was closed.
    void lost(std::uint64_t connection);
    /// A connection attempt to the agent of an instance failed.
    void unreachable(const instance_id& instance);
    /// Handles deadlines and requests that leave the admission queue; to be
    /// called about every 20 ms.
    void tick();

    /// Number of open requests.
    std::size_t size() const;

private:
    struct stream;
    using stream_ptr = std::shared_ptr<stream>;

    template <class Input>
    void feed_all(Input input);
    template <class Input>
    void feed(const stream_ptr& s, Input input);
    void perform(const stream_ptr& s, stream_actions actions);
    void act(const stream_ptr& s, choose_upstream& a);
    void act(const stream_ptr& s, send_message& a);
    void act(const stream_ptr& s, deliver_text& a);
    void act(const stream_ptr& s, end_answer& a);
    void act(const stream_ptr& s, fail_answer& a);
    void act(const stream_ptr& s, record_event& a);
    placement_result place(const stream_ptr& s, const choose_upstream& a);
    bool send(const stream_ptr& s, const send_message& a);
    void pump(const stream_ptr& s);
    void watch_caller(const stream_ptr& s);
    void caller_disconnected(const stream_ptr& s);
    void apply_admission(const stream_ptr& s, const admission_answer& answer);
    void end_attempt(const stream_ptr& s);
    void close(const stream_ptr& s);
    stream_ptr find(const request_id& id) const;
    stream_ptr find(std::uint64_t number) const;
    std::vector<stream_ptr> all() const;

    const path_services services_;
    const session_limits limits_;
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<request_id, stream_ptr>
        streams_by_id_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<std::uint64_t, stream_ptr>
        streams_by_number_ ABSL_GUARDED_BY(mutex_);
};

} // namespace poplar::entry
