#include "gateway/status_server.hpp"

#include "base/error.hpp"
#include "gateway/loop_guard.hpp"
#include "observe/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <list>
#include <memory>

namespace poplar::gateway
{

namespace
{

namespace http = beast::http;

/// Timeout for receiving a request, including the idle time before it, and for
/// sending its answer.
constexpr duration idle_timeout = std::chrono::seconds(10);
/// Delay after a failed accept, for example when file descriptors run out.
constexpr duration accept_retry_delay = std::chrono::milliseconds(50);

/// Bytes of one connection that are received and not parsed; heads are limited
/// to 8 KiB by Beast, trailers and chunk extensions have no other limit.
constexpr std::size_t max_unparsed_bytes = 16 << 10;

/// Open connections of one port, the oldest first.
using connections = std::list<beast::tcp_stream>;

asio::awaitable<void> serve_requests(beast::tcp_stream& stream,
                                     const status_handler& handler)
{
    beast::flat_buffer buffer(max_unparsed_bytes);
    bool keep_alive = true;
    while (keep_alive)
    {
        stream.expires_after(idle_timeout);
        http::request<http::empty_body> request;
        error_code ec;
        co_await http::async_read(
            stream, buffer, request,
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            break;
        std::string path(request.target().data(), request.target().size());
        path.resize(std::min(path.size(), path.find('?')));
        status_answer answer = handler(path);
        http::response<http::string_body> response(
            http::int_to_status(answer.status), 11);
        response.body() = std::move(answer.body);
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        keep_alive = request.keep_alive();
        co_await http::async_write(
            stream, response, asio::redirect_error(asio::use_awaitable, ec));
        keep_alive = keep_alive && !ec;
    }
}

/// Both references belong to coroutines that end with the loop.
asio::awaitable<void> serve_connection(std::shared_ptr<connections> open,
                                       connections::iterator stream,
                                       const status_handler& handler)
{
    try
    {
        co_await serve_requests(*stream, handler);
    }
    catch (const std::exception& ec)
    {
        observe::log(observe::event::gateway_request_aborted,
                     {{"reason", ec.what()}});
    }
    open->erase(stream);
}

} // namespace

asio::ip::tcp::acceptor listen_at(asio::io_context& loop,
                                  const ip_address& address)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host),
                                           address.port);
    try
    {
        return asio::ip::tcp::acceptor(loop, endpoint);
    }
    catch (const boost::system::system_error& ec)
    {
        throw system_failure("listen on " + to_string(address),
                             ec.code().value());
    }
}

ip_address address_of(const asio::ip::tcp::acceptor& acceptor)
{
    const auto endpoint = acceptor.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

asio::awaitable<void> pause_accepting(asio::any_io_executor executor,
                                      const std::string& reason)
{
    observe::log(observe::event::gateway_accept_failed, {{"reason", reason}});
    asio::steady_timer timer(executor, accept_retry_delay);
    error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> serve_status(asio::ip::tcp::acceptor& acceptor,
                                   const status_server_hooks& hooks)
{
    const auto open = std::make_shared<connections>();
    while (acceptor.is_open())
    {
        error_code ec;
        asio::ip::tcp::socket socket = co_await acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
        {
            co_await pause_accepting(acceptor.get_executor(), ec.message());
            continue;
        }
        if (open->size() >= hooks.max_connections())
        {
            // It is erased when its coroutine has ended; the next accept may
            // find it once more, which bounds the excess to one.
            open->front().close();
            hooks.on_connection_closed();
            co_await asio::post(acceptor.get_executor(), asio::use_awaitable);
        }
        const auto stream = open->emplace(open->end(), std::move(socket));
        asio::co_spawn(acceptor.get_executor(),
                       serve_connection(open, stream, hooks.answer),
                       log_failure("serve_status"));
    }
}

} // namespace poplar::gateway
