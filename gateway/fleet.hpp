/// The upstreams known to this gateway, with their load, health and
/// connections.
///
/// Upstreams come from their entries in the store. Whether one is leaving is
/// also learned from its answers and from the load reports of peer gateways.
#pragma once

#include "base/digest.hpp"
#include "gateway/types.hpp"
#include "gateway/upstream_call.hpp"
#include "policy/engine_placement.hpp"
#include "policy/fatal_blocks.hpp"
#include "policy/fatal_requests.hpp"
#include "policy/request_limit.hpp"
#include "policy/retry_budget.hpp"
#include "policy/stage_plan.hpp"
#include "policy/stall_detector.hpp"
#include "policy/upstream_health.hpp"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace poplar::gateway
{

/// One upstream process, as its entry in the store describes it.
struct upstream
{
    upstream(asio::io_context& context, upstream_record r,
             connection_limits limits)
        : record(std::move(r)), key(digest(record.id.value)),
          connections(context, record.address, limits)
    {
    }

    upstream_record record;
    const std::uint64_t key; ///< Digest of the id, equal on all gateways.
    policy::placed_engine placed;
    policy::upstream_health health;
    /// Shared with calls that outlive this object, and with the next object for
    /// the same process.
    std::shared_ptr<policy::request_limit> limit =
        std::make_shared<policy::request_limit>();
    connection_pool connections;
    /// Open prefill calls of split requests; another engine decodes.
    policy::stall_detector open_prefills;
    /// Open decode calls of split requests; another engine did the prefill.
    policy::stall_detector open_decodes;
    /// Open calls that do prefill and decode on this engine.
    policy::stall_detector open_unsplit_requests;
    /// Open plain calls, neither prefill calls nor streams.
    policy::stall_detector open_calls;
    /// Set when the entry disappeared during or just after a store outage: the
    /// upstream stays in use until this time, so that it can register again.
    /// Zero while the entry exists.
    mono_time lapse_deadline{};
    /// The entry was removed, or names another process now. Calls that were
    /// begun before may still refer to this object.
    bool is_removed = false;

    /// True if a request may be sent: the upstream neither leaves nor asked for
    /// a pause.
    bool accepts_requests(mono_time now) const;
    /// Copies health, limit and entry state into `placed`, for placement
    /// decisions.
    void update_placed(mono_time now);
    /// True if no request may be sent now, because of a limit on their rate or
    /// on connections.
    bool is_saturated(mono_time now) const;
};

using upstream_ptr = std::shared_ptr<upstream>;

/// One run of an upstream's process.
struct upstream_process
{
    std::uint64_t upstream = 0; ///< Digest of its id.
    std::int64_t started_ms = 0;
    auto operator<=>(const upstream_process&) const = default;
};

/// How this gateway learned that an upstream leaves.
enum class departure_source
{
    entry, ///< Its entry in the store says `draining`.
    answer ///< It said so in an answer.
};

struct departure
{
    departure_source source = departure_source::entry;
    mono_time learned_at{};
};

/// What an upstream process announced in an answer to a gateway: a limit on the
/// request rate of all gateways together, or its end.
struct announced_limit
{
    std::uint64_t upstream = 0; ///< Digest of its id.
    std::int64_t started_ms = 0;
    std::optional<double> per_second; ///< Empty: no limit any more.
    duration age{};                   ///< Since the answer was received.
    bool operator==(const announced_limit&) const = default;
};

/// The upstreams of one service and the policies that apply to it.
struct service_fleet
{
    std::vector<upstream_ptr> members;
    policy::engine_placement placement;
    policy::retry_budget retries;
    policy::demand_meter demand; ///< Demand of this gateway's callers.
};

struct fleet_settings
{
    /// Largest fraction of a service's `max_connections` that this gateway may
    /// open to each of its upstreams, however few gateways it knows.
    double max_connection_share = 0.25;
    policy::retry_budget_settings retries;
    policy::placement_settings placement;
    /// Entries lapse, that is, expire in the store although the upstream is
    /// live, in a store outage longer than this.
    duration min_lapsing_outage{std::chrono::seconds(3)};
    /// Entries that lapsed in an outage disappear within this time after this
    /// gateway has reconnected to the store.
    duration lapse_window{std::chrono::milliseconds(700)};
    /// Time after the reconnection by which live upstreams have registered
    /// again.
    duration reregistration_time{std::chrono::milliseconds(2000)};
    /// Time after which a restored store has removed the entries of upstreams
    /// that have ended since its copy was made.
    duration ended_entry_time{std::chrono::seconds(5)};
    /// Time for which ended upstreams are remembered; copies of the store are
    /// some seconds old.
    duration ended_memory{std::chrono::seconds(60)};
    /// Time for which an upstream is not used after a peer gateway reported it
    /// as leaving; peers repeat the upstream in each report. Without connection
    /// to the store the time starts when the connection is back.
    duration reported_leaving_timeout{std::chrono::milliseconds(2000)};
    /// Time for which ended upstreams are reported to peers: several times as
    /// long as a stalled store watch can go unnoticed.
    duration ended_report_time{std::chrono::seconds(10)};
};

/// What may have crashed the upstream at which a request broke off.
struct crash_suspects
{
    std::uint64_t request = 0;         ///< Digest of the request.
    std::vector<std::uint64_t> blocks; ///< Digests of its prefix blocks.
};

/// Hooks for what is to outlive this process.
struct crash_hooks
{
    /// Several upstreams crashed under the request, one of them in view of this
    /// gateway.
    std::function<void(std::uint64_t request,
                       std::vector<policy::request_crash>)>
        suspected = [](std::uint64_t, const auto&) {
        };
    /// A request that was suspected before has completed.
    std::function<void(std::uint64_t request)> cleared = [](std::uint64_t) {
    };
};

/// All known upstreams, by service. Used on the gateway's event loop only.
class fleet
{
public:
    fleet(asio::io_context& context, const fleet_settings& settings);

    /// Applies a new or changed entry of an upstream.
    void apply(const upstream_record& record);
    /// Handles the removal of an entry: drops the upstream, or keeps it for a
    /// while if the entry may only have expired in a store outage.
    void remove(const upstream_id& id, mono_time now);
    /// Applies the limits that operators configured for services.
    void configure(const configuration& config);
    /// Records that the store was restored from a copy: entries that follow may
    /// be older than those known, and live upstreams may be missing.
    void set_store_restored(mono_time now);
    /// Records that the connection to the store was lost or restored.
    void set_store_connected(bool connected, mono_time now);
    bool is_store_connected() const
    {
        return store_connected_;
    }
    /// Changes the retry budget settings of all services.
    void set_retries(const policy::retry_budget_settings& retries);

    /// Records that upstreams of the service ran this version until now, as
    /// another gateway knows.
    void note_version(const service_id& service,
                      const software_version& version, mono_time now);
    /// Versions that may have begun a stream which a caller still takes up.
    std::vector<software_version> recent_versions(const service_id& service,
                                                  mono_time now) const;
    const std::map<service_id, policy::version_history>& versions() const
    {
        return versions_;
    }

    /// Periodic work: drops upstreams whose `lapse_deadline` has passed, closes
    /// stale connections, updates penalties.
    void sweep(mono_time now);
    void close_idle_connections();

    /// Applies what an answer says about the upstream itself: that it is
    /// leaving, asks for a pause or limits the request rate. `sent` is when the
    /// request was sent; empty for a late answer to another request.
    void note_answer(upstream& u, const answer_info& answer,
                     std::optional<mono_time> sent, mono_time now);
    /// Stops using a process that announced its shutdown in the answer to a
    /// call of the gateway's own.
    void note_leaving(const upstream_record& process, mono_time sent,
                      mono_time now);
    /// Records a call to an upstream and returns the hooks for it; the fleet
    /// must outlive the call. Before it is sent, the hooks check again that the
    /// upstream accepts requests.
    call_hooks begin_call(const upstream_ptr& u);
    /// The same for a call without a request of a caller, which an upstream
    /// that drains still takes.
    call_hooks begin_own_call(const upstream_ptr& u);
    /// Time from `now` until the first paused or rate-limited upstream of the
    /// service may be used again; empty if there is none.
    static std::optional<duration> shortest_pause(const service_fleet& service,
                                                  mono_time now);

    /// At most `max_count` upstreams that are draining or ended within
    /// `ended_report_time`.
    std::vector<upstream_process> leaving(std::size_t max_count,
                                          mono_time now) const;
    /// Stops using upstreams that a peer gateway reports as leaving. The peer
    /// may see a store change seconds earlier than this gateway, whose watch
    /// may have stalled.
    void apply_reported_leaving(std::span<const upstream_process> reported,
                                mono_time now);

    /// At most `max_count` limits, or ends of limits, that this gateway learned
    /// from answers.
    std::vector<announced_limit> announced_limits(std::size_t max_count,
                                                  mono_time now) const;
    /// Applies what a peer gateway learned from answers.
    void apply_reported_limits(std::span<const announced_limit> reported,
                               mono_time now);
    /// Sets the gateways that divide the limits on requests and connections of
    /// upstreams among them.
    void set_gateways(std::string self, std::vector<std::string> peers,
                      mono_time now);

    void set_crash_hooks(crash_hooks hooks);
    /// Records that a request broke off at an upstream. It counts as a crash
    /// once the upstream's process is known to have ended.
    void note_broken_off(const upstream_ptr& u, crash_suspects suspects,
                         mono_time now);
    /// Records that a request completed.
    void note_completed(const crash_suspects& suspects, mono_time now);
    void
    apply_reported_crashes(std::span<const policy::block_crash> crashes,
                           std::span<const policy::block_completion> completed);
    void apply_reported_crashes(
        std::span<const policy::request_crash> crashes,
        std::span<const policy::request_completion> completed);
    /// Drops what is known of a request, since its record was removed.
    void forget_crashes(std::uint64_t request);
    const policy::fatal_block_detector& fatal_blocks() const
    {
        return fatal_blocks_;
    }
    const policy::fatal_request_detector& fatal_requests() const
    {
        return fatal_requests_;
    }

    /// Null if no upstream has registered for the service.
    service_fleet* find(const service_id& service);
    upstream_ptr find(const upstream_id& id) const;
    upstream_ptr find_by_key(std::uint64_t key) const;
    const std::map<upstream_id, upstream_ptr>& all() const
    {
        return upstreams_;
    }
    const std::map<service_id, service_fleet>& services() const
    {
        return services_;
    }

private:
    /// Health of a process whose entry was removed. A pause, limit or shutdown
    /// that it announced still holds if the entry returns for the same process.
    struct saved_health
    {
        std::int64_t started_ms = 0;
        policy::upstream_health health;
        std::shared_ptr<policy::request_limit> limit;
        mono_time removed_at{};
    };

    /// A request that broke off at an upstream.
    struct broken_off
    {
        upstream_ptr engine;
        crash_suspects suspects;
        mono_time at{};
    };

    /// A process whose entry was removed or replaced.
    struct ended_process
    {
        mono_time at{};
        std::uint64_t write_number = 0; ///< Of its last known write.
        bool is_replaced = false;       ///< Another process runs under its id.
    };

    /// An answer by which an upstream announced its shutdown.
    struct said_leaving
    {
        std::int64_t sent_unix_ms = 0; ///< When its request was sent.
        mono_time at{};
    };

    service_fleet& fleet_of(const service_id& service);
    /// Records that the process leaves, unless that is known.
    void note_departure(const upstream& u, departure_source source,
                        mono_time now);
    void apply_departure(upstream& u, upstream_state state, mono_time now);
    void note_leaving_answer(upstream& u, std::optional<mono_time> sent,
                             mono_time now);
    /// Applies an answer that announced a shutdown to the process that gave it.
    void apply_earlier_answer(upstream& u, std::int64_t sent_unix_ms,
                              mono_time now);
    void discard_old_departures(mono_time now);
    void extend_reported_leaving(mono_time now);
    /// Logs an answer to a request that was sent after the gateway had learned
    /// that the upstream leaves.
    void log_late_request(const upstream& u, const answer_info& answer,
                          std::optional<mono_time> sent) const;
    /// Tries to connect to an upstream at which requests broke off.
    asio::awaitable<void> probe_process(upstream_ptr u);
    /// Counts the requests that broke off at the upstream as crashes, unless it
    /// was leaving.
    void note_process_ended(const upstream& u);
    void record_crash(const policy::block_crash& crash);
    void record_crash(const policy::request_crash& crash);
    void record_completion(const policy::request_completion& completion);
    void discard_old_breaks(mono_time now);
    /// Drops the upstream, and saves what it announced about itself.
    void erase(const upstream_ptr& it);
    /// Saves health and limit of an upstream without an entry, if it does not
    /// accept requests at any rate.
    void save_health(const upstream& u, mono_time now);
    void propagate_health(const upstream& u, mono_time now);
    void restore_health(upstream& u, mono_time now);
    void discard_old_health(mono_time now);
    void note_limit(upstream& u, const answer_info& answer,
                    std::optional<mono_time> sent, mono_time now);
    void update_share(upstream& u, mono_time now) const;
    static void log_limit(const upstream& u, const char* told_by);
    /// Logs the calls to upstreams that have announced a limit.
    void log_limited_calls(mono_time now);
    void set_limits(upstream& u) const;
    bool may_lapse(mono_time now) const;
    bool is_recently_restored(mono_time now) const;
    /// Records that no earlier process under the same id will return.
    void mark_replaced(const upstream_process& by);
    /// True if the write reached the store late: after the entry of the process
    /// was removed, or after another process had replaced it.
    bool is_written_before_end(const upstream_process& process,
                               std::uint64_t write_number, mono_time now) const;
    /// True if an entry of this process comes from the copy that the store was
    /// restored from, although it had been removed or replaced before.
    bool may_have_ended(const upstream_process& process, mono_time now) const;

    asio::io_context& context_;
    fleet_settings settings_;
    std::map<service_id, service_fleet> services_;
    std::map<upstream_id, upstream_ptr> upstreams_;
    absl::flat_hash_map<std::uint64_t, upstream_ptr> by_key_;
    std::map<service_id, service> configured_;
    std::map<upstream_id, saved_health> saved_health_;
    std::map<upstream_process, ended_process> ended_;
    std::map<upstream_process, departure> departures_;
    std::map<std::uint64_t, said_leaving> said_leaving_; ///< By digest of id.
    std::map<service_id, policy::version_history> versions_;
    policy::fatal_block_detector fatal_blocks_;
    policy::fatal_request_detector fatal_requests_;
    /// Requests under which upstreams crashed in view of this gateway.
    std::set<std::uint64_t> own_suspects_;
    crash_hooks crash_hooks_;
    /// Requests that broke off at upstreams whose processes may have ended.
    std::vector<broken_off> broken_off_;
    std::string self_;
    std::vector<std::string> peers_; ///< Other gateways.
    mono_time limited_calls_logged_at_{};
    bool store_connected_ = false;
    mono_time last_sweep_at_{};
    mono_time store_lost_at_{};
    mono_time store_back_at_{};
    mono_time store_restored_at_{};
    duration store_outage_{}; ///< Length of the last outage.
};

upstream_process process_of(const upstream& u);

std::string to_string(engine_stage stage);
/// Upstreams that are not engines count as `decode`.
policy::placed_stage placed_stage_of(engine_stage stage);

/// True if any upstream of the service is an engine.
bool has_engines(const service_fleet& service);

/// Placement state of the service's members at this time, in the order of
/// `members`.
std::vector<const policy::placed_engine*>
engines_of(const service_fleet& service, mono_time now);

} // namespace poplar::gateway
