/// Runs the order machine: sends its orders to the engine, moves the gate of
/// the streams, and keeps the record of decisions.
#pragma once

#include "agent/metrics.hpp"
#include "agent/order_machine.hpp"
#include "agent/settings.hpp"
#include "agent/stream_table.hpp"
#include "net/http_client.hpp"

#include <absl/synchronization/mutex.h>
#include <deque>
#include <memory>

namespace poplar::agent
{

/// One of the recent decisions.
struct decision
{
    std::int64_t at = 0; ///< Seconds since 1970, UTC.
    order_note note;
};

struct order_status
{
    assignment assigned;
    std::optional<engine_state> engine;
    bool engine_is_reachable = false;
    order_phase phase = order_phase::settled;
    work_gate gate = work_gate::not_ready;
};

/// All members may be called from any thread.
class order_runner : public std::enable_shared_from_this<order_runner>
{
public:
    order_runner(net::http_client& client, ip_address engine,
                 duration order_timeout, order_options options,
                 stream_table& streams, agent_metrics& metrics);

    void take_assignment(const assignment& a);
    void platform_was_read(const std::optional<assignment>& part);
    void set_authority(std::optional<agent_incarnation> held);
    void stop();
    std::uint64_t begin_read();
    void take_state(std::uint64_t read, const engine_state& state);
    void take_unreachable(std::uint64_t read);
    void tick(mono_time t);

    order_status status() const;
    /// The last 64, oldest first.
    std::vector<decision> decisions() const;
    work_gate gate() const;

private:
    void step(mono_time t) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void send(const engine_order& order) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void take_answer(fencing_token fencing, const net::client_result& result);
    void record_notes() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    net::http_client& client_;
    const ip_address engine_;
    const duration order_timeout_;
    stream_table& streams_;
    agent_metrics& metrics_;

    mutable absl::Mutex mutex_;
    order_machine machine_ ABSL_GUARDED_BY(mutex_);
    std::deque<decision> decisions_ ABSL_GUARDED_BY(mutex_);
};

} // namespace poplar::agent
