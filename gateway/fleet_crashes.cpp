// Requests and prefix blocks under which upstreams crash.
#include "gateway/fleet.hpp"
#include "gateway/loop_guard.hpp"
#include "observe/log.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace poplar::gateway
{

namespace
{

using observe::event;

constexpr duration probe_timeout = std::chrono::milliseconds(500);
/// A process that has not ended within this time after a request broke off did
/// not crash under it. Its entry lapses within three heartbeats.
constexpr duration max_time_to_end = std::chrono::seconds(5);
/// Crashes under a request from which on its record outlives this process. One
/// crash implicates all requests of the upstream, two hardly any sound one.
constexpr std::size_t min_recorded_crashes = 2;
constexpr std::size_t max_own_suspects = 4000;

policy::engine_process engine_process_of(const upstream& u)
{
    return {u.key, u.record.started_ms};
}

} // namespace

void fleet::set_crash_hooks(crash_hooks hooks)
{
    crash_hooks_ = std::move(hooks);
}

void fleet::note_broken_off(const upstream_ptr& u, crash_suspects suspects,
                            mono_time now)
{
    const bool is_probed = std::ranges::any_of(
        broken_off_, [&](const broken_off& it)
        { return it.engine == u && now - it.at < probe_timeout; });
    broken_off_.push_back({u, std::move(suspects), now});
    if (ended_.contains({u->key, u->record.started_ms}))
        return note_process_ended(*u);
    if (!is_probed)
        asio::co_spawn(context_, probe_process(u),
                       log_failure("probe_process"));
}

asio::awaitable<void> fleet::probe_process(upstream_ptr u)
{
    error_code ec;
    connection_ptr c = co_await u->connections.connect(probe_timeout, ec);
    if (c)
        u->connections.release(std::move(c), now());
    if (ec == asio::error::connection_refused)
        note_process_ended(*u);
}

void fleet::note_process_ended(const upstream& u)
{
    const auto is_here = [&](const broken_off& it)
    {
        return it.engine->key == u.key &&
               it.engine->record.started_ms == u.record.started_ms;
    };
    const auto count = std::ranges::count_if(broken_off_, is_here);
    const bool is_planned =
        u.record.state != upstream_state::ready || u.health.is_leaving();
    if (count == 0 || is_planned)
        return;
    observe::log(event::gateway_engine_crashed,
                 {{"upstream", u.record.id.value},
                  {"started_ms", u.record.started_ms},
                  {"requests", count}});
    for (const broken_off& it : broken_off_)
    {
        if (!is_here(it))
            continue;
        for (const std::uint64_t block : it.suspects.blocks)
            record_crash(
                policy::block_crash{block, engine_process_of(u), it.at});
        if (own_suspects_.size() >= max_own_suspects)
            own_suspects_.clear();
        own_suspects_.insert(it.suspects.request);
        record_crash(policy::request_crash{it.suspects.request,
                                           engine_process_of(u), it.at});
    }
    std::erase_if(broken_off_, is_here);
}

void fleet::record_crash(const policy::block_crash& crash)
{
    const std::size_t before = fatal_blocks_.crash_count(crash.block);
    fatal_blocks_.record_crash(crash);
    const std::size_t after = fatal_blocks_.crash_count(crash.block);
    if (after > before && after > 1)
        observe::log(event::gateway_block_suspected,
                     {{"block", crash.block}, {"crashes", after}});
}

void fleet::record_crash(const policy::request_crash& crash)
{
    if (!fatal_requests_.record_crash(crash))
        return;
    const std::size_t n = fatal_requests_.crash_count(crash.request);
    if (n < min_recorded_crashes)
        return;
    const auto hold = fatal_requests_.hold(crash.request, now());
    observe::log(event::gateway_request_suspected,
                 {{"fingerprint", hex(crash.request)},
                  {"crashes", n},
                  {"upstream", hex(crash.process.engine)},
                  {"started_ms", crash.process.started_ms},
                  {"held", hold ? "yes" : "no"}});
    if (own_suspects_.contains(crash.request))
        crash_hooks_.suspected(crash.request,
                               fatal_requests_.crashes_of(crash.request));
}

void fleet::record_completion(const policy::request_completion& completion)
{
    const std::size_t before = fatal_requests_.crash_count(completion.request);
    if (!fatal_requests_.record_completion(completion) ||
        before < min_recorded_crashes)
        return;
    observe::log(
        event::gateway_request_cleared,
        {{"fingerprint", hex(completion.request)}, {"crashes", before}});
    own_suspects_.erase(completion.request);
}

void fleet::forget_crashes(std::uint64_t request)
{
    fatal_requests_.forget(request);
    own_suspects_.erase(request);
}

void fleet::note_completed(const crash_suspects& suspects, mono_time now)
{
    const bool was_suspected =
        fatal_requests_.crash_count(suspects.request) >= min_recorded_crashes;
    record_completion({suspects.request, now});
    if (was_suspected)
        crash_hooks_.cleared(suspects.request);
    for (const std::uint64_t it : suspects.blocks)
    {
        const std::size_t crashes = fatal_blocks_.crash_count(it);
        fatal_blocks_.record_completion({it, now});
        if (crashes > 1)
            observe::log(event::gateway_block_cleared,
                         {{"block", it}, {"crashes", crashes}});
    }
}

void fleet::apply_reported_crashes(
    std::span<const policy::block_crash> crashes,
    std::span<const policy::block_completion> completed)
{
    for (const policy::block_completion& it : completed)
        fatal_blocks_.record_completion(it);
    for (const policy::block_crash& it : crashes)
        record_crash(it);
}

void fleet::apply_reported_crashes(
    std::span<const policy::request_crash> crashes,
    std::span<const policy::request_completion> completed)
{
    for (const policy::request_completion& it : completed)
        record_completion(it);
    for (const policy::request_crash& it : crashes)
        record_crash(it);
}

void fleet::discard_old_breaks(mono_time now)
{
    std::erase_if(broken_off_, [&](const broken_off& it)
                  { return now - it.at > max_time_to_end; });
}

} // namespace poplar::gateway
