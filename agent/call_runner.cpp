#include "agent/call_runner.hpp"

#include <algorithm>
#include <array>
#include <strings.h>

namespace poplar::agent
{

namespace
{

/// Wait before a refused call is tried here again.
constexpr duration refused_retry = std::chrono::seconds(1);
/// Room for the other fields of a frame beside the body.
constexpr std::size_t most_body_bytes =
    (std::size_t(4) << 20) - (std::size_t(256) << 10);

/// These belong to one connection, not to the call.
bool is_hop_header(const std::string& name)
{
    constexpr std::array names{"connection",
                               "content-length",
                               "host",
                               "keep-alive",
                               "te",
                               "trailer",
                               "transfer-encoding",
                               "upgrade",
                               "proxy-connection",
                               "expect"};
    return std::ranges::any_of(names, [&name](const char* it)
                               { return strcasecmp(it, name.c_str()) == 0; });
}

using wire_headers = std::vector<std::unique_ptr<fb::header_fieldT>>;

std::vector<net::header> from_wire(const wire_headers& headers)
{
    std::vector<net::header> out;
    for (const auto& it : headers)
        if (it && !is_hop_header(it->name))
            out.push_back({it->name, it->value});
    return out;
}

wire_headers to_wire(const std::vector<net::header>& headers)
{
    wire_headers out;
    for (const net::header& it : headers)
    {
        if (is_hop_header(it.name))
            continue;
        out.push_back(std::make_unique<fb::header_fieldT>());
        out.back()->name = it.name;
        out.back()->value = it.value;
    }
    return out;
}

std::string text_of(const std::vector<std::uint8_t>& bytes)
{
    return {bytes.begin(), bytes.end()};
}

std::vector<std::uint8_t> bytes_of(const std::string& text)
{
    return {text.begin(), text.end()};
}

fb::call_resultT done_result(const net::http_response& response)
{
    fb::call_resultT r;
    r.state = fb::call_state::done;
    r.status = response.status;
    r.headers = to_wire(response.headers);
    r.body_dropped = response.body.size() > most_body_bytes;
    if (!r.body_dropped)
        r.body = bytes_of(response.body);
    return r;
}

fb::call_resultT result_of(const net::client_result& result)
{
    if (result.failure == net::client_failure::none)
        return done_result(result.response);
    if (result.failure == net::client_failure::not_connected)
        return refused_call(fb::refusal::not_ready,
                            "service not reached: " + result.detail);
    fb::call_resultT r;
    r.state = fb::call_state::unknown;
    r.message = to_string(result.failure) + ": " + result.detail;
    return r;
}

ledger::run_result run_result_of(const net::client_result& result)
{
    if (result.failure == net::client_failure::not_connected)
        return {ledger::run_state::not_sent, {}};
    if (result.failure != net::client_failure::none)
        return {ledger::run_state::unknown, {}};
    std::vector<net::header> headers;
    for (const net::header& it : result.response.headers)
        if (!is_hop_header(it.name))
            headers.push_back(it);
    return {ledger::run_state::done,
            ledger::make_stored_answer(result.response.status,
                                       std::move(headers),
                                       result.response.body)};
}

fb::refusal refusal_of(ledger::answer_cause cause)
{
    switch (cause)
    {
    case ledger::answer_cause::none:
        return fb::refusal::none;
    case ledger::answer_cause::key_reused:
        return fb::refusal::key_reused;
    case ledger::answer_cause::unavailable:
        return fb::refusal::ledger_unavailable;
    case ledger::answer_cause::wrong_owner:
        return fb::refusal::wrong_owner;
    case ledger::answer_cause::closing:
        return fb::refusal::draining;
    case ledger::answer_cause::not_sent:
        return fb::refusal::not_ready;
    case ledger::answer_cause::deadline:
        return fb::refusal::deadline_too_short;
    }
    return fb::refusal::not_ready;
}

fb::call_state state_of(ledger::answer_state state)
{
    switch (state)
    {
    case ledger::answer_state::not_run:
        return fb::call_state::not_run;
    case ledger::answer_state::done:
        return fb::call_state::done;
    case ledger::answer_state::in_progress:
        return fb::call_state::in_progress;
    // The entry follows the owner or gives the time at which to retry; as
    // "unknown" it would be a final answer.
    case ledger::answer_state::not_started:
        return fb::call_state::not_started;
    case ledger::answer_state::unknown:
        return fb::call_state::unknown;
    }
    return fb::call_state::unknown;
}

} // namespace

call_runner::call_runner(net::http_client& client, ip_address service,
                         call_options options)
    : client_(client), service_(std::move(service)), options_(options)
{
}

void call_runner::run(const fb::callT& call, call_result_hook done)
{
    if (open_ >= options_.max_open)
        return done(refused_call(fb::refusal::overloaded, "too many calls"));
    net::client_request r;
    r.method = call.method;
    r.to = service_;
    r.path = call.path;
    r.headers = from_wire(call.headers);
    r.body = text_of(call.body);
    r.timeout = options_.timeout;
    if (call.deadline_us > 0 &&
        call.deadline_us < static_cast<std::uint64_t>(r.timeout.count()))
        r.timeout = duration(static_cast<std::int64_t>(call.deadline_us));
    start(std::move(r), [done = std::move(done)](const auto& result)
          { done(result_of(result)); });
}

void call_runner::run_once(const ledger::call& call,
                           std::function<void(ledger::run_result)> done)
{
    net::client_request r;
    r.method = call.method;
    r.to = service_;
    r.path = call.target;
    r.headers = call.headers;
    r.body = call.body;
    r.timeout = options_.timeout;
    // On a kept connection a failure would not tell whether the call was sent.
    r.fresh_connection = true;
    start(std::move(r), [done = std::move(done)](const auto& result)
          { done(run_result_of(result)); });
}

void call_runner::start(net::client_request request,
                        std::function<void(const net::client_result&)> done)
{
    ++open_;
    net::client_hooks hooks;
    hooks.done = [self = weak_from_this(),
                  done = std::move(done)](const net::client_result& result)
    {
        const auto runner = self.lock();
        if (!runner)
            return;
        --runner->open_;
        done(result);
    };
    client_.start(std::move(request), std::move(hooks));
}

fb::call_resultT refused_call(fb::refusal why, const std::string& message)
{
    fb::call_resultT r;
    r.state = fb::call_state::not_run;
    r.refusal = why;
    r.message = message;
    r.retry_after_us = static_cast<std::uint64_t>(refused_retry.count());
    return r;
}

ledger::call to_ledger_call(const fb::callT& call, const service_id& service)
{
    ledger::call c;
    c.key = {service, tenant_id(call.tenant),
             idempotency_key(call.idempotency_key)};
    c.method = call.method;
    c.target = call.path;
    c.headers = from_wire(call.headers);
    c.body = text_of(call.body);
    c.take_over = call.take_over;
    c.time_left = duration(static_cast<std::int64_t>(std::min<std::uint64_t>(
        call.deadline_us, duration(std::chrono::hours(1)).count())));
    return c;
}

fb::call_resultT to_call_result(const ledger::call_answer& answer)
{
    fb::call_resultT r;
    r.state = state_of(answer.state);
    r.refusal = refusal_of(answer.cause);
    r.owner_address = answer.owner_address;
    r.status = answer.content.status;
    r.headers = to_wire(answer.content.headers);
    r.body = bytes_of(answer.content.body);
    r.body_dropped = answer.content.body_dropped;
    if (r.state != fb::call_state::done)
        r.retry_after_us = static_cast<std::uint64_t>(refused_retry.count());
    return r;
}

fb::outcome_reportT to_wire(const ledger::call_record& record)
{
    fb::outcome_reportT r;
    r.service = record.call.service.value;
    r.shard = ledger::shard_of(record.call);
    r.tenant = record.call.tenant.value;
    r.idempotency_key = record.call.key.value;
    r.body_digest = record.body_digest;
    r.status = record.answer.status;
    r.headers = to_wire(record.answer.headers);
    r.body = bytes_of(record.answer.body);
    r.body_dropped = record.answer.body_dropped;
    return r;
}

ledger::call_record from_wire(const fb::outcome_reportT& report)
{
    ledger::call_record r;
    r.call = {service_id(report.service), tenant_id(report.tenant),
              idempotency_key(report.idempotency_key)};
    r.body_digest = report.body_digest;
    r.recorded_at = unix_seconds();
    r.state = ledger::record_state::done;
    r.answer = ledger::make_stored_answer(
        report.status, from_wire(report.headers), text_of(report.body));
    r.answer.body_dropped = r.answer.body_dropped || report.body_dropped;
    return r;
}

} // namespace poplar::agent
