/// The entry process: constructs and connects the components of the request
/// path.
///
/// Lock order, outermost first: the mutex of one stream or call (never two of
/// them), engine_feed, then one of the leaf locks: the tables' own mutexes,
/// agent_links, live_config, the policy, decision_log, demand_counter,
/// entry_metrics, admin state. Hooks of agent_links, platform_feed and the HTTP
/// server are called with none of these locks held. Responders and connections
/// have locks of their own, which are acquired after all of these.
#pragma once

#include "daemon/daemon.hpp"
#include "entry/agent_links.hpp"
#include "entry/calls.hpp"
#include "entry/decision_log.hpp"
#include "entry/demand.hpp"
#include "entry/dispatch_policy.hpp"
#include "entry/engine_feed.hpp"
#include "entry/entry_metrics.hpp"
#include "entry/front.hpp"
#include "entry/live_config.hpp"
#include "entry/platform_feed.hpp"
#include "entry/settings.hpp"
#include "entry/streams.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplar::entry
{

/// The last load report of one agent.
struct agent_load
{
    instance_id instance;
    failure_domain_id failure_domain;
    unusable_reason why =
        unusable_reason::none; ///< Why it gets no new work, if so.
    fb::load_reportT report;
    duration age{}; ///< Time since the report was received.
};

/// State of an engine group, for the control manager.
struct group_view
{
    std::vector<agent_load> agents;
    group_demand demand; ///< By rank, since the last view was taken.
};

/// Hooks for the control manager; each may be empty.
struct entry_hooks
{
    /// A demand report of another entry was received on an inner connection.
    std::function<void(const fb::demand_reportT&)> demand_reported;
    std::function<void(const sheet_in_force&)> sheet_changed;
    std::function<void(const group_assignments&)> assignments_changed;
    /// The platform's list of instances was read.
    std::function<void(const std::vector<store::instance_record>&)> listed;
};

/// The running entry process: HTTP server, admin server, connections to agents
/// and the tables of open requests.
class entry
{
public:
    /// Listens and starts all threads; throws system_failure. `store` must
    /// outlive the entry.
    entry(entry_settings settings, store::object_store& store,
          std::unique_ptr<dispatch_policy> policy, entry_hooks hooks = {});
    ~entry();
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    ip_address http_address() const;
    /// Event loop, also used for connections to other entries.
    wire::loop& loop()
    {
        return *loop_;
    }
    ip_address inner_address() const
    {
        return inner_address_;
    }
    ip_address admin_address() const;
    /// True once a sheet is in force; drain() clears it, a new sheet sets it.
    bool is_ready() const;

    /// Refuses new requests, stops listening after the close delay and returns
    /// when the open requests have ended; waits up to 10 s for their answers.
    void drain();

    /// Adds a decision of the control manager to the decision log.
    void record_control(const group_id& group, const instance_id& instance,
                        const std::string& what);

    /// For each group, the latest reports and the demand since the last call of
    /// this function.
    std::map<group_id, group_view> take_control_view();

private:
    link_hooks make_link_hooks();
    platform_hooks make_platform_hooks();
    path_services make_services();
    void start_loop();
    void listen_inner();
    void agent_opened(const instance_id& instance, std::uint64_t connection);
    void agent_lost(const instance_id& instance, std::uint64_t connection);
    void sheet_changed(const sheet_in_force& s);
    void assignments_changed(const group_assignments& a);
    /// Sends an agent its current assignment, if there is one.
    void send_assignment(const instance_id& instance);
    void tick(wire::loop& loop);
    void admin(const net::http_request& request,
               const net::responder_ptr& answer) const;
    std::string status_json() const;
    bool has_open_requests() const;

    const entry_settings settings_;
    const entry_hooks hooks_;
    std::atomic<std::uint64_t> next_number_;
    std::unique_ptr<dispatch_policy> policy_;
    live_config config_;
    decision_log decisions_;
    entry_metrics metrics_;
    demand_counter demand_;
    engine_feed engines_;
    std::unique_ptr<wire::loop> loop_;
    std::unique_ptr<agent_links> links_;
    std::unique_ptr<stream_table> streams_;
    std::unique_ptr<call_table> calls_;
    std::unique_ptr<front> front_;
    std::unique_ptr<daemon::admin_server> admin_;
    std::unique_ptr<net::http_server> server_;
    ip_address inner_address_;
    std::unique_ptr<platform_feed> feed_;
};

} // namespace poplar::entry
