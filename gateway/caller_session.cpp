#include "gateway/caller_session.hpp"

#include "gateway/interval_timer.hpp"
#include "observe/log.hpp"
#include "platform/wire.hpp"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <poll.h>
#include <sys/socket.h>

namespace poplar::gateway
{

namespace
{

using observe::event;

/// While a request is being served, bytes of pipelined requests are buffered
/// until this number is reached; the last read may exceed it.
constexpr std::size_t max_read_ahead = 32 << 10;
constexpr std::size_t read_size = 4 << 10; // bytes
/// Interval of checks of a connection that was idle for too long and on which
/// a request is arriving.
constexpr duration idle_check_interval = std::chrono::milliseconds(100);
/// Timeout of one write to a caller that does not read; also of data that the
/// kernel has taken and the caller has not acknowledged.
constexpr duration write_timeout = std::chrono::seconds(10);
/// Maximum time for which a connection is kept after its last answer, until the
/// caller closes its side.
constexpr duration max_close_wait = std::chrono::seconds(2);
constexpr duration close_check_interval = std::chrono::milliseconds(10);
/// Maximum size of the rest of a refused request that is read and dropped.
constexpr std::size_t max_discarded_bytes = 16 << 20;
/// Callers that are refused because of a memory limit are asked to wait so
/// long; a body is received within a few seconds.
constexpr duration memory_retry_delay = std::chrono::seconds(1);

asio::redirect_error_t<asio::use_awaitable_t<>> redirect_to(error_code& ec)
{
    return asio::redirect_error(asio::use_awaitable, ec);
}

/// True once the caller has closed its side, also while bytes are unread.
bool has_closed(asio::ip::tcp::socket& socket)
{
    pollfd p{socket.native_handle(), POLLRDHUP, 0};
    return poll(&p, 1, 0) != 0;
}

/// False when the length of the body is ambiguous. Such requests are refused
/// because they allow request smuggling: what one side parses as a body, the
/// other may parse as a request.
bool has_unambiguous_length(
    const http::request_parser<http::string_body>& parser)
{
    const auto& fields = parser.get();
    const auto encodings = fields.count(http::field::transfer_encoding);
    if (encodings == 0)
        return fields.count(http::field::content_length) <= 1;
    return encodings == 1 && parser.chunked() &&
           fields.count(http::field::content_length) == 0 &&
           beast::iequals(fields[http::field::transfer_encoding], "chunked");
}

} // namespace

caller_session::caller_session(gateway_state& state,
                               asio::ip::tcp::socket socket)
    : state_(state), stream_(std::move(socket)),
      reader_(stream_, [this] { update_memory(); }),
      memory_(state.memory.add([this] { end_for_memory(); }))
{
}

caller_session::~caller_session()
{
    state_.memory.remove(memory_);
}

caller_limits caller_session::limits() const
{
    return state_.current_routing ? state_.current_routing->config.limits
                                  : caller_limits{};
}

void caller_session::update_memory()
{
    if (is_over_memory_)
        return;
    caller_bytes held;
    held.body = exchange_ ? forwarded_body_ : reader_.body_bytes();
    held.unparsed = reader_.unparsed_bytes();
    held.unread = unread_;
    held.is_forwarded = exchange_ != nullptr;
    state_.memory.set(memory_, held, state_.settings.limits);
}

void caller_session::set_unread(std::size_t bytes)
{
    unread_ = bytes;
    update_memory();
}

void caller_session::end_for_memory()
{
    is_over_memory_ = true;
    if (exchange_)
        return close();
    reader_.drop();
    stream_.cancel();
}

void caller_session::close()
{
    is_failed_ = true;
    if (exchange_)
        exchange_->on_caller_disconnected();
    stream_.close();
}

bool caller_session::is_idle()
{
    if (!stream_.socket().is_open())
        return !is_busy_;
    return !is_busy_ && !has_pending_input(stream_.socket()) &&
           !(is_closing_ &&
             net::has_unacknowledged_output(stream_.socket().native_handle()));
}

void caller_session::end_request()
{
    if (exchange_)
        exchange_->end_for_shutdown();
}

asio::awaitable<void> caller_session::run()
{
    const auto self = shared_from_this();
    set_socket_options(stream_.socket());
    net::set_unacknowledged_limit(stream_.socket().native_handle(),
                                  write_timeout);
    while (keep_alive_ && !is_failed_)
    {
        if (!co_await wait_for_request())
            break;
        is_busy_ = true;
        if (!co_await read_request())
            break;
        co_await serve_request();
        ++served_requests_;
        is_busy_ = reader_.unparsed_bytes() > 0;
    }
    error_code ec;
    ec = stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    if (!ec && !is_failed_)
        co_await close_after_caller();
    stream_.close();
}

asio::awaitable<void> caller_session::close_after_caller()
{
    is_closing_ = true;
    const mono_time began = now();
    std::size_t discarded = 0;
    asio::steady_timer timer(state_.loop);
    while (stream_.socket().is_open() && now() - began < max_close_wait &&
           discarded < max_discarded_bytes)
    {
        const bool is_last = has_closed(stream_.socket());
        if (discards_input_)
            discarded += discard_input();
        if (is_last)
            co_return;
        if (discards_input_)
        {
            co_await wait_until_readable(began + max_close_wait - now());
            continue;
        }
        timer.expires_after(close_check_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

/// A caller that was refused may connect again at once, so that its connection
/// must not stay open until the next check.
asio::awaitable<void> caller_session::wait_until_readable(duration limit)
{
    interval_timer timer(state_.loop,
                         [this]
                         {
                             error_code ec;
                             ec = stream_.socket().cancel(ec);
                             return close_check_interval;
                         });
    timer.start(limit);
    error_code ec;
    co_await stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                         redirect_to(ec));
}

std::size_t caller_session::discard_input()
{
    std::array<char, 64 << 10> buf{};
    std::size_t discarded = 0;
    ssize_t n = 0;
    while (discarded < max_discarded_bytes &&
           (n = recv(stream_.socket().native_handle(), buf.data(), buf.size(),
                     MSG_DONTWAIT)) > 0)
        discarded += std::size_t(n);
    return discarded;
}

/// Waits for the first byte of a request, which starts its deadline; false when
/// the connection ended or timed out.
asio::awaitable<bool> caller_session::wait_for_request()
{
    if (reader_.unparsed_bytes() == 0)
    {
        const mono_time idle_since = now();
        interval_timer timer(state_.loop, [this, idle_since]
                             { return end_when_idle(idle_since); });
        timer.start(idle_timeout());
        error_code ec;
        co_await stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                             redirect_to(ec));
        if (ec)
            co_return false;
    }
    received_at_ = now();
    co_return true;
}

duration caller_session::idle_timeout() const
{
    const caller_limits l = limits();
    return served_requests_ == 0 ? l.header_timeout : l.idle_timeout;
}

/// Ends the wait for a request if the timeout of the current configuration has
/// passed and no request has arrived; returns the time until the next check.
duration caller_session::end_when_idle(mono_time idle_since)
{
    const duration idle = now() - idle_since;
    const duration timeout = idle_timeout();
    if (idle < timeout)
        return timeout - idle;
    error_code ec; // Not possible once the socket is closed, which ends it too.
    if (!has_pending_input(stream_.socket()))
        ec = stream_.socket().cancel(ec);
    return idle_check_interval;
}

asio::awaitable<bool> caller_session::read_request()
{
    const caller_limits l = limits();
    reader_.begin(l.header_bytes, l.body_bytes,
                  std::size_t(state_.settings.limits.max_unparsed_bytes.value));
    stream_.expires_after(l.header_timeout);
    error_code ec = co_await reader_.read_head();
    if (!ec && !has_unambiguous_length(reader_.parser()))
        ec = http::error::bad_transfer_encoding;
    if (!ec && reader_.parser().get().count(http::field::host) != 1)
        ec = http::error::bad_field;
    if (!ec && !is_over_memory_)
        co_return co_await read_body();
    co_await refuse_unread(ec);
    co_return false;
}

asio::awaitable<void> caller_session::refuse_unread(error_code ec)
{
    if (is_over_memory_)
        co_await refuse_request(503);
    else if (ec == http::error::header_limit ||
             ec == http::error::buffer_overflow)
        co_await refuse_request(431);
    else if (ec == http::error::body_limit)
        co_await refuse_request(413);
    else if (ec.category() ==
             make_error_code(http::error::bad_field).category())
        co_await refuse_request(400);
    else
        log_unread_request(ec);
}

void caller_session::log_unread_request(const error_code& ec) const
{
    if (!reader_.parser().got_some())
        return;
    observe::log(event::gateway_caller_refused, {{"status", 0},
                                                 {"served", served_requests_},
                                                 {"reason", ec.message()}});
}

asio::awaitable<bool> caller_session::read_body()
{
    const caller_limits l = limits();
    const auto& parser = reader_.parser();
    const std::size_t expected = parser.content_length().value_or(0);
    const auto capacity =
        std::size_t(state_.settings.limits.max_body_bytes.value);
    if (state_.body_bytes + expected > capacity)
    {
        co_await refuse_request(503);
        co_return false;
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
    {
        constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
        error_code ec;
        co_await asio::async_write(
            stream_, asio::buffer(text.data(), text.size()), redirect_to(ec));
    }
    stream_.expires_after(l.header_timeout);
    const error_code ec = co_await reader_.read_body();
    if (!ec && !is_over_memory_)
        co_return true;
    co_await refuse_unread(ec);
    co_return false;
}

asio::awaitable<void> caller_session::refuse_request(unsigned status)
{
    keep_alive_ = false;
    discards_input_ = true;
    observe::log(event::gateway_caller_refused,
                 {{"status", status}, {"served", served_requests_}});
    const gateway::request_info info =
        platform::decode_request(reader_.parser().get());
    reader_.drop();
    update_memory();
    if (status == 503)
        co_await send(
            platform::make_refusal(status, info.id, memory_retry_delay), "");
    else
        co_await send(platform::make_failure(status, info.id), "");
}

asio::awaitable<void> caller_session::serve_request()
{
    auto message = reader_.release();
    keep_alive_ = message.keep_alive();
    caller_request request;
    request.body =
        std::make_shared<const std::string>(std::move(message.body()));
    request.head = std::move(message.base());
    request.received = received_at_;
    stream_.expires_never();
    forwarded_body_ = request.body->size();
    exchange e(state_, std::move(request), *this);
    exchange_ = &e;
    update_memory();
    watch_caller();
    try
    {
        co_await e.run();
    }
    catch (const std::exception& ec)
    {
        observe::log(event::gateway_request_aborted, {{"reason", ec.what()}});
        abort();
    }
    exchange_ = nullptr;
    update_memory();
    ++watch_generation_;
    error_code ec;
    ec = stream_.socket().cancel(ec);
}

void caller_session::watch_caller()
{
    if (!stream_.socket().is_open())
        return;
    stream_.socket().async_wait(
        asio::ip::tcp::socket::wait_read,
        [self = shared_from_this(),
         generation = ++watch_generation_](const error_code& ec)
        { self->on_caller_readable(ec, generation); });
}

void caller_session::on_caller_readable(const error_code& ec,
                                        unsigned generation)
{
    if (ec || generation != watch_generation_ || !exchange_)
        return;
    const auto n = reader_.read_ahead(read_size);
    const bool would_block = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (n <= 0 && !would_block)
    {
        is_failed_ = true;
        return exchange_->on_caller_disconnected();
    }
    if (reader_.unparsed_bytes() < max_read_ahead)
        watch_caller();
    update_memory();
}

/// A request that has been sent behind the current one gets an answer first.
bool caller_session::must_close()
{
    return state_.is_draining && reader_.unparsed_bytes() == 0 &&
           !has_pending_input(stream_.socket());
}

asio::awaitable<void> caller_session::send(answer_head head, std::string body)
{
    keep_alive_ = keep_alive_ && !must_close();
    http::response<http::string_body> message(std::move(head));
    message.body() = std::move(body);
    message.keep_alive(keep_alive_);
    message.prepare_payload();
    stream_.expires_after(write_timeout);
    set_unread(message.body().size());
    error_code ec;
    co_await http::async_write(stream_, message, redirect_to(ec));
    set_unread(0);
    is_failed_ = is_failed_ || ec;
    stream_.expires_never();
}

asio::awaitable<void> caller_session::begin(answer_head head)
{
    keep_alive_ = keep_alive_ && !must_close();
    http::response<http::empty_body> message(std::move(head));
    message.chunked(true);
    message.keep_alive(keep_alive_);
    http::response_serializer<http::empty_body> serializer(message);
    stream_.expires_after(write_timeout);
    error_code ec;
    co_await http::async_write_header(stream_, serializer, redirect_to(ec));
    is_failed_ = is_failed_ || ec;
}

asio::awaitable<void> caller_session::write(std::string_view piece)
{
    if (is_failed_)
        co_return;
    stream_.expires_after(write_timeout);
    error_code ec;
    const asio::const_buffer bytes(piece.data(), piece.size());
    set_unread(piece.size());
    co_await asio::async_write(stream_, http::make_chunk(bytes),
                               redirect_to(ec));
    set_unread(0);
    is_failed_ = is_failed_ || ec;
}

asio::awaitable<void> caller_session::end()
{
    if (is_failed_)
        co_return;
    error_code ec;
    co_await asio::async_write(stream_, http::make_chunk_last(),
                               redirect_to(ec));
    is_failed_ = is_failed_ || ec;
    stream_.expires_never();
}

void caller_session::abort()
{
    is_failed_ = true;
    stream_.close();
}

} // namespace poplar::gateway
