// Measured speeds of engines.
#include "gateway/fleet.hpp"

#include <algorithm>

namespace poplar::gateway
{

namespace
{

policy::engine_process engine_process_of(const upstream& u)
{
    return {u.key, u.record.started_ms};
}

} // namespace

void fleet::note_prefill(const upstream& u,
                         const policy::placement_choice& choice,
                         double elapsed_seconds, mono_time now)
{
    // A call that fetches KV cache or is sent before the cached blocks are
    // ready depends on another engine too.
    if (u.is_removed || choice.source ||
        choice.hold_seconds > choice.wait_seconds)
        return;
    speeds_.add({engine_process_of(u), digest(u.record.service.value),
                 choice.wait_seconds * choice.speed,
                 choice.prefill_seconds * choice.speed, elapsed_seconds},
                now);
}

std::vector<policy::speed_measurement>
fleet::measured_speeds(mono_time since, std::size_t max_count,
                       mono_time now) const
{
    auto measured = speeds_.measured_since(since, now);
    if (measured.size() > max_count)
        measured.resize(max_count);
    return measured;
}

void fleet::apply_reported_speeds(
    const std::string& peer, std::uint64_t peer_process,
    std::span<const policy::speed_measurement> reported, mono_time now)
{
    for (const policy::speed_measurement& it : reported)
        if (const upstream_ptr u = find_by_key(it.process.engine);
            u && engine_process_of(*u) == it.process)
            speeds_.apply_peer(peer, peer_process,
                               digest(u->record.service.value), it, now);
}

void fleet::forget_reported_speeds(const std::string& peer)
{
    speeds_.forget_peer(peer);
}

void fleet::update_speeds(mono_time now)
{
    if (now - speeds_updated_at_ < settings_.speed_update_interval)
        return;
    speeds_updated_at_ = now;
    speeds_.update(now);
    for (const auto& [id, u] : upstreams_)
        u->placed.speed = speeds_.speed(engine_process_of(*u));
}

} // namespace poplar::gateway
