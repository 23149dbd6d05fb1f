// Client account of a request: key, rank and usage.
#include "gateway/exchange.hpp"

#include <algorithm>

namespace poplar::gateway
{

bool exchange::find_account()
{
    if (!routing_->accounts)
        return true;
    if (info_.key)
        account_ = routing_->accounts->table.find(*info_.key);
    return account_ || route_->is_public;
}

/// A caller does not retry after 401, so the key must be certainly unknown.
asio::awaitable<void> exchange::refuse_unknown_key()
{
    if (info_.key && !state_.is_configuration_confirmed())
        co_return co_await refuse("unconfirmed_key");
    co_await reject(401, info_.key ? "unknown_key" : "no_key");
}

unsigned exchange::priority() const
{
    if (!routing_->accounts)
        return std::min(route_->priority, engine_priority_count - 1);
    const auto of_account = account_ ? account_->priority : std::nullopt;
    return unsigned(
        routing_->accounts->engine_ranks.rank(of_account, route_->priority));
}

std::size_t exchange::rank() const
{
    if (!routing_->accounts)
        return policy::load_rank(route_->priority);
    const auto of_account = account_ ? account_->priority : std::nullopt;
    return routing_->accounts->load_ranks.rank(of_account, route_->priority);
}

void exchange::count_usage(mono_time began)
{
    if (!account_ || is_usage_counted_)
        return;
    is_usage_counted_ = true;
    state_.usage.count(account_->name, began);
}

void exchange::count_call(attempt_result result, mono_time sent)
{
    switch (result)
    {
    case attempt_result::answered:
    case attempt_result::answered_error:
        // The upstream began at some time between the two.
        return count_usage(sent + (now() - sent) / 2);
    case attempt_result::lost:
    case attempt_result::stalled:
    case attempt_result::timed_out:
        return count_usage(sent);
    case attempt_result::not_sent:
    case attempt_result::not_run:
        return;
    }
}

} // namespace poplar::gateway
