/// Lease on the duties of the fleet, held by one gateway at a time: orders to
/// engines, usage reports and orders to the platform.
#pragma once

#include "base/time.hpp"
#include "store/object_store.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace poplar::gateway
{

struct duty_lease_settings
{
    object_key key{"order-leases/engines"};
    std::string holder; ///< Name of this instance.
    /// Least time between the calls of two successive holders.
    duration handover_gap = std::chrono::seconds(3);
    /// Time after a renewal for which the holder may act.
    duration validity = std::chrono::seconds(1);
    /// Allowance for clocks that run at different speeds and for calls that are
    /// still on their way.
    duration margin = std::chrono::milliseconds(700);
};

/// Each acquisition or renewal is a conditional write to the store; the version
/// that it creates is the fencing token. A holder stops acting when
/// `validity` has passed since it sent its last renewal. Another gateway takes
/// over only after the record has been unchanged for `validity` +
/// `handover_gap` + `margin` on its own clock. It starts to measure after the
/// holder does, since it can observe a renewal only after it was sent. A record
/// of a restored store says nothing about the holder: a renewal, or the record
/// itself, may be gone. No two writes are equal, since the store neither counts
/// nor announces a write that changes nothing.
///
/// The record carries a payload that the next holder finds, such as reports
/// that were fixed and may not have been sent. A renewal keeps it.
class duty_lease
{
public:
    duty_lease(store::object_store& store, duty_lease_settings settings,
               clock_source clock);

    /// Acquires or renews the lease and returns its fencing token; empty if
    /// another process may hold it. Throws store_error.
    std::optional<fencing_token> acquire();

    /// Renews the lease with a new payload and returns the fencing token; empty
    /// if this process does not hold the lease or the outcome is unknown. To be
    /// called after `acquire`. Throws store_error.
    std::optional<fencing_token> write_payload(nlohmann::json payload);

    /// Payload of the record that this process last read or wrote.
    const nlohmann::json& payload() const
    {
        return payload_;
    }

    /// False if the lease must be renewed before the next call. Must be checked
    /// directly before a call that carries the token.
    bool may_act() const;

    /// True if this process wrote the record last, as far as it knows. Another
    /// one may take over once the record has been unchanged long enough.
    bool is_holder() const;

    /// Lets the lease lapse and acquires it again only after twice the
    /// time that another gateway needs to take over.
    void yield();

    /// When this process noticed that the store had been restored; empty if it
    /// was not.
    std::optional<mono_time> restored_at() const
    {
        return restored_at_;
    }

    /// Notes whether the store has been restored. To be called regularly, also
    /// while no order is due.
    void follow_era();

private:
    /// Time for which a record must be unchanged before another process takes
    /// over.
    duration takeover_time() const;
    bool may_be_held(const store::object& record);
    /// True if this process wrote the record, though the answer may be lost.
    bool is_own(const store::object& record) const;
    void read_payload(const store::object& record);
    void observe(object_version version);
    std::optional<fencing_token> write(object_version expected);

    store::object_store& store_;
    const duty_lease_settings settings_;
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
    std::optional<mono_time> restored_at_;
    /// Era of the store at the last write, whatever its outcome.
    std::optional<store_era> write_era_;
    nlohmann::json payload_;
    mono_time yields_until_{};
    mono_time valid_until_{};
    std::uint64_t renewals_ = 0;
};

} // namespace poplar::gateway
