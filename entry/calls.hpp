/// Open calls of plain services: runs the call sessions between callers and
/// agents.
#pragma once

#include "entry/call_session.hpp"
#include "entry/streams.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <memory>
#include <vector>

namespace poplar::entry
{

/// Members may be called from any thread.
class call_table
{
public:
    call_table(path_services services, call_limits limits);

    void open(service_call call, net::responder_ptr responder);

    /// True when the frame belongs to calls.
    bool received(std::uint64_t connection, const wire::frame& f);
    void opened(const instance_id& instance, std::uint64_t connection);
    void lost(std::uint64_t connection);
    void unreachable(const instance_id& instance);
    void tick();

    std::size_t size() const;

private:
    struct open_call;
    using call_ptr = std::shared_ptr<open_call>;

    template <class Input>
    void feed_all(Input input);
    template <class Input>
    void feed(const call_ptr& c, Input input);
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
