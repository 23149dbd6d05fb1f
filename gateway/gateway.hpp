/// The gateway: callers' HTTP in front of upstreams that have no agent.
#pragma once

#include "gateway/caller_session.hpp"
#include "gateway/engine_control.hpp"
#include "gateway/state.hpp"
#include "gateway/status_server.hpp"
#include "gateway/watch_sharing.hpp"
#include "store/dialect.hpp"
#include "store/watcher.hpp"

#include <memory>
#include <set>
#include <thread>

namespace poplar::gateway
{

class gateway
{
public:
    /// Listens and starts its threads; throws system_failure.
    gateway(const gateway_settings& settings, store::object_store& store);
    /// Ends its threads; call `drain` before to finish open requests.
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Stops being ready, serves on until the load balancer has noticed and
    /// open requests have ended, at most `drain_limit`.
    void drain();

    /// Takes over limits and retries of changed settings; the rest holds from
    /// the next start on.
    void apply(const gateway_settings& settings);

    ip_address address() const;
    ip_address ready_address() const;
    ip_address admin_address() const;

private:
    using sessions = std::set<std::shared_ptr<caller_session>>;

    void start_watchers();
    void start_loop();
    void on_configuration(const store::object& o);
    void on_upstream(const store::object& o);
    /// Asks a new engine which prompt parts it keeps: after a restart of this
    /// gateway nothing else tells.
    asio::awaitable<void> fetch_cached_blocks(upstream_ptr u);
    void on_gateway(const store::object& o);
    /// Divides the retry budget among the registered gateways.
    void update_retry_budgets();
    std::map<service_id, service_snapshot> snapshot_engines();
    std::size_t gateway_index();
    load_exchange_hooks make_load_exchange_hooks();
    void update_watch_leadership();
    asio::awaitable<void> accept_callers();
    asio::awaitable<void> serve_caller(asio::ip::tcp::socket socket);
    asio::awaitable<void> sweep_periodically();
    status_answer answer_status(const std::string& path) const;
    bool is_ready() const;
    /// Runs on the loop and waits for the result.
    unsigned count_busy_sessions();
    /// Cuts what is still open, so that nothing outlives the state it uses.
    void close_sessions();
    /// Ends what may wait for the store.
    void stop_store_work();
    std::size_t close_idle_sessions();

    store::object_store& store_;
    asio::io_context loop_{1};
    gateway_state state_;
    asio::ip::tcp::acceptor callers_;
    asio::ip::tcp::acceptor ready_;
    asio::ip::tcp::acceptor admin_;
    const status_handler status_handler_;
    sessions sessions_;
    std::unique_ptr<store::watcher> configuration_watcher_;
    std::unique_ptr<store::watcher> upstream_watcher_;
    std::unique_ptr<store::watcher> gateway_watcher_;
    std::map<object_key, ip_address> registered_gateways_; ///< Registered ones.
    watch_sharing configuration_sharing_;
    std::unique_ptr<engine_control> control_;
    std::thread thread_;
};

} // namespace poplar::gateway
