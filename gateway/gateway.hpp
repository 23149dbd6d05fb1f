/// The gateway: an HTTP front end for upstreams that run without an agent.
#pragma once

#include "gateway/caller_session.hpp"
#include "gateway/engine_control.hpp"
#include "gateway/memory_trimmer.hpp"
#include "gateway/record_writer.hpp"
#include "gateway/scaling_duty.hpp"
#include "gateway/state.hpp"
#include "gateway/status_server.hpp"
#include "gateway/usage_duty.hpp"
#include "gateway/version_record.hpp"
#include "gateway/watch_sharing.hpp"
#include "store/dialect.hpp"
#include "store/watcher.hpp"

#include <memory>
#include <set>
#include <thread>

namespace poplar::gateway
{

/// Accepts callers, follows configuration and registrations in the store, and
/// serves the readiness and admin endpoints. All request state lives on one
/// event loop, which runs in a thread of its own.
class gateway
{
public:
    /// Opens the listening sockets and starts the threads; throws
    /// system_failure.
    gateway(const gateway_settings& settings, store::object_store& store);
    /// Answers open requests with a failure, stops the threads and closes all
    /// connections; call `drain` first to let open requests finish.
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Reports "not ready", serves until the load balancer notices, then waits
    /// for requests until `drain_limit`, or longer if store calls are pending.
    void drain();

    /// Applies the limits and retries of changed settings; other changes take
    /// effect at the next start.
    void apply(const gateway_settings& settings);

    ip_address address() const;
    ip_address ready_address() const;
    ip_address admin_address() const;

private:
    using sessions = std::set<std::shared_ptr<caller_session>>;

    void start_watchers();
    void start_loop();
    void on_configuration(const store::object& o);
    static void log_accounts(const routing& r);
    void on_upstream(const store::object& o);
    /// Asks a new engine which prefix blocks it has cached; after a restart of
    /// this gateway there is no other source for that.
    asio::awaitable<void> fetch_cached_blocks(upstream_ptr u);
    void on_gateway(const store::object& o);
    void start_fatal_request_sharing(store::watcher_options options);
    void on_fatal_request(const store::object& o);
    void start_version_sharing(store::watcher_options options);
    void on_version_record(const store::object& o);
    /// Has the records of software versions follow those in service. Of all
    /// gateways, the first that is live does so.
    void update_version_records();
    void update_version_record(const service_id& service,
                               const version_set& recent);
    /// Divides the retry budget among the known gateways.
    void update_retry_budgets();
    std::map<service_id, service_snapshot> snapshot_engines();
    std::size_t gateway_index();
    load_exchange_hooks make_load_exchange_hooks();
    /// Adds the duties towards the platform that the settings name.
    void add_duties(engine_control_options& options);
    void add_usage_duty(engine_control_options& options);
    void add_scaling_duty(engine_control_options& options, bool acquires_lease);
    usage_duty_options make_usage_duty_options();
    scaling_duty_options make_scaling_duty_options(bool acquires_lease);
    scaling_view view_scaling() const;
    scaled_service view_scaled(const service& s) const;
    void update_watch_leadership();
    asio::awaitable<void> accept_callers();
    void begin_session(asio::ip::tcp::socket socket);
    asio::awaitable<void> serve(std::shared_ptr<caller_session> session);
    asio::awaitable<void> sweep_periodically();
    void sweep();
    status_answer answer_status(const std::string& path) const;
    status_server_hooks make_status_hooks();
    void on_status_connection_closed();
    bool is_ready() const;
    /// Counts sessions with an unanswered request; blocks until the loop has
    /// run the count.
    unsigned count_busy_sessions();
    /// Closes all sessions, so that none outlives the state that it uses.
    void close_sessions();
    void accept_waiting_callers();
    /// Accepts no further callers and has open requests answered at once.
    void end_requests();
    /// Stops the watchers and the engine control, which may block on the store.
    void stop_store_work();
    std::size_t close_idle_sessions(bool closes_new);
    /// Blocks until all sessions have ended, at most for `limit`, closing those
    /// that become idle.
    void wait_for_sessions(duration limit);

    store::object_store& store_;
    asio::io_context loop_{1};
    gateway_state state_;
    asio::ip::tcp::acceptor callers_;
    asio::ip::tcp::acceptor ready_;
    asio::ip::tcp::acceptor admin_;
    const status_server_hooks status_hooks_;
    event_limit status_log_;
    memory_trimmer trimmer_;
    sessions sessions_;
    std::unique_ptr<store::watcher> configuration_watcher_;
    std::unique_ptr<store::watcher> upstream_watcher_;
    std::unique_ptr<store::watcher> gateway_watcher_;
    std::unique_ptr<store::watcher> fatal_request_watcher_;
    std::unique_ptr<store::watcher> version_watcher_;
    std::unique_ptr<record_writer> record_writer_;
    bool are_fatal_requests_known_ = false; ///< Their records have been read.
    std::map<service_id, version_set> recorded_versions_;
    /// Since when the record of a service has differed from its versions.
    std::map<service_id, mono_time> versions_changed_at_;
    /// All registered gateways, this one included.
    std::map<object_key, gateway_registration> registered_gateways_;
    /// Reason for which an upstream's entry was last refused. The entry may be
    /// written every second, but is logged once.
    std::map<std::string, std::string> refused_upstreams_;
    watch_sharing configuration_sharing_;
    usage_exchange usage_;
    std::unique_ptr<engine_control> control_;
    std::thread thread_;
};

} // namespace poplar::gateway
