/// Decisions of one ledger shard: at most one execution for each key. Events
/// and time go in, actions come out; no threads, clocks or I/O.
///
/// A call is sent only after a conditional update that records its intent has
/// certainly taken effect, and only by the process that made this update.
/// Any later owner sees the intent and never sends the call.
#pragma once

#include "base/time.hpp"
#include "ledger/record.hpp"
#include "store/object_store.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace poplar::ledger
{

/// A submitted call that waits for its answer.
using waiter_number = number_id<struct waiter_tag>;

enum class answer_state
{
    not_run, ///< No call with this key and body has run.
    /// This submission started nothing, but an earlier one with the same key
    /// may have run: the ledger could not be consulted.
    not_started,
    done,
    in_progress, ///< Sent; the answer is not there yet.
    unknown      ///< May have run; the answer is not known here.
};

enum class answer_cause
{
    none,
    key_reused,  ///< The key was used with another body.
    unavailable, ///< The platform cannot be reached.
    wrong_owner, ///< Another instance owns the shard: see owner_address.
    closing,     ///< The shard is being handed over.
    not_sent,    ///< No connection to the upstream could be made.
    deadline     ///< The waiter's deadline passed before the call was sent.
};

struct call_answer
{
    answer_state state = answer_state::not_run;
    answer_cause cause = answer_cause::none;
    stored_answer content;     ///< Only with answer_state::done.
    std::string owner_address; ///< Only with wrong_owner.
};

enum class run_state
{
    done,
    not_sent, ///< Certainly not received by the upstream.
    unknown   ///< Sent, without an answer.
};

struct run_result
{
    run_state state = run_state::unknown;
    stored_answer answer;
};

/// A call handed to the machine.
struct submission
{
    waiter_number waiter;
    call_key call;
    std::uint64_t body_digest = 0;
    bool take_over = false; ///< Displace an owner that cannot be reached.
    mono_time deadline;
};

enum class action_kind
{
    read,          ///< Read the shard object and its segments.
    write,         ///< Conditional update of the shard object.
    write_segment, ///< Create a segment object.
    run,           ///< Send the call to the upstream, once.
    answer,        ///< Answer a waiter.
    forward        ///< Tell the present owner the outcome of a call.
};

struct action
{
    action_kind kind = action_kind::read;
    std::string value;         ///< write, write_segment: the object's value.
    object_version expected;   ///< write.
    std::string segment;       ///< write_segment: name.
    bool is_retry = false;     ///< write: wait a little before it.
    call_key call;             ///< run, forward.
    waiter_number waiter;      ///< answer, run: a waiter of the call.
    call_answer answer;        ///< answer.
    call_record outcome;       ///< forward.
    std::string owner_address; ///< forward.
};

/// How a store operation ended.
enum class write_result
{
    written,
    conflict,
    unavailable,    ///< Certainly without effect.
    unknown_outcome ///< May have taken effect.
};

struct shard_options
{
    instance_id instance;
    std::string address; ///< Inner-protocol address of this agent.
    /// Random text of this process, so that write ids differ between lives.
    std::string process_nonce;
    std::chrono::seconds retention{std::chrono::hours(24)};
    std::size_t segment_limit_bytes = std::size_t(256) << 10;
    /// How long another owner is believed without reading the object again.
    duration foreign_owner_time = std::chrono::milliseconds(500);
    /// Unknown outcomes of one write after which its waiters are answered.
    unsigned max_write_retries = 2;
    /// Wait before the next try of a failed write.
    duration write_retry_interval = std::chrono::milliseconds(200);
    /// Time in which the last owner of a shard writes again what a restored
    /// store lacks; nobody else takes the shard before. Agents notice the new
    /// era within 2 s, the interval in which they check their slot.
    duration restored_wait = std::chrono::seconds(5);
};

class shard_machine
{
public:
    shard_machine(service_id service, unsigned shard, shard_options options);

    /// An answer of the store named this era first at that time.
    void store_seen(store_era era, mono_time at);

    // Events. `wall` is seconds since 1970, UTC.
    void submit(const submission& s, mono_time now);
    /// The object as read; `archived` holds the calls of its segments.
    void read_done(const shard_record& record, object_version version,
                   std::vector<call_record> archived, mono_time now,
                   std::int64_t wall);
    void read_failed(mono_time now);
    void write_done(write_result result, object_version version, mono_time now);
    void run_done(const call_key& call, const run_result& result);
    /// A former owner reports how a call ended that it had sent.
    void outcome_reported(const call_record& outcome);
    /// Answers waiters whose deadline has passed, drops calls past their
    /// retention and repeats writes that failed. Call it every few ms.
    void expire(mono_time now, std::int64_t wall);
    /// Starts the handover: no new calls; releases the shard when it is idle.
    void release();

    std::vector<action> take_actions();

    bool owns() const
    {
        return ownership_ == ownership::owned;
    }
    bool is_released() const;
    std::size_t call_count() const
    {
        return calls_.size() + archived_.size();
    }

private:
    enum class ownership
    {
        none,
        taking, ///< Reading the object or writing the new epoch.
        owned,
        foreign
    };

    enum class phase
    {
        recording, ///< The intent is not yet certainly recorded.
        idle,      ///< Recorded but not sent, and nobody waits for it.
        running,   ///< Sent by this process.
        done,
        orphan ///< May have been sent; the outcome is not known.
    };

    enum class operation
    {
        none,
        read,
        write,
        write_segment
    };

    struct waiting
    {
        waiter_number waiter;
        mono_time deadline;
    };

    struct call_state
    {
        phase at = phase::recording;
        call_record record;
        std::vector<waiting> waiters;
        bool is_proposed = false;         ///< Part of the unsettled write.
        bool is_outcome_recorded = false; ///< The answer is in the object.
    };

    void submit_releasing(const submission& s);
    void submit_owned(const submission& s);
    void submit_known(call_state& c, const submission& s);
    void answer_archived(const call_record& record, const submission& s);
    void start_read();
    void settle_by_read(const shard_record& record, object_version version,
                        mono_time now);
    void take_ownership(const shard_record& record, object_version version,
                        std::vector<call_record> archived, std::int64_t wall);
    void load_calls(std::vector<call_record> calls);
    bool is_of_earlier_era(object_version version) const;
    bool may_lack_calls(const shard_record& record, mono_time now) const;
    void write_again(const shard_record& record, object_version version,
                     const std::vector<call_record>& archived);
    void keep_unarchived(const std::vector<call_record>& archived);
    void write_settled(object_version version);
    void became_owner();
    void lost_ownership(const shard_record& current, mono_time now);
    void forget_ownership();
    void write_if_needed();
    void start_segment(std::vector<call_key> calls);
    void segment_done(write_result result, mono_time now);
    void start_write();
    void repeat_write();
    void write_unavailable(mono_time now);
    void write_unknown(mono_time now);
    shard_record make_record();
    std::vector<call_key> segment_candidates() const;
    void abandon_recording(answer_cause cause);
    void fail_queue(answer_cause cause);
    void drop_expired(std::int64_t wall);
    void expire_waiters(mono_time now);
    void expire_call(call_state& c, mono_time now);
    void add_waiter(call_state& c, const submission& s);
    bool has_active_calls() const;
    void answer(waiter_number waiter, call_answer content);
    void answer_all(call_state& c, const call_answer& content);
    void forward(const call_state& c);
    void run(call_state& c);

    service_id service_;
    unsigned shard_;
    shard_options options_;
    ownership ownership_ = ownership::none;
    operation operation_ = operation::none;
    bool is_releasing_ = false;
    bool has_changes_ = false;
    /// The write in flight, or one whose outcome is unknown and which must be
    /// settled before any other write.
    std::optional<shard_record> proposed_;
    bool is_unresolved_ = false;
    unsigned write_retries_ = 0;
    mono_time retry_at_;
    std::int64_t wall_ = 0;
    object_version version_;
    store_era era_;
    mono_time era_seen_at_;
    owner_epoch epoch_;
    std::uint64_t write_count_ = 0;
    std::uint64_t segment_count_ = 0;
    std::vector<segment_reference> segments_;
    std::vector<call_key> segment_calls_; ///< Being written to a segment.
    segment_reference segment_pending_;
    std::string foreign_address_;
    mono_time foreign_until_;
    std::vector<submission> queue_; ///< Wait until ownership is settled.
    /// Calls in the shard object or on the way there.
    std::map<call_key, call_state> calls_;
    /// Settled calls that stand in segments.
    std::map<call_key, call_record> archived_;
    /// Calls that may have waiters.
    std::set<call_key> waited_for_;
    std::int64_t next_drop_ = 0; ///< Wall time of the next drop_expired.
    std::vector<action> actions_;
};

} // namespace poplar::ledger
