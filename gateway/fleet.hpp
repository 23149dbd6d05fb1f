/// The upstreams that this gateway knows, with their load and health.
#pragma once

#include "base/digest.hpp"
#include "gateway/types.hpp"
#include "gateway/upstream_call.hpp"
#include "policy/engine_placement.hpp"
#include "policy/retry_budget.hpp"
#include "policy/stage_plan.hpp"
#include "policy/stall_detector.hpp"
#include "policy/upstream_health.hpp"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace poplar::gateway
{

struct upstream
{
    upstream(asio::io_context& context, upstream_record r,
             connection_limits limits)
        : record(std::move(r)), key(digest(record.id.value)),
          connections(context, record.address, limits)
    {
    }

    upstream_record record;
    const std::uint64_t key; ///< Digest of the id, the same everywhere.
    policy::placed_engine placed;
    policy::upstream_health health;
    connection_pool connections;
    policy::stall_detector open_readings; ///< Of prompts for other engines.
    policy::stall_detector open_runs;     ///< Of prompts that others have read.
    policy::stall_detector open_whole_runs;
    policy::stall_detector open_calls;
    /// Its entry vanished around an outage of the store; it is used until
    /// this time, when live upstreams have registered again.
    mono_time lapses_at{};

    /// Makes the placement see its health and the state of its entry.
    void update_placed(mono_time now);
};

using upstream_ptr = std::shared_ptr<upstream>;

/// A process that drains or has ended.
struct leaving_upstream
{
    std::uint64_t upstream = 0; ///< Digest of its id.
    std::int64_t started_ms = 0;
    auto operator<=>(const leaving_upstream&) const = default;
};

/// What the gateway keeps for one service.
struct service_fleet
{
    std::vector<upstream_ptr> members;
    policy::engine_placement placement;
    policy::retry_budget retries;
    policy::demand_meter demand; ///< Of this gateway's callers.
};

struct fleet_settings
{
    /// Part of an upstream's connections that this gateway may open.
    double connection_share = 0.25;
    policy::retry_budget_settings retries;
    policy::placement_settings placement;
    /// Entries lapse when the store was away for longer than this.
    duration shortest_lapsing_outage{std::chrono::seconds(3)};
    /// Entries that lapsed vanish within this time of the store's return, as
    /// this gateway sees it.
    duration lapse_window{std::chrono::milliseconds(700)};
    /// Live upstreams have registered again this long after the return.
    duration return_time{std::chrono::milliseconds(2000)};
    /// An upstream is not used for this long after another gateway has said
    /// that it leaves; gateways repeat that in each report.
    duration reported_leaving_time{std::chrono::milliseconds(2000)};
    /// Upstreams that have ended are reported for this long, several times as
    /// long as a watch of the store may be silent unnoticed.
    duration ended_report_time{std::chrono::seconds(10)};
};

/// Used on the gateway's loop only.
class fleet
{
public:
    fleet(asio::io_context& context, const fleet_settings& settings);

    /// A new or changed entry of an upstream.
    void apply(const upstream_record& record);
    /// The entry was removed.
    void remove(const upstream_id& id, mono_time now);
    /// Limits that the operators set for services.
    void configure(const configuration& config);
    void set_store_connected(bool connected, mono_time now);
    /// Changes the retry budget of each service.
    void set_retries(const policy::retry_budget_settings& retries);

    /// Drops lapsed upstreams, closes stale connections, updates penalties.
    void sweep(mono_time now);
    void close_idle_connections();

    /// Takes from an answer what the upstream says of itself.
    void note_answer(upstream& u, const answer_info& answer, mono_time now);
    /// For calls to an upstream; the fleet must outlive them.
    call_hooks hooks_for(const upstream_ptr& u);
    /// Time from `now` until an upstream of the service that is paused may be
    /// used; empty when none is.
    static std::optional<duration> shortest_pause(const service_fleet& service,
                                                  mono_time now);

    /// Upstreams that drain, or ended a short while ago; at most `most`.
    std::vector<leaving_upstream> leaving(std::size_t most,
                                          mono_time now) const;
    /// What another gateway knows to leave. It may hear of a change of the
    /// store seconds before this gateway, whose watch may have gone silent.
    void heard_leaving(std::span<const leaving_upstream> reported,
                       mono_time now);

    /// Null when no upstream has registered for the service.
    service_fleet* find(const service_id& service);
    upstream_ptr find(const upstream_id& id) const;
    upstream_ptr find_key(std::uint64_t key) const;
    const std::map<upstream_id, upstream_ptr>& all() const
    {
        return upstreams_;
    }
    const std::map<service_id, service_fleet>& services() const
    {
        return services_;
    }

private:
    /// Health of a process whose entry was removed: what it asked for holds
    /// when the entry comes back, as long as it is the same process.
    struct kept_health
    {
        std::int64_t started_ms = 0;
        policy::upstream_health health;
        mono_time removed_at{};
    };

    service_fleet& fleet_of(const service_id& service);
    void erase(const upstream_ptr& it);
    void share_health(const upstream& u, mono_time now);
    void restore_health(upstream& u, mono_time now);
    void forget_health(mono_time now);
    void set_limits(upstream& u) const;
    bool may_lapse(mono_time now) const;

    asio::io_context& context_;
    fleet_settings settings_;
    std::map<service_id, service_fleet> services_;
    std::map<upstream_id, upstream_ptr> upstreams_;
    absl::flat_hash_map<std::uint64_t, upstream_ptr> by_key_;
    std::map<service_id, service> configured_;
    std::map<upstream_id, kept_health> kept_health_;
    /// Upstreams whose entries were removed, and when.
    std::map<leaving_upstream, mono_time> ended_;
    bool store_connected_ = false;
    mono_time store_lost_at_{};
    mono_time store_back_at_{};
    duration store_outage_{}; ///< Length of the last one.
};

std::string to_string(engine_stage stage);
/// Upstreams that are no engines count as `decode`.
policy::placed_stage placed_stage_of(engine_stage stage);

/// True for a service whose upstreams are engines.
bool has_engines(const service_fleet& service);

/// What the decision modules see of the members, in their order.
std::vector<const policy::placed_engine*>
engines_of(const service_fleet& service);

} // namespace poplar::gateway
