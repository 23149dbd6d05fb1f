/// Ownership of one group at one entry: who may write assignments/<group>.
/// Events and time go in, store requests come out; no threads, clocks or I/O.
///
/// Authority passes with a conditional update of assignments/<group> that
/// raises the epoch. A former owner, however long it was paused, holds an old
/// version of the object, so none of its later updates takes effect.
#pragma once

#include "base/time.hpp"
#include "control/assignments.hpp"
#include "store/object_store.hpp"

#include <optional>
#include <string>
#include <vector>

namespace poplar::control
{

struct ownership_options
{
    instance_id instance;
    std::string address;
    std::string process_nonce; ///< Random text, differs between processes.
    /// Without a renewal for this long a candidate takes over.
    duration lease_time = std::chrono::seconds(10);
    duration renewal_interval = std::chrono::seconds(3);
    /// Added for each candidate that stands before this one, so that they do
    /// not all try at once.
    duration takeover_stagger = std::chrono::seconds(2);
    duration retry_interval = std::chrono::milliseconds(500);
};

enum class request_kind
{
    read_lease,
    read_assignments,
    put_assignments,
    put_lease
};

/// A store operation to carry out; only one is outstanding at a time.
struct store_request
{
    request_kind kind = request_kind::read_lease;
    std::string value;       ///< Puts.
    object_version expected; ///< Puts.
};

enum class reply_outcome
{
    done, ///< Read, or written.
    conflict,
    unavailable,    ///< Certainly without effect.
    unknown_outcome ///< A put that may have taken effect.
};

struct store_reply
{
    reply_outcome outcome = reply_outcome::unavailable;
    std::string value;      ///< Reads.
    object_version version; ///< Reads and puts.
    store_era era;          ///< That the store named last.
};

class ownership
{
public:
    explicit ownership(ownership_options options);

    /// Place among the candidates, 0 being the first; empty: not a candidate.
    void set_place(std::optional<unsigned> place);
    /// Assignments that the owner wants; ignored without ownership.
    void propose(std::vector<assignment> assignments,
                 sheet_generation generation);
    /// Gives up ownership so that another candidate takes over at once.
    void release();

    /// The next operation, or none. Throws nothing.
    std::optional<store_request> next(mono_time now);
    /// Result of the operation that `next` gave; throws parse_error when an
    /// object has a bad form.
    void complete(const store_reply& reply, mono_time now);

    bool is_owner() const
    {
        return state_ == state::owner;
    }
    bool is_released() const
    {
        return is_releasing_ && !is_owner();
    }
    owner_epoch epoch() const
    {
        return current_.epoch;
    }
    /// Last known content of assignments/<group>.
    const group_assignments& current() const
    {
        return current_;
    }

private:
    enum class state
    {
        follower,
        reading, ///< About to take over: reads assignments/<group>.
        taking,  ///< The update with the new epoch is not settled.
        owner
    };

    std::optional<store_request> next_as_follower(mono_time now);
    std::optional<store_request> next_as_owner(mono_time now);
    store_request request_read(request_kind kind);
    store_request put_proposed();
    store_request put_lease();
    void start_put(group_assignments content);
    void lease_read(const store_reply& reply, mono_time now);
    void assignments_read(const store_reply& reply, mono_time now);
    void assignments_put(const store_reply& reply, mono_time now);
    void lease_put(const store_reply& reply, mono_time now);
    void settle(const store_reply& reply, mono_time now);
    /// True when the store was restored to what was before `current_`.
    bool is_outdated(const group_assignments& read, store_era era) const;
    void become_follower(mono_time now);
    bool is_lease_over(mono_time now) const;

    ownership_options options_;
    state state_ = state::follower;
    std::optional<unsigned> place_;
    bool is_releasing_ = false;
    std::optional<request_kind> outstanding_;
    mono_time retry_at_;

    group_lease lease_;
    object_version lease_version_;
    bool has_seen_lease_ = false;
    mono_time lease_seen_at_;  ///< When its version last changed.
    mono_time next_lease_;     ///< Next poll or renewal.
    bool must_verify_ = false; ///< Another process wrote the lease.

    group_assignments current_;
    object_version version_;
    std::optional<group_assignments> proposed_; ///< Not settled.
    bool is_unresolved_ = false;
    std::uint64_t write_count_ = 0;
    std::optional<group_assignments> wanted_;
};

} // namespace poplar::control
