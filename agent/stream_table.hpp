/// The streams of one engine: opens them at the engine, forwards their output
/// within each window, keeps it while an entry is away, and ends them.
#pragma once

#include "agent/metrics.hpp"
#include "agent/settings.hpp"
#include "agent/stream.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <memory>
#include <vector>

namespace poplar::agent
{

/// All members may be called from any thread. Hooks of the HTTP client hold
/// only a weak reference. See agent.hpp for the lock order.
class stream_table : public std::enable_shared_from_this<stream_table>
{
public:
    stream_table(net::http_client& client, ip_address engine,
                 stream_options options, agent_metrics& metrics);

    void open(const wire::connection_ptr& c, const fb::open_streamT& open);
    void attach(const wire::connection_ptr& c, const fb::attachT& attach);
    void cancel(const wire::connection_ptr& c, const fb::cancelT& cancel);
    void grant(const wire::connection_ptr& c, const fb::window_updateT& update);
    void connection_lost(const wire::connection_ptr& c);

    /// New streams are refused unless the gate is open.
    void set_gate(work_gate gate);
    /// Streams for another model or adapter are refused.
    void set_engine(const engine_setup& setup);
    void engine_answered(mono_time t);
    /// Ends every stream at the engine; entries resume them elsewhere.
    void hand_back();
    /// Checks time limits. Call it every 50 to 100 ms.
    void tick(mono_time t);

    /// Streams that the engine may still be working on.
    std::size_t open_at_engine() const;
    /// Streams whose output or end has not been sent.
    std::size_t unfinished() const;

private:
    using stream_ptr = std::unique_ptr<stream>;
    using stream_serial = std::uint64_t;
    /// Serial of the connection and number of the stream on it.
    using wire_key = std::pair<std::uint64_t, std::uint64_t>;

    fb::refusal refusal_for(const fb::open_streamT& open) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void refuse(const wire::connection_ptr& c, const fb::open_streamT& open,
                fb::refusal why) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void start(const wire::connection_ptr& c, const fb::open_streamT& open,
               std::string body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    net::client_hooks make_hooks(stream_serial serial, bool collect);
    bool take_piece(stream_serial serial, std::string_view piece);
    void finish(stream_serial serial, const net::client_result& result);
    void connect(stream_serial serial, stream& s, const wire::connection_ptr& c,
                 std::uint64_t number) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void attach_known(const wire::connection_ptr& c, const fb::attachT& attach)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    stream* find(const wire::connection_ptr& c, std::uint64_t number)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void set_end(stream& s, fb::stream_endT end)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void send_output(stream& s) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void send_end(stream& s) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void stop_at_engine(stream& s, const std::string& cause)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void drop(stream_serial serial, stream& s)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void check_limits(stream& s, mono_time t)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    bool is_frozen(const stream& s, mono_time t) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void forgive_pause(mono_time t) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    net::http_client& client_;
    const ip_address engine_;
    const stream_options options_;
    agent_metrics& metrics_;

    mutable absl::Mutex mutex_;
    absl::flat_hash_map<stream_serial, stream_ptr>
        streams_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<dispatch_key, stream_serial>
        by_key_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<wire_key, stream_serial>
        by_wire_ ABSL_GUARDED_BY(mutex_);
    stream_serial last_serial_ ABSL_GUARDED_BY(mutex_) = 0;
    /// Cancel requests that the engine has not answered.
    std::size_t cancelling_ ABSL_GUARDED_BY(mutex_) = 0;
    work_gate gate_ ABSL_GUARDED_BY(mutex_) = work_gate::not_ready;
    engine_setup setup_ ABSL_GUARDED_BY(mutex_);
    mono_time engine_answered_ ABSL_GUARDED_BY(mutex_);
    mono_time last_tick_ ABSL_GUARDED_BY(mutex_);
};

} // namespace poplar::agent
