/// Table of the open calls of plain services. It drives a call session for
/// each call and performs the actions of the session.
#pragma once

#include "entry/call_session.hpp"
#include "entry/streams.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <memory>
#include <vector>

namespace poplar::entry
{

/// Thread-safe.
class call_table
{
public:
    call_table(path_services services, call_limits limits);

    /// Starts a call; its answer or failure goes to `responder`.
    void open(service_call call, net::responder_ptr responder);

    /// Handles a frame from an agent. Returns false for message types that are
    /// not for calls.
    bool received(std::uint64_t connection, const wire::frame& f);
    /// A connection to an agent is open.
    void opened(const instance_id& instance, std::uint64_t connection);
    /// A connection to an agent was lost.
    void lost(std::uint64_t connection);
    /// A connection attempt to an agent failed.
    void unreachable(const instance_id& instance);
    /// Handles deadlines and timeouts of all calls; call it periodically.
    void tick();

    /// Number of open calls.
    std::size_t size() const;

private:
    struct open_call;
    using call_ptr = std::shared_ptr<open_call>;

    /// Passes an input to the session of every open call.
    template <class Input>
    void feed_all(Input input);
    /// Passes an input to the session of a call and performs the actions that
    /// it returns.
    template <class Input>
    void feed(const call_ptr& c, Input input);
    /// Queues the actions and performs the queue, unless an outer invocation
    /// on this thread is already doing so.
    void perform(const call_ptr& c, call_actions actions);
    void act(const call_ptr& c, find_instance& a);
    void act(const call_ptr& c, send_call& a);
    void act(const call_ptr& c, answer_call& a);
    void act(const call_ptr& c, fail_call& a);
    void act(const call_ptr& c, note_call& a);
    owner_route route(const call_ptr& c, const find_instance& a) const;
    void close(const call_ptr& c);
    std::vector<call_ptr> all() const;

    const path_services services_;
    const call_limits limits_;
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<request_id, call_ptr> open_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<std::uint64_t, call_ptr>
        by_stream_number_ ABSL_GUARDED_BY(mutex_);
};

} // namespace poplar::entry
