#include "gateway/exchange.hpp"
#include "gateway/load_guard.hpp"
#include "gateway/loop_guard.hpp"
#include "observe/log.hpp"
#include "platform/wire.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace poplar::gateway
{

namespace
{

using observe::event;

constexpr std::size_t max_release_answer = 64 << 10; // bytes

/// Whether the engine accepted a prefill call that failed. `lost` does not
/// count: an engine that resets the connection has not started the prefill or
/// has terminated.
bool was_accepted(attempt_result result)
{
    return result == attempt_result::answered_error ||
           result == attempt_result::stalled ||
           result == attempt_result::timed_out;
}

/// Returns the handle in the answer to a prefill call, or an empty one if there
/// is none. Sets `failure` if the answer is malformed.
kv_handle parse_kv_handle(const std::string& body, const ip_address& source,
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

/// Asks the upstream to free KV cache; logs a failure.
asio::awaitable<void> release_kv(upstream_ptr u, kv_handle kv, attempt_id id,
                                 call_hooks hooks)
{
    call_request request;
    request.head = platform::make_release(kv);
    request.body = std::make_shared<std::string>();
    request.timeout = std::chrono::seconds(1);
    request.hooks = std::move(hooks);
    upstream_call call(u->connections, std::move(request));
    call_status status = co_await call.start();
    std::string body;
    if (status == call_status::ok)
        status = co_await call.read_all(body, max_release_answer);
    if (status != call_status::ok || call.info().status != 200)
        observe::log(event::gateway_kv_release_failed,
                     {{"request", id.value},
                      {"upstream", u->record.id.value},
                      {"status", to_string(status)}});
}

} // namespace

asio::awaitable<kv_handle>
exchange::run_prefill(upstream_ptr u, const policy::placement_choice& choice)
{
    const bool was_idle =
        u->placed.own_load.in_flight + u->placed.peer_load.in_flight == 0;
    load_guard prefill_guard(u, prefill_load(choice.uncached));
    load_guard call_guard(u, {.in_flight = 1});
    record_shared_blocks(*u, policy::from_seconds(choice.total_seconds));
    send_options options = options_for(*u);
    options.prefill_only = true;
    if (choice.source)
        options.fetch_from = fleet_->members[*choice.source]->record.address;
    const mono_time started = now();
    buffered_answer a = co_await attempt_buffered(u, std::move(options));
    const double elapsed_seconds = policy::seconds(now() - started);
    policy::engine_placement& placement = fleet_->placement;
    placement.correction().add(rank(), choice.wait_seconds,
                               elapsed_seconds - choice.prefill_seconds);
    if (caller_disconnected_)
        co_return kv_handle{};
    kv_handle kv = accept_prefill(u, std::move(a));
    if (!kv.empty() && was_idle)
    {
        placement.prefill_rate().add(choice.uncached, elapsed_seconds);
        placement.engine_prefill_rate().add(choice.uncached, elapsed_seconds);
    }
    co_return kv;
}

/// Returns the KV cache handle from the engine's answer. If there is none,
/// records a failed attempt and returns an empty handle; another engine has to
/// run the prefill then.
kv_handle exchange::accept_prefill(const upstream_ptr& u, buffered_answer a)
{
    attempt_result result = classify(a);
    const bool has_answer = a.status == call_status::ok;
    kv_handle kv;
    if (result == attempt_result::answered && a.info.status == 200)
    {
        ++history_.prefill_calls;
        kv = parse_kv_handle(a.body, u->record.address, a.failure);
        if (kv.empty())
            result = attempt_result::lost;
    }
    else if (was_accepted(result))
        ++history_.prefill_calls;
    is_prefill_unsent_ = result == attempt_result::not_sent;
    record_health(result, *u);
    note_broken_off(u, result, has_answer);
    if (!kv.empty())
    {
        record_blocks(*u, blocks_, duration{});
        prefill_latency_ = now() - request_.received;
        return kv;
    }
    observe::log(event::gateway_try_failed,
                 {{"request", info_.id.value},
                  {"upstream", u->record.id.value},
                  {"result", to_string(result)},
                  {"failure", a.failure},
                  {"call", "prefill"},
                  {"status", a.info.status},
                  {"left_ms", to_milliseconds(remaining_time())}});
    failed_upstreams_.push_back(u->record.id);
    ++history_.attempts;
    return kv;
}

policy::placed_load exchange::prefill_load(token_count tokens) const
{
    policy::placed_load load;
    load.prefill_tokens[rank()] = tokens;
    return load;
}

/// Records all blocks but the last. The last one is specific to this request
/// and is recorded only after the prefill; otherwise a retry of the caller
/// could be sent to an engine that never cached it.
void exchange::record_shared_blocks(upstream& u, duration ready_in)
{
    if (!blocks_.empty())
        record_blocks(u, std::span(blocks_).first(blocks_.size() - 1),
                      ready_in);
}

void exchange::record_blocks(upstream& u,
                             std::span<const policy::prefix_block> blocks,
                             duration ready_in)
{
    u.placed.cache.add(blocks, now() + ready_in);
    state_.loads.add_blocks(u, blocks, ready_in);
}

asio::awaitable<void> exchange::wait_for_blocks(double seconds)
{
    ++block_waits_;
    asio::steady_timer timer(state_.loop, policy::from_seconds(seconds));
    block_wait_ = &timer;
    error_code ec; // Set when `end_for_shutdown` ends the wait.
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    block_wait_ = nullptr;
}

/// Frees KV cache that no decode engine has fetched.
void exchange::release(const kv_handle& kv)
{
    if (kv.empty())
        return;
    for (const upstream_ptr& it : fleet_->members)
        if (it->record.address == kv.source)
            return asio::co_spawn(
                state_.loop,
                release_kv(it, kv, info_.id,
                           state_.upstreams.begin_own_call(it)),
                log_failure("release_kv"));
}

void exchange::log_placed(const stream_placement& placement) const
{
    const policy::placement_choice& first = placement.plan.prefill
                                                ? *placement.plan.prefill
                                                : placement.plan.decode;
    observe::log(
        event::gateway_request_placed,
        {{"request", info_.id.value},
         {"service", service_.value},
         {"priority", priority()},
         {"input", info_.engine_prompt->input.value},
         {"uncached", first.uncached.value},
         {"fetched", first.fetched.value},
         {"fetched_from",
          first.source ? fleet_->members[*first.source]->record.id.value : ""},
         {"reader", placement.prefill_engine
                        ? placement.prefill_engine->record.id.value
                        : ""},
         {"runner", placement.decode_engine->record.id.value},
         {"holds", block_waits_},
         {"wait_ms", std::int64_t(first.wait_seconds * 1000)},
         {"read_ms", std::int64_t(first.total_seconds * 1000)},
         {"left_ms", to_milliseconds(remaining_time())}});
}

} // namespace poplar::gateway
