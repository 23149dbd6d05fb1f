// Upstreams that leave: what the gateway learns of them, and for how long it
// holds.
#include "gateway/fleet.hpp"
#include "observe/log.hpp"

namespace poplar::gateway
{

namespace
{

using observe::event;

/// A departure is forgotten after this time; the process has then ended.
constexpr duration max_departure_memory = std::chrono::minutes(10);

std::int64_t unix_milliseconds_ago(duration age)
{
    const auto at = std::chrono::system_clock::now() - age;
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               at.time_since_epoch())
        .count();
}

} // namespace

upstream_process process_of(const upstream& u)
{
    return {u.key, u.record.started_ms};
}

void fleet::note_departure(const upstream& u, departure_source source,
                           mono_time now)
{
    departures_.try_emplace(process_of(u), departure{source, now});
}

void fleet::log_late_request(const upstream& u, const answer_info& answer,
                             std::optional<mono_time> sent) const
{
    const auto it = departures_.find(process_of(u));
    if (it == departures_.end() || !sent || *sent <= it->second.learned_at)
        return;
    const bool is_entry = it->second.source == departure_source::entry;
    observe::log(
        event::gateway_late_request,
        {{"upstream", u.record.id.value},
         {"started_ms", u.record.started_ms},
         {"request", answer.id.value},
         {"told_by", is_entry ? "entry" : "upstream"},
         {"known_for_ms", to_milliseconds(*sent - it->second.learned_at)}});
}

/// A process that drains or said that it leaves does not return to service: an
/// entry that says otherwise comes from an earlier write.
void fleet::apply_departure(upstream& u, upstream_state state, mono_time now)
{
    if (state == upstream_state::draining)
        note_departure(u, departure_source::entry, now);
    if (departures_.contains(process_of(u)) &&
        u.record.state == upstream_state::ready)
        u.health.mark_leaving();
    const auto said = said_leaving_.find(u.key);
    if (said != said_leaving_.end())
        apply_earlier_answer(u, said->second.sent_unix_ms, now);
}

void fleet::note_leaving_answer(upstream& u, std::optional<mono_time> sent,
                                mono_time now)
{
    if (sent)
    {
        const std::int64_t sent_ms = unix_milliseconds_ago(now - *sent);
        said_leaving_.try_emplace(u.key, said_leaving{sent_ms, now});
        const upstream_ptr current = find(u.record.id);
        if (current && current.get() != &u)
            apply_earlier_answer(*current, sent_ms, now);
    }
    if (u.health.is_leaving())
        return;
    note_departure(u, departure_source::answer, now);
    u.health.mark_leaving();
    u.connections.close_idle();
    observe::log(event::gateway_upstream_leaving,
                 {{"upstream", u.record.id.value},
                  {"started_ms", u.record.started_ms},
                  {"told_by", "upstream"}});
}

/// A request that was sent after the process had started was answered by this
/// process, also when the gateway knew only of the one before. The clocks of
/// gateways and upstreams differ, so this holds for a limited time and is not
/// reported to peers.
void fleet::apply_earlier_answer(upstream& u, std::int64_t sent_unix_ms,
                                 mono_time now)
{
    const bool is_of_this_process =
        u.record.started_ms != 0 && sent_unix_ms >= u.record.started_ms;
    if (!is_of_this_process || u.health.is_leaving())
        return;
    u.health.mark_reported_leaving(now + settings_.ended_memory);
    u.update_placed(now);
    u.connections.close_idle();
    observe::log(event::gateway_upstream_leaving,
                 {{"upstream", u.record.id.value},
                  {"started_ms", u.record.started_ms},
                  {"told_by", "earlier_answer"}});
}

void fleet::note_leaving(const upstream_record& process, mono_time sent,
                         mono_time now)
{
    const upstream_ptr u = find(process.id);
    if (!u || u->record.address != process.address)
        return;
    if (u->record.started_ms != process.started_ms)
        return apply_earlier_answer(*u, unix_milliseconds_ago(now - sent), now);
    note_leaving_answer(*u, sent, now);
    u->update_placed(now);
}

void fleet::mark_replaced(const upstream_process& by)
{
    for (auto& [process, end] : ended_)
        if (process.upstream == by.upstream && process != by)
            end.is_replaced = true;
}

bool fleet::is_written_before_end(const upstream_process& process,
                                  std::uint64_t write_number,
                                  mono_time now) const
{
    const auto end = ended_.find(process);
    if (end == ended_.end() || is_recently_restored(now))
        return false;
    return end->second.is_replaced ||
           (write_number != 0 && write_number <= end->second.write_number);
}

void fleet::discard_old_departures(mono_time now)
{
    std::erase_if(departures_,
                  [&](const auto& it) {
                      return now - it.second.learned_at > max_departure_memory;
                  });
    std::erase_if(said_leaving_, [&](const auto& it)
                  { return now - it.second.at > settings_.ended_memory; });
}

bool fleet::is_recently_restored(mono_time now) const
{
    return store_restored_at_ != mono_time{} &&
           now - store_restored_at_ < settings_.ended_entry_time;
}

bool fleet::may_have_ended(const upstream_process& process, mono_time now) const
{
    return is_recently_restored(now) && ended_.contains(process);
}

std::vector<upstream_process> fleet::leaving(std::size_t max_count,
                                             mono_time now) const
{
    std::vector<upstream_process> found;
    const auto add = [&](const upstream_process& it)
    {
        if (found.size() < max_count)
            found.push_back(it);
    };
    for (const auto& [id, u] : upstreams_)
        if (u->record.state != upstream_state::ready || u->health.is_leaving())
            add(process_of(*u));
    for (const auto& [process, end] : ended_)
        if (now - end.at < settings_.ended_report_time)
            add(process);
    return found;
}

/// The entry that this gateway knows may be from before the departure.
void fleet::extend_reported_leaving(mono_time now)
{
    for (const auto& [id, u] : upstreams_)
        if (u->health.is_reported_leaving(last_sweep_at_))
            u->health.mark_reported_leaving(now +
                                            settings_.reported_leaving_timeout);
}

void fleet::apply_reported_leaving(std::span<const upstream_process> reported,
                                   mono_time now)
{
    for (const upstream_process& it : reported)
    {
        const upstream_ptr u = find_by_key(it.upstream);
        if (!u || u->record.started_ms != it.started_ms)
            continue;
        const bool was_usable = u->placed.usable;
        u->health.mark_reported_leaving(now +
                                        settings_.reported_leaving_timeout);
        u->update_placed(now);
        if (!was_usable)
            continue;
        u->connections.close_idle();
        observe::log(event::gateway_upstream_leaving,
                     {{"upstream", u->record.id.value},
                      {"started_ms", u->record.started_ms},
                      {"told_by", "gateway"}});
    }
}

} // namespace poplar::gateway
