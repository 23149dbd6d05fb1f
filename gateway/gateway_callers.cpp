#include "gateway/gateway.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace poplar::gateway
{

asio::awaitable<void> gateway::accept_callers()
{
    while (callers_.is_open())
    {
        error_code ec;
        asio::ip::tcp::socket socket = co_await callers_.async_accept(
            asio::redirect_error(asio::use_awaitable, ec));
        if (!ec && sessions_.size() < state_.settings.limits.max_callers)
        {
            begin_session(std::move(socket));
            continue;
        }
        if (!callers_.is_open())
            co_return;
        // Not passed as a conditional expression: GCC 12 destroys temporaries
        // in a conditional operand of co_await twice.
        const std::string reason = ec ? ec.message() : "too many callers";
        co_await pause_accepting(loop_.get_executor(), reason);
    }
}

void gateway::begin_session(asio::ip::tcp::socket socket)
{
    const auto session =
        std::make_shared<caller_session>(state_, std::move(socket));
    sessions_.insert(session);
    asio::co_spawn(loop_, serve(session), asio::detached);
}

asio::awaitable<void> gateway::serve(std::shared_ptr<caller_session> session)
{
    co_await session->run();
    sessions_.erase(session);
}

} // namespace poplar::gateway
