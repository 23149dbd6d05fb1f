/// Lease on sending orders to engines, held by one gateway at a time.
#pragma once

#include "base/time.hpp"
#include "store/object_store.hpp"

#include <optional>
#include <string>

namespace poplar::gateway
{

struct order_lease_settings
{
    object_key key{"order-leases/engines"};
    std::string holder; ///< Name of this instance.
    /// Least time between the orders of two successive holders.
    duration handover_gap = std::chrono::seconds(3);
    /// Time after a renewal for which the holder may send orders.
    duration validity = std::chrono::seconds(1);
    /// Allowance for clocks that run at different speeds and for orders that
    /// are still on their way to an engine.
    duration margin = std::chrono::milliseconds(700);
};

/// Each acquisition or renewal is a conditional write to the store; the version
/// that it creates is the fencing token. A holder stops sending orders when
/// `validity` has passed since it sent its last renewal. Another gateway takes
/// over only after the record has been unchanged for `validity` +
/// `handover_gap` + `margin` on its own clock. It starts to measure after the
/// holder does, since it can observe a renewal only after it was sent. A record
/// of a restored store says nothing about the holder: a renewal, or the record
/// itself, may be gone. No two writes are equal, since the store neither counts
/// nor announces a write that changes nothing.
class order_lease
{
public:
    order_lease(store::object_store& store, order_lease_settings settings,
                clock_source clock);

    /// Acquires or renews the lease and returns its fencing token; empty if
    /// another process may hold it. Throws store_error.
    std::optional<fencing_token> acquire();

    /// False if the lease must be renewed before the next order. Must be
    /// checked directly before an order is sent.
    bool may_order() const;

    /// Notes whether the store has been restored. To be called regularly, also
    /// while no order is due.
    void follow_era();

private:
    bool may_be_held(const store::object& record);
    void observe(object_version version);
    std::optional<fencing_token> write(object_version expected);

    store::object_store& store_;
    const order_lease_settings settings_;
    const clock_source clock_;
    /// Tells the records of this process from those of earlier processes of the
    /// same instance: the store does not count a write of an equal record.
    const std::string process_;
    /// Version of this process's last write; 0 if none or if it failed.
    object_version own_version_;
    /// Version last read of a record that another process wrote.
    object_version observed_version_;
    mono_time observed_since_{};
    std::optional<store_era> era_; ///< Of the store, when last followed.
    bool was_restored_ = false;
    mono_time valid_until_{};
    std::uint64_t renewals_ = 0;
};

} // namespace poplar::gateway
