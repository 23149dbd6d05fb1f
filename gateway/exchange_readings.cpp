#include "gateway/exchange.hpp"
#include "gateway/placed_work.hpp"
#include "observe/log.hpp"
#include "platform/wire.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace poplar::gateway
{

namespace
{

using observe::event;

/// Whether an engine has taken a reading that failed. One that resets the
/// connection has not begun with the prompt or has ended.
bool was_taken(try_result reading)
{
    return reading == try_result::answered_error ||
           reading == try_result::stalled || reading == try_result::timed_out;
}

/// Empty when the answer to a reading names no handle.
kv_handle handle_of(const std::string& body, const ip_address& source,
                    std::string& failure)
{
    try
    {
        return platform::decode_prefill(body, source);
    }
    catch (const parse_error& ec)
    {
        failure = ec.what();
        return {};
    }
}

asio::awaitable<void> release_kv(upstream_ptr u, kv_handle kv, attempt_id id,
                                 call_hooks hooks)
{
    call_request request;
    request.head = platform::make_release(kv);
    request.body = std::make_shared<std::string>();
    request.time_limit = std::chrono::seconds(1);
    request.hooks = std::move(hooks);
    upstream_call call(u->connections, std::move(request));
    const call_status status = co_await call.start();
    std::string body;
    bool is_end = false;
    if (status == call_status::ok)
        co_await call.read_some(body, is_end);
    if (status != call_status::ok || call.info().status != 200)
        observe::log(event::gateway_kv_release_failed,
                     {{"request", id.value},
                      {"upstream", u->record.id.value},
                      {"status", to_string(status)}});
}

} // namespace

asio::awaitable<kv_handle>
exchange::read_prompt(upstream_ptr u, const policy::placement_choice& choice)
{
    const bool was_free =
        u->placed.own_load.in_flight + u->placed.peer_load.in_flight == 0;
    placed_work work(u, reading_load(choice.uncached));
    placed_work call(u, {.in_flight = 1});
    note_shared_parts(*u, policy::from_seconds(choice.total_seconds));
    send_options options = options_for(*u);
    options.prefill_only = true;
    if (choice.source)
        options.fetch_from = fleet_->members[*choice.source]->record.address;
    const mono_time began = now();
    plain_answer a = co_await try_plain(u, std::move(options));
    const double taken = policy::seconds(now() - began);
    policy::engine_placement& placement = fleet_->placement;
    placement.correction().add(policy::load_rank(route_->priority),
                               choice.wait_seconds,
                               taken - choice.prefill_seconds);
    if (caller_left_)
        co_return kv_handle{};
    kv_handle kv = take_reading(*u, std::move(a));
    if (!kv.empty() && was_free)
    {
        placement.prefill_rate().add(choice.uncached, taken);
        placement.engine_prefill_rate().add(choice.uncached, taken);
    }
    co_return kv;
}

/// Empty when the engine's answer is of no use; another is to read then.
kv_handle exchange::take_reading(upstream& u, plain_answer a)
{
    try_result result = judge(a);
    kv_handle kv;
    if (result == try_result::answered && a.info.status == 200)
    {
        ++history_.readings;
        kv = handle_of(a.body, u.record.address, a.failure);
        if (kv.empty())
            result = try_result::lost;
    }
    else if (was_taken(result))
        ++history_.readings;
    record_health(result, u);
    if (!kv.empty())
    {
        note_parts(u, parts_, duration{});
        prompt_read_after_ = now() - request_.received;
        return kv;
    }
    observe::log(event::gateway_try_failed,
                 {{"request", info_.id.value},
                  {"upstream", u.record.id.value},
                  {"result", to_string(result)},
                  {"failure", a.failure},
                  {"call", "prefill"},
                  {"status", a.info.status},
                  {"left_ms", to_milliseconds(time_left())}});
    failed_at_.push_back(u.record.id);
    ++history_.tries;
    return kv;
}

policy::placed_load exchange::reading_load(token_count tokens) const
{
    policy::placed_load load;
    load.prefill_tokens[policy::load_rank(route_->priority)] = tokens;
    return load;
}

/// The last part, which belongs to this request alone, is recorded when it has
/// been read: a caller's repeat would go to an engine that never did.
void exchange::note_shared_parts(upstream& u, duration ready_in)
{
    if (!parts_.empty())
        note_parts(u, std::span(parts_).first(parts_.size() - 1), ready_in);
}

void exchange::note_parts(upstream& u,
                          std::span<const policy::prefix_block> parts,
                          duration ready_in)
{
    u.placed.cache.add(parts, now() + ready_in);
    state_.loads.add_blocks(u, parts, ready_in);
}

asio::awaitable<void> exchange::hold(double seconds)
{
    ++holds_;
    asio::steady_timer timer(state_.loop, policy::from_seconds(seconds));
    error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

/// Frees KV cache that was not taken.
void exchange::release(const kv_handle& kv)
{
    if (kv.empty())
        return;
    for (const upstream_ptr& it : fleet_->members)
        if (it->record.address == kv.source)
            return asio::co_spawn(
                state_.loop,
                release_kv(it, kv, info_.id, state_.upstreams.hooks_for(it)),
                asio::detached);
}

} // namespace poplar::gateway
