/// Table of the upstream instances of this entry's cell: what the platform
/// lists, the state of the connection to each agent, and what agents report.
/// Time is passed in; the table opens no connections itself.
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

enum class link_state
{
    down, ///< No connection; next attempt at `next_attempt`.
    connecting,
    open
};

/// Why an instance gets no new work.
enum class unusable_reason
{
    none, ///< It is usable.
    not_connected,
    listed_leaving,
    received_goaway,
    drained_by_sheet,
    reported_draining,
    changing,
    not_ready,
    no_report
};

std::string to_string(unusable_reason reason);

using shard_set = std::bitset<ledger::shard_count>;

struct member
{
    store::instance_record record;
    bool is_listed = true;
    link_state link = link_state::down;
    std::uint64_t connection = 0; ///< Serial of the open connection.
    mono_time link_changed_at;    ///< Of `link` to or from open.
    mono_time next_attempt;
    unsigned failures = 0; ///< Attempts since the connection was last open.
    std::uint64_t incarnation = 0;
    bool has_received_goaway = false;
    bool has_report = false;
    fb::load_reportT report;
    mono_time reported_at;
    shard_set shards; ///< Last reported; kept while the link is down.
    mono_time shards_changed_at;
};

struct membership_options
{
    unsigned cell_count = 1;
    std::uint32_t cell = 0;
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

/// Where a call that must run at most once goes.
struct owner_route
{
    enum class action_kind
    {
        send,
        wait, ///< The owner is lost, but not for long enough to be replaced.
        none  ///< No live instance of the service.
    };
    action_kind action = action_kind::none;
    instance_id instance;
    std::uint64_t connection = 0;
    bool take_over = false;
    duration wait{}; ///< With action wait.
};

/// Cell of a member; the same in every process.
std::uint32_t cell_of(const instance_id& instance, unsigned cell_count);

class membership
{
public:
    explicit membership(membership_options options);

    /// Takes over the platform's list, which lags: an instance missing from
    /// it stays for as long as its connection is open.
    void apply_list(mono_time now,
                    const std::vector<store::instance_record>& list);
    void apply_drains(std::set<instance_id> drained);

    /// Instances to connect to now; they are marked as connecting.
    std::vector<pending_connect> take_due_connects(mono_time now);
    /// False when the instance is no longer wanted: close the connection.
    bool opened(mono_time now, const instance_id& instance,
                std::uint64_t connection, const fb::helloT& hello);
    /// True when the closed connection was the one in use.
    bool closed(mono_time now, const instance_id& instance,
                std::uint64_t connection);
    void goaway(const instance_id& instance, std::uint64_t connection);
    void report(mono_time now, const instance_id& instance,
                std::uint64_t connection, fb::load_reportT report);

    unusable_reason why_unusable(const instance_id& instance) const;
    /// Usable instances of a group, ordered by name.
    std::vector<const member*> usable(const group_id& group) const;
    const member* find(const instance_id& instance) const;
    const std::map<instance_id, member>& members() const
    {
        return members_;
    }

    /// Route to the owner of a shard; `hint` is the owner's address as another
    /// instance named it, or empty.
    owner_route route_to_owner(mono_time now, const service_id& service,
                               unsigned shard, const ip_address& hint) const;

private:
    bool is_in_cell(const store::instance_record& record) const;
    unusable_reason find_unusable_reason(const member& m) const;
    duration backoff(const member& m) const;
    const member* find_owner(const service_id& service, unsigned shard,
                             const ip_address& hint) const;
    const member* choose_new_owner(const service_id& service,
                                   unsigned shard) const;

    membership_options options_;
    std::map<instance_id, member> members_;
    std::set<instance_id> drained_instances_;
};

} // namespace poplar::entry
