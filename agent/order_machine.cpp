#include "agent/order_machine.hpp"

#include "control/assignments.hpp"

#include <algorithm>
#include <utility>

namespace poplar::agent
{

namespace
{

/// Doubling stops here, well above longest_retry_interval.
constexpr unsigned most_doublings = 16;
constexpr unsigned sequence_bits = 32;

std::string describe(const engine_setup& setup)
{
    return sheet::to_string(setup.role) + " " + setup.model.value + "/" +
           setup.version.value;
}

} // namespace

std::string to_string(order_phase phase)
{
    switch (phase)
    {
    case order_phase::settled:
        return "settled";
    case order_phase::draining:
        return "draining";
    case order_phase::handing_back:
        return "handing_back";
    case order_phase::ordering:
        return "ordering";
    case order_phase::checking:
        return "checking";
    }
    return "unknown";
}

std::string to_string(order_note_kind kind)
{
    switch (kind)
    {
    case order_note_kind::assigned:
        return "assigned";
    case order_note_kind::ignored_old_version:
        return "ignored_old_version";
    case order_note_kind::awaiting_platform_read:
        return "awaiting_platform_read";
    case order_note_kind::drain_started:
        return "drain_started";
    case order_note_kind::drain_given_up:
        return "drain_given_up";
    case order_note_kind::streams_handed_back:
        return "streams_handed_back";
    case order_note_kind::order_sent:
        return "order_sent";
    case order_note_kind::order_accepted:
        return "order_accepted";
    case order_note_kind::order_refused:
        return "order_refused";
    case order_note_kind::order_lost:
        return "order_lost";
    case order_note_kind::reached:
        return "reached";
    case order_note_kind::authority_gained:
        return "authority_gained";
    case order_note_kind::authority_lost:
        return "authority_lost";
    }
    return "unknown";
}

order_machine::order_machine(order_options options) : options_(options) {}

void order_machine::take_assignment(const assignment& a)
{
    if (a.version == assigned_.version)
        return;
    const bool is_first = assigned_.version == object_version();
    if (!is_first && !control::is_newer({a.epoch, a.version},
                                        {assigned_.epoch, assigned_.version}))
        return note(order_note_kind::ignored_old_version,
                    "version " + std::to_string(a.version.value));
    // The version rises with every change in the group; most leave this part
    // as it is and are no decision.
    const assignment before = std::exchange(assigned_, a);
    std::ranges::sort(assigned_.setup.adapters);
    if (before.version.value > 0 && before.setup == assigned_.setup &&
        before.state == assigned_.state)
        return;
    refused_in_row_ = 0;
    note(order_note_kind::assigned,
         describe(a.setup) + " " + sheet::to_string(a.state));
    if (!was_read_)
        note(order_note_kind::awaiting_platform_read);
}

void order_machine::platform_was_read(const std::optional<assignment>& part)
{
    was_read_ = true;
    if (part)
        take_assignment(*part);
}

void order_machine::set_authority(std::optional<agent_incarnation> held)
{
    if (held == incarnation_)
        return;
    note(held ? order_note_kind::authority_gained
              : order_note_kind::authority_lost,
         held ? "incarnation " + std::to_string(held->value) : "");
    incarnation_ = held;
}

void order_machine::stop()
{
    is_stopped_ = true;
}

std::uint64_t order_machine::begin_read()
{
    return next_read_++;
}

void order_machine::take_state(std::uint64_t read, const engine_state& state)
{
    if (read <= last_read_)
        return;
    last_read_ = read;
    engine_ = state;
    std::ranges::sort(engine_->setup.adapters);
    is_reachable_ = true;
}

void order_machine::take_unreachable(std::uint64_t read)
{
    if (read > last_read_)
        is_reachable_ = false;
}

void order_machine::take_answer(fencing_token fencing, order_outcome outcome,
                                const std::string& detail)
{
    if (phase_ != order_phase::ordering || fencing != open_fencing_)
        return;
    phase_ = order_phase::checking;
    first_read_after_ = next_read_;
    switch (outcome)
    {
    case order_outcome::accepted:
        refused_in_row_ = 0;
        return note(order_note_kind::order_accepted, detail);
    case order_outcome::refused:
        ++refused_in_row_;
        return note(order_note_kind::order_refused, detail);
    case order_outcome::lost:
        return note(order_note_kind::order_lost, detail);
    }
}

order_actions order_machine::step(mono_time t, std::size_t open_streams)
{
    order_actions out;
    switch (phase_)
    {
    case order_phase::settled:
        if (needs_order() && may_order())
            start_drain(t);
        break;
    case order_phase::draining:
    case order_phase::handing_back:
        step_drain(t, open_streams, out);
        break;
    case order_phase::ordering:
        break;
    case order_phase::checking:
        step_check(t);
        break;
    }
    return out;
}

void order_machine::start_drain(mono_time t)
{
    phase_ = order_phase::draining;
    drain_started_ = t;
    note(order_note_kind::drain_started, "for " + describe(assigned_.setup));
}

void order_machine::step_drain(mono_time t, std::size_t open_streams,
                               order_actions& out)
{
    // Without an answer from the engine nothing is known against the drain.
    if (!is_reachable_)
        return;
    if (!needs_order() || !may_order())
    {
        phase_ = order_phase::settled;
        return note(order_note_kind::drain_given_up,
                    may_order() ? "the engine is as assigned" : "no authority");
    }
    if (open_streams == 0)
    {
        out.order = make_order(t);
        return;
    }
    if (phase_ == order_phase::handing_back ||
        t - drain_started_ < options_.drain_time)
        return;
    phase_ = order_phase::handing_back;
    out.hand_back = true;
    note(order_note_kind::streams_handed_back, std::to_string(open_streams));
}

void order_machine::step_check(mono_time t)
{
    const bool has_state = is_reachable_ && last_read_ >= first_read_after_;
    if (!has_state || engine_->changing)
        return;
    if (!needs_order() || !may_order())
    {
        phase_ = order_phase::settled;
        if (engine_->setup == assigned_.setup)
            note(order_note_kind::reached, describe(engine_->setup));
        return;
    }
    if (t - last_order_ >= retry_wait())
        start_drain(t);
}

engine_order order_machine::make_order(mono_time t)
{
    ++sequence_;
    open_fencing_ =
        fencing_token(incarnation_->value << sequence_bits | sequence_);
    last_order_ = t;
    phase_ = order_phase::ordering;
    note(order_note_kind::order_sent, describe(assigned_.setup) + " fencing " +
                                          std::to_string(open_fencing_.value));
    return {open_fencing_, assigned_.version, assigned_.setup};
}

duration order_machine::retry_wait() const
{
    const unsigned doublings = std::min(refused_in_row_, most_doublings);
    return std::min(options_.retry_interval * (1U << doublings),
                    options_.longest_retry_interval);
}

bool order_machine::may_order() const
{
    return was_read_ && incarnation_ && !is_stopped_;
}

bool order_machine::needs_order() const
{
    // An upstream that is to leave, or has no role, keeps its setup: it takes
    // no new work whatever it is.
    return options_.takes_orders && assigned_.version.value > 0 &&
           assigned_.state == sheet::upstream_state::active &&
           assigned_.setup.role != sheet::engine_role::unassigned &&
           is_reachable_ && engine_ && !engine_->changing &&
           engine_->setup != assigned_.setup;
}

work_gate order_machine::gate() const
{
    if (is_stopped_ || assigned_.state != sheet::upstream_state::active)
        return work_gate::draining;
    if (!options_.takes_orders)
        return work_gate::open;
    const bool is_unassigned =
        assigned_.version.value > 0 &&
        assigned_.setup.role == sheet::engine_role::unassigned;
    const bool can_serve = is_reachable_ && engine_ && !engine_->changing;
    if (is_unassigned || !can_serve || phase_ != order_phase::settled)
        return work_gate::not_ready;
    return work_gate::open;
}

void order_machine::note(order_note_kind kind, std::string detail)
{
    notes_.push_back({kind, assigned_.version, std::move(detail)});
}

std::vector<order_note> order_machine::take_notes()
{
    return std::exchange(notes_, {});
}

} // namespace poplar::agent
