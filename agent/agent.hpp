/// The agent beside one upstream: joins its parts and the inner protocol.
///
/// Lock order: order_runner, then stream_table or load_reporter, then
/// entry_links, then the locks of connections and HTTP clients. No hook of a
/// connection, an HTTP client or the ledger is called with a lock held.
#pragma once

#include "agent/call_runner.hpp"
#include "agent/engine_poller.hpp"
#include "agent/entry_links.hpp"
#include "agent/load_reporter.hpp"
#include "agent/metrics.hpp"
#include "agent/order_runner.hpp"
#include "agent/platform_keeper.hpp"
#include "agent/settings.hpp"
#include "agent/slot_lock.hpp"
#include "agent/stream_table.hpp"
#include "daemon/daemon.hpp"
#include "ledger/ledger.hpp"

#include <atomic>
#include <memory>

namespace poplar::agent
{

class agent
{
public:
    /// Listens and starts. `store` must outlive the agent. Throws
    /// system_failure.
    agent(agent_settings settings, store::object_store& store);
    ~agent();
    agent(const agent&) = delete;
    agent& operator=(const agent&) = delete;

    ip_address inner_address() const
    {
        return address_;
    }
    ip_address admin_address() const
    {
        return admin_.address();
    }
    /// Another process has taken the slot: call shut_down and exit.
    bool is_superseded() const
    {
        return is_superseded_;
    }
    bool is_ready() const
    {
        return admin_.is_ready();
    }
    /// Refuses new work and waits until all work has ended, or was handed back
    /// at the shutdown limit.
    void shut_down();
    /// JSON of /status.
    std::string status_json() const;

private:
    poll_hooks make_poll_hooks();
    keeper_hooks make_keeper_hooks();
    wire::loop_options make_loop_options();
    wire::connection_hooks make_connection_hooks();
    std::unique_ptr<ledger::service_ledger> make_ledger();
    fb::helloT make_hello() const;

    void opened(const wire::connection_ptr& c, const fb::helloT& peer);
    void received(const wire::connection_ptr& c, const wire::frame& f);
    void closed(const wire::connection_ptr& c);
    void take_assignment(const fb::assignmentT& message);
    void take_call(const wire::connection_ptr& c, const fb::callT& call);
    fb::refusal refusal_for_call() const;
    void forward(const std::string& address, const ledger::call_record& record);

    void tick();
    void try_lock(mono_time t);
    void update_authority();
    void update_view();
    void update_readiness();
    bool has_ended() const;
    void answer_admin(const net::http_request& request,
                      const net::responder_ptr& answer) const;

    const agent_settings settings_;
    store::object_store& store_;
    agent_metrics metrics_;
    entry_links links_;
    slot_lock lock_;
    mono_time next_lock_try_; ///< Used in tick only.
    std::atomic<bool> has_lock_{false};
    std::atomic<std::uint64_t> incarnation_{0}; ///< 0: not certainly held.
    std::atomic<bool> is_superseded_{false};
    std::atomic<bool> is_stopping_{false};
    std::atomic<std::uint64_t> last_generation_{0};

    // Streams have connections of their own, so that polls and orders never
    // wait behind them.
    std::unique_ptr<net::http_client> stream_client_;
    std::unique_ptr<net::http_client> control_client_;
    std::unique_ptr<net::http_client> call_client_;
    load_reporter reporter_;
    std::shared_ptr<stream_table> streams_;
    std::shared_ptr<order_runner> orders_;
    std::shared_ptr<engine_poller> poller_; ///< Engines only.
    std::shared_ptr<call_runner> calls_;
    ip_address address_;
    daemon::admin_server admin_;
    std::unique_ptr<wire::loop> loop_;
    std::unique_ptr<ledger::service_ledger> ledger_; ///< Services only.
    std::unique_ptr<platform_keeper> keeper_;
};

} // namespace poplar::agent
