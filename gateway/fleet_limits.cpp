// Limits on the request rate that upstreams announce.
#include "gateway/fleet.hpp"
#include "observe/log.hpp"

namespace poplar::gateway
{

namespace
{

using observe::event;

constexpr duration limited_calls_interval = std::chrono::seconds(1);

} // namespace

void fleet::note_limit(upstream& u, const answer_info& answer,
                       std::optional<mono_time> sent, mono_time now)
{
    if (answer.has_bad_limit)
        observe::log(event::gateway_upstream_bad_limit,
                     {{"upstream", u.record.id.value}});
    // The answer may come from another process at a reused address.
    if (answer.status == status_misdirected || answer.has_bad_limit)
        return;
    const upstream_ptr current = find(u.record.id);
    if (current && current->record.started_ms == u.record.started_ms)
        u.limit = current->limit;
    const bool is_changed = answer.request_limit
                                ? u.limit->announce(*answer.request_limit, now)
                                : sent && u.limit->end(*sent, now);
    update_share(u, now);
    if (is_changed)
        log_limit(u, "upstream");
}

void fleet::log_limit(const upstream& u, const char* told_by)
{
    const policy::request_limit& limit = *u.limit;
    observe::log(
        event::gateway_upstream_limit,
        {{"upstream", u.record.id.value},
         {"per_second",
          limit.is_active() ? std::to_string(limit.per_second()) : "none"},
         {"share", std::to_string(limit.share())},
         {"told_by", told_by}});
}

void fleet::update_share(upstream& u, mono_time now) const
{
    u.limit->update_share(u.key, self_, peers_, now);
}

std::vector<announced_limit> fleet::announced_limits(std::size_t max_count,
                                                     mono_time now) const
{
    std::vector<announced_limit> found;
    for (const auto& [id, u] : upstreams_)
    {
        const policy::request_limit& limit = *u->limit;
        const duration age = now - limit.learned_at();
        if (found.size() >= max_count || !limit.is_own_news() ||
            (!limit.is_active() && age >= settings_.ended_report_time))
            continue;
        found.push_back({u->key, u->record.started_ms,
                         limit.is_active() ? std::optional(limit.per_second())
                                           : std::nullopt,
                         age});
    }
    return found;
}

void fleet::apply_reported_limits(std::span<const announced_limit> reported,
                                  mono_time now)
{
    for (const announced_limit& it : reported)
    {
        const upstream_ptr u = find_by_key(it.upstream);
        if (!u || u->record.started_ms != it.started_ms ||
            !u->limit->apply_reported(it.per_second, now - it.age))
            continue;
        update_share(*u, now);
        log_limit(*u, "gateway");
    }
}

void fleet::set_gateways(std::string self, std::vector<std::string> peers,
                         mono_time now)
{
    const bool is_resized = peers.size() != peers_.size();
    self_ = std::move(self);
    peers_ = std::move(peers);
    for (const auto& [id, u] : upstreams_)
    {
        update_share(*u, now);
        if (is_resized)
            set_limits(*u);
    }
}

void fleet::log_limited_calls(mono_time now)
{
    if (now - limited_calls_logged_at_ < limited_calls_interval)
        return;
    limited_calls_logged_at_ = now;
    for (const auto& [id, u] : upstreams_)
    {
        const unsigned calls = u->limit->take_call_count();
        if (calls > 0 && u->limit->is_active())
            observe::log(
                event::gateway_limited_calls,
                {{"upstream", id.value},
                 {"per_second", std::to_string(u->limit->per_second())},
                 {"share", std::to_string(u->limit->share())},
                 {"calls", calls}});
    }
}

} // namespace poplar::gateway
