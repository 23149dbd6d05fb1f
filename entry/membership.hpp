/// Table of the upstream instances of this entry's cell. It combines the
/// platform's instance list, the state of the connection to each agent, and the
/// agents' load reports. The caller passes the time and opens the connections;
/// the table does no I/O.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "store/object_store.hpp"
#include "wire/connection.hpp"

#include <bitset>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ledger/shards.hpp"

namespace poplar::entry
{

namespace fb = wire::fb;

/// State of the connection to an agent.
enum class link_state
{
    down, ///< Not connected; the next attempt is due at `next_attempt`.
    connecting,
    open
};

/// Why an instance gets no new work.
enum class unusable_reason
{
    none, ///< The instance is usable.
    not_connected,
    listed_leaving,    ///< The platform lists it as leaving.
    received_goaway,   ///< Its agent announced that it stops.
    drained_by_sheet,  ///< The sheet drains or withdraws it.
    reported_draining, ///< Its agent reports that it is draining.
    changing,          ///< Its role or model is changing.
    not_ready,         ///< Its agent reports that the upstream is not ready.
    no_report          ///< No load report has arrived yet.
};

std::string to_string(unusable_reason reason);

/// Ledger shards, by number.
using shard_set = std::bitset<ledger::shard_count>;

/// A row of the table: one instance.
struct member
{
    store::instance_record record;
    bool is_listed = true; ///< Is in the platform's latest list.
    link_state link = link_state::down;
    std::uint64_t connection = 0; ///< ID of the open connection, or 0.
    /// Time of the last opening or loss, or the first failure if never open.
    mono_time link_changed_at;
    mono_time next_attempt;
    /// Closed connections and failed attempts since the connection last opened.
    unsigned failures = 0;
    std::uint64_t incarnation = 0; ///< As given in the agent's hello.
    bool has_received_goaway = false;
    bool has_report = false;
    fb::load_reportT report;
    mono_time reported_at;
    shard_set shards; ///< Last reported shards; kept while the link is down.
    mono_time shards_changed_at; ///< When a report last changed `shards`.
};

struct membership_options
{
    unsigned cell_count = 1;
    std::uint32_t cell = 0; ///< Cell of this entry.
    /// The first reconnection is immediate. The second is delayed by this; the
    /// delay doubles with each further failure, up to `max_backoff`. Each delay
    /// is shortened by up to half at random.
    duration min_backoff = std::chrono::milliseconds(50);
    duration max_backoff = std::chrono::seconds(2);
    std::uint64_t jitter_seed = 0;
};

/// A connection to open.
struct pending_connect
{
    instance_id instance;
    ip_address address;
};

/// Routing decision for a service call.
struct owner_route
{
    enum class action_kind
    {
        send,
        wait, ///< The owner was disconnected too recently to be
              ///< replaced.
        none  ///< No usable instance of the service.
    };
    action_kind action = action_kind::none;
    instance_id instance;
    std::uint64_t connection = 0;
    bool take_over = false; ///< The instance replaces a lost owner.
    duration wait{};        ///< Remaining wait; set with action_kind::wait.
};

/// Returns the cell of an instance by rendezvous hashing; the result is the
/// same in every process.
std::uint32_t cell_of(const instance_id& instance, unsigned cell_count);

/// Not thread-safe; agent_links guards it with a lock.
class membership
{
public:
    explicit membership(membership_options options);

    /// Applies the platform's list. The list lags, so an instance missing from
    /// it is removed only while it has no connection and no attempt under way.
    void apply_list(mono_time now,
                    const std::vector<store::instance_record>& list);
    /// Replaces the set of instances that the sheet drains or withdraws.
    void apply_drains(std::set<instance_id> drained);

    /// Returns the connections that are due now and marks them as connecting.
    std::vector<pending_connect> take_due_connects(mono_time now);
    /// Records an open connection. Returns false when the connection must be
    /// closed: the instance is no longer in the table, or another one answered.
    bool opened(mono_time now, const instance_id& instance,
                std::uint64_t connection, const fb::helloT& hello);
    /// Records a closed connection or a failed attempt, and schedules the next
    /// attempt. Returns true when the connection in use was lost.
    bool closed(mono_time now, const instance_id& instance,
                std::uint64_t connection);
    /// Records that the agent announced that it stops.
    void goaway(const instance_id& instance, std::uint64_t connection);
    /// Records a load report. Ignored when the connection is not the current
    /// one.
    void report(mono_time now, const instance_id& instance,
                std::uint64_t connection, fb::load_reportT report);

    /// Returns why the instance gets no new work, or `none` when it is usable.
    unusable_reason why_unusable(const instance_id& instance) const;
    /// Returns the usable instances of a group, ordered by name.
    std::vector<const member*> usable(const group_id& group) const;
    /// Returns null when the instance is not in the table.
    const member* find(const instance_id& instance) const;
    const std::map<instance_id, member>& members() const
    {
        return members_;
    }

    /// Returns the route to the owner of a shard. `hint` is the owner's address
    /// as another instance gave it, or empty; it takes precedence over reported
    /// shards.
    owner_route route_to_owner(mono_time now, const service_id& service,
                               unsigned shard, const ip_address& hint) const;

private:
    /// Returns true for an instance of this cell that is not an entry.
    bool is_in_cell(const store::instance_record& record) const;
    unusable_reason find_unusable_reason(const member& m) const;
    /// Returns the jittered delay before the next attempt.
    duration backoff(const member& m) const;
    /// Returns the member that `hint` names, or else the one that reported the
    /// shard and whose reported set changed last; null when there is none.
    const member* find_owner(const service_id& service, unsigned shard,
                             const ip_address& hint) const;
    /// Chooses a usable instance by rendezvous hashing of the shard.
    const member* choose_new_owner(const service_id& service,
                                   unsigned shard) const;

    membership_options options_;
    std::map<instance_id, member> members_;
    std::set<instance_id> drained_instances_;
};

} // namespace poplar::entry
