/// The right to order engines, held by one gateway at a time.
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
    /// Orders of two holders lie at least this far apart.
    duration handover_gap = std::chrono::seconds(3);
    /// After a renewal the holder gives orders for this long.
    duration validity = std::chrono::seconds(1);
    /// For clocks that differ in speed and orders that are under way.
    duration margin = std::chrono::milliseconds(700);
};

/// Each acquisition or renewal is a conditional write, whose version is the
/// fencing token. A holder stops `use` after it sent its last renewal. Another
/// takes over only when it has seen the record unchanged for `use` + `lease` +
/// `margin` on its own clock, which begins after the holder's.
class order_lease
{
public:
    order_lease(store::object_store& store, order_lease_settings settings,
                clock_source clock);

    /// Acquires or renews the right; empty when another holds it. Throws
    /// store_error.
    std::optional<fencing_token> acquire();

    /// False when the right has to be renewed before the next order. To be
    /// asked directly before an order is sent.
    bool may_order() const;

private:
    bool may_be_held(const store::object& record);
    std::optional<fencing_token> write(object_version expected);

    store::object_store& store_;
    const order_lease_settings settings_;
    const clock_source clock_;
    object_version own_version_; ///< Of this process's last write; 0: none.
    object_version observed_version_; ///< Of another holder.
    mono_time observed_since_{};
    mono_time valid_until_{};
    std::uint64_t renewals_ = 0;
};

} // namespace poplar::gateway
