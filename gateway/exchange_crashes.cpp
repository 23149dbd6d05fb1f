// Requests that crash the upstreams which run them.
#include "base/digest.hpp"
#include "gateway/exchange.hpp"

#include <boost/asio/use_awaitable.hpp>

namespace poplar::gateway
{

namespace
{

/// Crashes of different upstreams that a sound request hardly ever meets.
constexpr std::size_t min_suspect_crashes = 2;

std::uint64_t add_to_digest(boost::beast::string_view text, std::uint64_t seed)
{
    return digest({text.data(), text.size()}, seed);
}

} // namespace

/// The same for each repetition of the request, by any gateway and process:
/// what an upstream runs, without what differs between attempts.
std::uint64_t exchange::make_fingerprint() const
{
    std::uint64_t d = add_to_digest(request_.head.method_string(), 0);
    d = add_to_digest(request_.head[http::field::host], d);
    d = add_to_digest(request_.head.target(), d);
    if (account_)
        d = digest(account_->name.value, d);
    for (const policy::prefix_block& it : blocks_)
        d = digest("block", d ^ it.digest);
    return digest(*request_.body, d);
}

void exchange::limit_attempts_of_suspect()
{
    if (state_.upstreams.fatal_requests().crash_count(fingerprint_) >=
        min_suspect_crashes)
        history_.max_executions = 1;
}

crash_suspects exchange::suspects() const
{
    return {fingerprint_, shared_digests_};
}

std::optional<exchange::fatal_reason> exchange::fatal_hold() const
{
    const fleet& upstreams = state_.upstreams;
    if (const auto d = upstreams.fatal_requests().hold(fingerprint_, now()))
        return fatal_reason{"fatal_request", *d};
    if (const auto d = upstreams.fatal_blocks().refusal(shared_digests_, now()))
        return fatal_reason{"fatal_prompt", *d};
    return std::nullopt;
}

asio::awaitable<bool> exchange::refuse_if_fatal()
{
    const auto reason = fatal_hold();
    if (reason)
        co_await refuse(reason->name, reason->hold);
    co_return reason.has_value();
}

void exchange::note_broken_off(const upstream_ptr& u, attempt_result result,
                               bool keeps_connection)
{
    if (result == attempt_result::lost && !keeps_connection &&
        !caller_disconnected_)
        state_.upstreams.note_broken_off(u, suspects(), now());
}

void exchange::note_completed()
{
    state_.upstreams.note_completed(suspects(), now());
}

} // namespace poplar::gateway
