#include "gateway/gateway.hpp"
#include "gateway/loop_guard.hpp"
#include "observe/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace poplar::gateway
{

status_server_hooks gateway::make_status_hooks()
{
    status_server_hooks hooks;
    hooks.answer = [this](const std::string& path)
    {
        return answer_status(path);
    };
    hooks.max_connections = [this]
    {
        return std::size_t(state_.settings.limits.max_status_callers);
    };
    hooks.on_connection_closed = [this]
    {
        on_status_connection_closed();
    };
    return hooks;
}

void gateway::on_status_connection_closed()
{
    state_.metrics.record_ended_caller("max_status_callers");
    if (const auto n = status_log_.count(now()))
        observe::log(observe::event::gateway_status_callers_exceeded,
                     {{"connections", *n}});
}

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
    asio::co_spawn(loop_, serve(session), log_failure("serve_caller"));
}

asio::awaitable<void> gateway::serve(std::shared_ptr<caller_session> session)
{
    try
    {
        co_await session->run();
    }
    catch (const std::exception& ec)
    {
        observe::log(observe::event::gateway_request_aborted,
                     {{"reason", ec.what()}});
    }
    sessions_.erase(session);
}

} // namespace poplar::gateway
