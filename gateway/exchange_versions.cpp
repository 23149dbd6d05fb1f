// Streams go on only at the software version that began them.
#include "gateway/exchange.hpp"
#include "observe/log.hpp"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>

namespace poplar::gateway
{

namespace
{

using observe::event;

} // namespace

/// The only version that has been in service for as long as callers take
/// streams up has begun the stream. Otherwise the gateway at which it began
/// knows, and the peers that it told.
asio::awaitable<bool> exchange::find_stream_version()
{
    if (!info_.resume_after || route_->kind != call_kind::stream)
        co_return true;
    stream_version_ = state_.origins.known(info_.resumed_attempt);
    const auto recent = state_.upstreams.recent_versions(service_, now());
    const bool is_complete = state_.are_versions_known &&
                             state_.upstreams.is_store_connected() &&
                             state_.are_upstreams_confirmed();
    if (!stream_version_ && recent.size() == 1 && is_complete)
        stream_version_ = recent.front();
    if (!stream_version_)
        stream_version_ = co_await state_.origins.find(info_.resumed_attempt);
    if (caller_disconnected_)
    {
        log_unanswered();
        co_return false;
    }
    if (stream_version_)
        co_return true;
    observe::log(event::gateway_stream_version_unknown,
                 {{"request", info_.id.value},
                  {"resumes", info_.resumed_attempt.value},
                  {"service", service_.value},
                  {"versions", recent.size()}});
    co_await refuse("unknown_stream_version");
    co_return false;
}

void exchange::note_stream_begun(const upstream& u)
{
    if (stream_version_)
        return;
    stream_version_ = u.record.version;
    const bool is_unique =
        state_.upstreams.recent_versions(service_, now()).size() == 1;
    state_.origins.begin(info_.id, *stream_version_, !is_unique);
}

bool exchange::may_serve_stream(const upstream& u) const
{
    return !stream_version_ || u.record.version == *stream_version_;
}

std::string exchange::reason_without_engine() const
{
    const bool is_left =
        std::ranges::any_of(fleet_->members, [&](const upstream_ptr& it)
                            { return may_serve_stream(*it); });
    return is_left ? "no_usable_engine" : "stream_version_gone";
}

} // namespace poplar::gateway
