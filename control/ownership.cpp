#include "control/ownership.hpp"

#include "base/era_numbers.hpp"

#include <algorithm>
#include <utility>

namespace poplar::control
{

ownership::ownership(ownership_options options) : options_(std::move(options))
{
}

void ownership::set_place(std::optional<unsigned> place)
{
    place_ = place;
}

void ownership::propose(std::vector<assignment> assignments,
                        sheet_generation generation)
{
    if (!is_owner())
        return;
    const bool is_same = current_.assignments == assignments &&
                         current_.generation == generation;
    wanted_.reset();
    if (is_same)
        return;
    wanted_ = current_;
    wanted_->assignments = std::move(assignments);
    wanted_->generation = generation;
}

void ownership::release()
{
    is_releasing_ = true;
    wanted_.reset();
    next_lease_ = mono_time();
}

std::optional<store_request> ownership::next(mono_time now)
{
    if (outstanding_ || now < retry_at_)
        return std::nullopt;
    switch (state_)
    {
    case state::follower:
        return next_as_follower(now);
    case state::reading:
        return request_read(request_kind::read_assignments);
    case state::taking:
        return put_proposed();
    case state::owner:
        return next_as_owner(now);
    }
    return std::nullopt;
}

std::optional<store_request> ownership::next_as_follower(mono_time now)
{
    if (!place_ || is_releasing_ || now < next_lease_)
        return std::nullopt;
    return request_read(request_kind::read_lease);
}

std::optional<store_request> ownership::next_as_owner(mono_time now)
{
    if (must_verify_)
        return request_read(request_kind::read_assignments);
    if (proposed_)
        return put_proposed();
    if (wanted_)
    {
        start_put(*std::exchange(wanted_, std::nullopt));
        return put_proposed();
    }
    if (now >= next_lease_)
        return put_lease();
    return std::nullopt;
}

store_request ownership::request_read(request_kind kind)
{
    outstanding_ = kind;
    return {kind, {}, {}};
}

/// Repeats the same content against the same version until it is settled: it
/// cannot take effect twice.
store_request ownership::put_proposed()
{
    outstanding_ = request_kind::put_assignments;
    return {request_kind::put_assignments, to_json(*proposed_), version_};
}

store_request ownership::put_lease()
{
    outstanding_ = request_kind::put_lease;
    group_lease lease;
    if (!is_releasing_)
        lease.owner = options_.instance;
    lease.address = options_.address;
    lease.epoch = current_.epoch;
    lease.renewals = lease_.renewals + 1;
    lease_ = lease;
    return {request_kind::put_lease, to_json(lease), lease_version_};
}

void ownership::start_put(group_assignments content)
{
    content.write_id =
        options_.process_nonce + "-" + std::to_string(++write_count_);
    proposed_ = std::move(content);
}

void ownership::complete(const store_reply& reply, mono_time now)
{
    const request_kind kind = *std::exchange(outstanding_, std::nullopt);
    switch (kind)
    {
    case request_kind::read_lease:
        return lease_read(reply, now);
    case request_kind::read_assignments:
        return assignments_read(reply, now);
    case request_kind::put_assignments:
        return assignments_put(reply, now);
    case request_kind::put_lease:
        return lease_put(reply, now);
    }
}

void ownership::lease_read(const store_reply& reply, mono_time now)
{
    next_lease_ = now + options_.renewal_interval;
    if (reply.outcome != reply_outcome::done)
    {
        // While the platform is down nobody can renew; the time does not count
        // against the owner.
        has_seen_lease_ = false;
        return;
    }
    const bool is_renewed = !has_seen_lease_ || reply.version != lease_version_;
    has_seen_lease_ = true;
    if (is_renewed)
        lease_seen_at_ = now;
    lease_version_ = reply.version;
    lease_ =
        reply.value.empty() ? group_lease{} : parse_group_lease(reply.value);
    if (is_lease_over(now))
        state_ = state::reading;
}

bool ownership::is_lease_over(mono_time now) const
{
    const duration stagger = options_.takeover_stagger * *place_;
    const bool is_free =
        lease_.owner.empty() || lease_.owner == options_.instance;
    const duration wait = is_free ? stagger : options_.lease_time + stagger;
    return now - lease_seen_at_ >= wait;
}

void ownership::assignments_read(const store_reply& reply, mono_time now)
{
    if (reply.outcome != reply_outcome::done)
    {
        retry_at_ = now + options_.retry_interval;
        if (state_ != state::owner)
            become_follower(now);
        return;
    }
    group_assignments read;
    if (!reply.value.empty())
        read = parse_group_assignments(reply.value);
    if (proposed_ && read.write_id == proposed_->write_id)
        return settle(reply, now);
    if (state_ == state::owner && read.epoch == current_.epoch &&
        read.owner == options_.instance && reply.version == version_)
    {
        must_verify_ = false;
        return;
    }
    const owner_epoch newest = std::max(read.epoch, current_.epoch);
    if (!is_outdated(read, reply.era))
        current_ = read;
    version_ = reply.version;
    if (state_ == state::owner || proposed_)
        return become_follower(now); // Another process took over.
    group_assignments next = current_;
    next.epoch = owner_epoch(next_in_era(newest.value, reply.era));
    next.owner = options_.instance;
    start_put(std::move(next));
    state_ = state::taking;
}

void ownership::assignments_put(const store_reply& reply, mono_time now)
{
    switch (reply.outcome)
    {
    case reply_outcome::done:
        return settle(reply, now);
    case reply_outcome::conflict:
        outstanding_.reset();
        must_verify_ = true;
        if (state_ == state::taking && !is_unresolved_)
            return become_follower(now);
        // An earlier try whose answer was lost may be the cause.
        if (state_ == state::taking)
            state_ = state::reading;
        return;
    case reply_outcome::unavailable:
        retry_at_ = now + options_.retry_interval;
        if (state_ == state::taking && !is_unresolved_)
            become_follower(now);
        return;
    case reply_outcome::unknown_outcome:
        is_unresolved_ = true;
        retry_at_ = now + options_.retry_interval;
        return;
    }
}

bool ownership::is_outdated(const group_assignments& read, store_era era) const
{
    if (is_of_era(current_.epoch.value, era) || read.epoch > current_.epoch)
        return false;
    // Under one epoch only its owner writes.
    return read.epoch < current_.epoch || current_.owner == options_.instance;
}

/// What was written under an epoch of an earlier era is no authority: those
/// who follow the group wait for a higher one.
void ownership::settle(const store_reply& reply, mono_time now)
{
    version_ = reply.version;
    current_ = *std::exchange(proposed_, std::nullopt);
    if (!is_of_era(current_.epoch.value, reply.era))
        return become_follower(now);
    is_unresolved_ = false;
    must_verify_ = false;
    if (state_ != state::owner)
        next_lease_ = now;
    state_ = state::owner;
}

void ownership::lease_put(const store_reply& reply, mono_time now)
{
    next_lease_ = now + options_.renewal_interval;
    if (reply.outcome == reply_outcome::conflict)
    {
        // Either an earlier renewal whose answer was lost, or a new owner; the
        // assignments tell.
        lease_version_ = reply.version;
        must_verify_ = true;
        next_lease_ = now + options_.retry_interval;
        return;
    }
    if (reply.outcome != reply_outcome::done)
        return;
    lease_version_ = reply.version;
    // A successor that ended before it wrote the lease shows only in the
    // assignments.
    must_verify_ = true;
    if (is_releasing_)
        become_follower(now);
}

void ownership::become_follower(mono_time now)
{
    state_ = state::follower;
    proposed_.reset();
    wanted_.reset();
    is_unresolved_ = false;
    must_verify_ = false;
    has_seen_lease_ = false;
    next_lease_ = now + options_.renewal_interval;
}

} // namespace poplar::control
