/// Decides which order an engine is given and when: state and time in, actions
/// out. It has no clock, lock or I/O of its own.
///
/// An order goes out only after new work was refused, open streams have ended
/// or were handed back, and the engine reports that no change is going on. The
/// next one goes out only after a state read that began after the answer to the
/// previous one.
#pragma once

#include "agent/assignment.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplar::agent
{

struct order_options
{
    /// False for plain services, which take no orders.
    bool takes_orders = true;
    /// Time for open streams to end before the rest is handed back.
    duration drain_time = std::chrono::seconds(30);
    /// Shortest time between two orders; doubles with each refused order.
    duration retry_interval = std::chrono::milliseconds(500);
    duration longest_retry_interval = std::chrono::seconds(10);
};

enum class order_phase
{
    settled,      ///< As assigned, or nothing may be done about it.
    draining,     ///< No new work; open streams may end.
    handing_back, ///< Open streams were told to end elsewhere.
    ordering,     ///< An order was sent and not answered.
    checking      ///< Waits for the engine to report the end of the change.
};

std::string to_string(order_phase phase);

struct engine_order
{
    fencing_token fencing;
    object_version version; ///< Of the assignment that it executes.
    engine_setup setup;
};

enum class order_outcome
{
    accepted,
    refused, ///< Certainly not carried out.
    lost     ///< May be carried out.
};

/// What to do after a step.
struct order_actions
{
    bool hand_back = false;
    std::optional<engine_order> order;
};

/// Answer to new work.
enum class work_gate
{
    open,
    draining, ///< The upstream is to leave, or the agent stops.
    not_ready ///< The engine is being changed, unreachable or unassigned.
};

enum class order_note_kind
{
    assigned,
    ignored_old_version,
    awaiting_platform_read,
    drain_started,
    drain_given_up,
    streams_handed_back,
    order_sent,
    order_accepted,
    order_refused,
    order_lost,
    reached,
    authority_gained,
    authority_lost
};

std::string to_string(order_note_kind kind);

/// A decision with its reason, for the record.
struct order_note
{
    order_note_kind kind = order_note_kind::assigned;
    object_version version;
    std::string detail;
};

class order_machine
{
public:
    explicit order_machine(order_options options);

    /// From an entry or the platform; ignored unless it is newer than the
    /// newest seen.
    void take_assignment(const assignment& a);
    /// assignments/<group> was read from the platform, with this instance's
    /// part if there is one; nothing is executed before.
    void platform_was_read(const std::optional<assignment>& part);
    /// Incarnation of the slot held, or nothing when it is not certain that
    /// this process holds it.
    void set_authority(std::optional<agent_incarnation> held);
    /// No further order will be sent and no new work taken.
    void stop();

    /// Number of a state read that begins now.
    std::uint64_t begin_read();
    void take_state(std::uint64_t read, const engine_state& state);
    void take_unreachable(std::uint64_t read);
    void take_answer(fencing_token fencing, order_outcome outcome,
                     const std::string& detail);

    /// Call it when anything above was called, when streams end and every
    /// 100 ms. New work must follow `gate` before the next call; the step that
    /// closes the gate never sends an order.
    order_actions step(mono_time t, std::size_t open_streams);

    work_gate gate() const;
    order_phase phase() const
    {
        return phase_;
    }
    const assignment& assigned() const
    {
        return assigned_;
    }
    const std::optional<engine_state>& engine() const
    {
        return engine_;
    }
    bool engine_is_reachable() const
    {
        return is_reachable_;
    }
    /// Moves out the decisions made since the last call.
    std::vector<order_note> take_notes();

private:
    bool may_order() const;
    bool needs_order() const;
    void note(order_note_kind kind, std::string detail = {});
    void start_drain(mono_time t);
    void step_drain(mono_time t, std::size_t open_streams, order_actions& out);
    void step_check(mono_time t);
    engine_order make_order(mono_time t);
    duration retry_wait() const;

    order_options options_;
    assignment assigned_; ///< The newest seen.
    bool was_read_ = false;
    bool is_stopped_ = false;
    std::optional<agent_incarnation> incarnation_;
    std::uint32_t sequence_ = 0; ///< Of the last order.

    std::uint64_t next_read_ = 1;
    std::uint64_t last_read_ = 0;        ///< The newest that gave a state.
    std::uint64_t first_read_after_ = 0; ///< Begun after the last answer.
    std::optional<engine_state> engine_;
    bool is_reachable_ = false;

    order_phase phase_ = order_phase::settled;
    mono_time drain_started_;
    mono_time last_order_;
    fencing_token open_fencing_;
    unsigned refused_in_row_ = 0;
    std::vector<order_note> notes_;
};

} // namespace poplar::agent
