/// Maintains the connections to the agents of this entry's cell, and the
/// instance table.
#pragma once

#include "entry/membership.hpp"
#include "wire/connection.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace poplar::entry
{

/// Callbacks for connection events. They run on the loop's threads or on the
/// caller's thread, without a lock held, and must not block.
struct link_hooks
{
    std::function<void(const instance_id&, std::uint64_t connection)> opened;
    /// An open connection was lost.
    std::function<void(const instance_id&, std::uint64_t connection)> lost;
    /// An attempt to connect failed.
    std::function<void(const instance_id&)> unreachable;
    /// The load report or the usability of the instance may have changed.
    std::function<void(const instance_id&)> changed;
    /// Receives frames other than load reports, heartbeats and goaway.
    std::function<void(const instance_id&, std::uint64_t connection,
                       const wire::frame&)>
        received;
};

/// Copy of a row of the instance table.
struct member_view
{
    member row;
    /// Why the instance gets no new work.
    unusable_reason reason = unusable_reason::none;
};

/// Thread-safe. The lock is a leaf: no other lock is taken while it is held.
class agent_links
{
public:
    /// `loop` must outlive all calls of the hooks.
    agent_links(wire::loop& loop, membership_options options, link_hooks hooks);

    void apply_list(const std::vector<store::instance_record>& list);
    void apply_drains(std::set<instance_id> drained);
    /// Starts the connections that are due. Call it about every 20 ms.
    void connect_due();

    /// Returns false when the connection is closed and the message was
    /// certainly not sent.
    bool send(std::uint64_t connection, std::string encoded);
    bool send_to(const instance_id& instance, std::string encoded);
    /// Sends to every open connection.
    void broadcast(const std::string& encoded);

    /// Returns the connection of the instance, or 0 when the instance may get
    /// no new work.
    std::uint64_t usable_connection(const instance_id& instance) const;
    std::vector<instance_id> usable(const group_id& group) const;
    owner_route route_to_owner(const service_id& service, unsigned shard,
                               const ip_address& hint) const;
    /// Returns copies of all rows, for the status page, the policy and the
    /// control plane.
    std::vector<member_view> members() const;
    std::optional<member_view> find(const instance_id& instance) const;

private:
    void connect(const pending_connect& target);
    void on_opened(const instance_id& instance, std::uint64_t connection_id,
                   const wire::connection_ptr& c, const fb::helloT& peer);
    void on_closed(const instance_id& instance, std::uint64_t connection_id);
    void on_frame(const instance_id& instance, std::uint64_t connection_id,
                  const wire::frame& f);
    wire::connection_ptr connection(std::uint64_t connection_id) const;

    wire::loop& loop_;
    const link_hooks hooks_;
    std::atomic<std::uint64_t> last_connection_id_{0};
    mutable absl::Mutex mutex_;
    membership table_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<std::uint64_t, wire::connection_ptr>
        open_ ABSL_GUARDED_BY(mutex_);
};

} // namespace poplar::entry
