#include "gateway/upstream_call.hpp"

#include "gateway/outgoing_request.hpp"
#include "net/answer_lines.hpp"
#include "platform/wire.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/read.hpp>
#include <cerrno>
#include <limits>
#include <sys/socket.h>
#include <utility>

namespace poplar::gateway
{

namespace
{

/// Number of interim (1xx) answers and answers to other requests that are
/// skipped before the call counts as broken.
constexpr unsigned max_skipped_answers = 3;
constexpr std::size_t read_size = 8 << 10;           // bytes
constexpr std::size_t max_head_read_size = 64 << 10; // bytes
/// Size limit of a skipped answer, which may be endless.
constexpr std::size_t max_skipped_bytes = 256 << 10;
constexpr std::uint32_t max_head_size = 16 << 10; // bytes

} // namespace

std::string to_string(call_status status)
{
    switch (status)
    {
    case call_status::ok:
        return "ok";
    case call_status::not_connected:
        return "not_connected";
    case call_status::broken:
        return "broken";
    case call_status::stalled:
        return "stalled";
    case call_status::timed_out:
        return "timed_out";
    case call_status::canceled:
        return "canceled";
    case call_status::interrupted:
        return "interrupted";
    }
    return "unknown";
}

upstream_call::upstream_call(connection_pool& pool, call_request request)
    : pool_(pool), request_(std::move(request)),
      deadline_(now() + request_.timeout),
      delivery_timer_(pool.context(), [this] { return check_delivery(); })
{
}

upstream_call::~upstream_call()
{
    if (connection_ && is_reusable())
    {
        connection_->idle_timeout = info_.keep_alive.value_or(duration::zero());
        if (info_.not_executed)
            connection_->refused.push_back(request_.id);
        pool_.release(std::move(connection_), now());
    }
    else if (connection_)
        close_connection();
}

bool upstream_call::may_be_late_answer() const
{
    return info_.id.empty() &&
           (connection_->requests > 0 || has_foreign_answer_);
}

/// A connection is closed if the answer may belong to another request: its own
/// answer would then be left for the next call.
bool upstream_call::is_reusable() const
{
    return is_complete_ && outgoing_->is_written && parser_->keep_alive() &&
           connection_->buffer.size() == 0 && info_.id == request_.id &&
           !may_be_late_answer() && !has_foreign_answer_;
}

void upstream_call::cancel()
{
    is_canceled_ = true;
    if (connection_)
        close_connection();
}

void upstream_call::give_up_stalled()
{
    is_stalled_ = true;
    if (connection_)
        close_connection();
}

/// The stream's timer runs on another clock than `now`, which goes on while the
/// machine is suspended; only durations may be passed between them.
duration upstream_call::time_left() const
{
    return std::max<duration>(deadline_ - now(), std::chrono::milliseconds(1));
}

bool upstream_call::interrupt()
{
    if (!connection_ || !outgoing_ || !outgoing_->is_written)
        return false;
    is_interrupted_ = true;
    connection_->stream.cancel();
    return true;
}

void upstream_call::notify_when_readable(std::function<void()> on_readable)
{
    connection_->stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read,
        [f = std::move(on_readable)](const error_code& ec)
        {
            if (!ec)
                f();
        });
}

call_status upstream_call::status_of(const error_code& ec)
{
    failure_ = is_undelivered_ ? asio::error::timed_out : ec;
    if (is_canceled_)
        return call_status::canceled;
    if (!ec)
        return call_status::ok;
    if (is_stalled_)
        return call_status::stalled;
    return ec == beast::error::timeout ? call_status::timed_out
                                       : call_status::broken;
}

asio::awaitable<call_status> upstream_call::start()
{
    const call_status connected = co_await connect();
    if (connected != call_status::ok)
        co_return connected;
    if (request_.hooks.may_send && !request_.hooks.may_send())
    {
        failure_ = asio::error::operation_not_supported;
        co_return call_status::not_connected;
    }
    connection_->stream.expires_after(time_left());
    send();
    for (unsigned n = 0; n <= max_skipped_answers; ++n)
    {
        const call_status status = co_await read_head();
        if (status != call_status::ok)
            co_return status;
        const bool is_interim = head().result_int() < 200;
        const bool is_for_other_request =
            !info_.id.empty() && info_.id != request_.id;
        if (!is_interim && !request_.id.empty() && may_be_late_answer())
            co_return call_status::broken;
        if (!is_interim && !is_for_other_request)
            co_return call_status::ok;
        has_foreign_answer_ = has_foreign_answer_ || !is_interim;
        const call_status skipped = co_await skip_body();
        if (skipped != call_status::ok)
            co_return skipped;
    }
    co_return call_status::broken;
}

asio::awaitable<call_status> upstream_call::connect()
{
    if (!request_.needs_new_connection)
        connection_ = pool_.acquire(request_.id, request_.max_idle, now());
    if (connection_)
        co_return call_status::ok;
    error_code ec;
    const duration timeout =
        std::min(request_.connect_timeout, request_.timeout);
    connection_ = co_await pool_.connect(timeout, ec);
    if (is_canceled_)
        co_return call_status::canceled;
    failure_ = ec;
    if (is_stalled_)
        co_return call_status::not_connected;
    co_return ec ? call_status::not_connected : call_status::ok;
}

/// The kernel would go on sending after the call has ended.
void upstream_call::close_connection()
{
    const int socket = connection_->stream.socket().native_handle();
    if (net::has_unacknowledged_output(socket))
        net::discard_output_on_close(socket);
    connection_->stream.close();
}

asio::awaitable<call_status> upstream_call::read_head()
{
    parser_.emplace();
    is_complete_ = false;
    parser_->header_limit(max_head_size);
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    if (outgoing_->message.method() == http::verb::head)
        parser_->skip(true);
    const error_code ec = co_await receive_head();
    const call_status status = status_of(ec);
    if (status == call_status::ok)
    {
        info_ = platform::decode_answer(parser_->get());
        is_complete_ = parser_->is_done();
        const bool is_own = !info_.id.empty() && info_.id == request_.id;
        if (request_.hooks.on_answer_head)
            request_.hooks.on_answer_head(
                info_, is_own ? std::optional(sent_at_) : std::nullopt);
    }
    co_return status;
}

asio::awaitable<error_code> upstream_call::receive_head()
{
    beast::flat_buffer& buffer = connection_->buffer;
    error_code ec = parse_head();
    while (ec == http::error::need_more)
    {
        const std::size_t size = beast::read_size(buffer, max_head_read_size);
        if (size == 0)
            co_return http::error::buffer_overflow;
        ec = {};
        const std::size_t n = co_await connection_->stream.async_read_some(
            buffer.prepare(size),
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::eof)
            co_return http::error::partial_message;
        if (ec)
            co_return ec;
        buffer.commit(n);
        ec = parse_head();
    }
    co_return ec;
}

/// Returns `need_more` while the buffer does not hold the whole head.
error_code upstream_call::parse_head()
{
    beast::flat_buffer& buffer = connection_->buffer;
    if (buffer.size() == 0)
        return http::error::need_more;
    error_code ec;
    const asio::const_buffer received = buffer.data();
    const std::size_t n = parser_->put(received, ec);
    if (!ec)
        rejection_ = net::find_head_fault(
            {static_cast<const char*>(received.data()), n});
    buffer.consume(n);
    return rejection_.empty() ? ec : http::error::bad_value;
}

asio::awaitable<call_status> upstream_call::skip_body()
{
    std::string body;
    bool is_end = is_complete_;
    for (std::size_t skipped = 0; !is_end; skipped += body.size())
    {
        body.clear();
        const call_status status = co_await read_some(body, is_end);
        if (status != call_status::ok)
            co_return status;
        if (skipped > max_skipped_bytes)
            co_return call_status::broken;
    }
    co_return call_status::ok;
}

const answer_head& upstream_call::head() const
{
    return parser_->get();
}

std::optional<std::uint64_t> upstream_call::body_length() const
{
    const auto n = parser_->content_length();
    return n ? std::optional<std::uint64_t>(*n) : std::nullopt;
}

asio::awaitable<call_status> upstream_call::read_some(std::string& body,
                                                      bool& is_end)
{
    is_end = parser_->is_done();
    if (is_end)
        co_return call_status::ok;
    connection_->stream.expires_after(time_left());
    const std::size_t before = body.size();
    body.resize(before + read_size);
    auto& buffer = parser_->get().body();
    buffer.data = body.data() + before;
    buffer.size = read_size;
    buffer.more = true;
    error_code ec;
    co_await http::async_read_some(
        connection_->stream, connection_->buffer, *parser_,
        asio::redirect_error(asio::use_awaitable, ec));
    body.resize(body.size() - parser_->get().body().size);
    if (ec == http::error::need_buffer)
        ec = {};
    if (std::exchange(is_interrupted_, false) &&
        ec == asio::error::operation_aborted && !is_given_up())
        co_return call_status::interrupted;
    is_end = !ec && parser_->is_done();
    if (is_end && may_be_reset())
    {
        ec = asio::error::connection_reset;
        is_end = false;
    }
    is_complete_ = is_end;
    co_return status_of(ec);
}

/// The kernel reports a reset once, to a write in progress rather than to the
/// read, which then sees an orderly end. A write after an orderly end reports a
/// broken pipe, also if a reset followed.
bool upstream_call::may_be_reset() const
{
    return parser_->need_eof() && !outgoing_->is_written &&
           outgoing_->failure != asio::error::broken_pipe &&
           !net::is_closed_by_peer(
               connection_->stream.socket().native_handle());
}

call_status upstream_call::read_available(std::string& body, bool& is_end)
{
    error_code ec = receive_available();
    if (!ec)
        ec = parse_received(body);
    is_end = !ec && parser_->is_done();
    is_complete_ = is_end;
    return status_of(ec);
}

/// `prepare` throws beyond the limit of the buffer, which nothing catches
/// outside of a coroutine.
error_code upstream_call::receive_available()
{
    beast::flat_buffer& buffer = connection_->buffer;
    const std::size_t space = buffer.max_size() - buffer.size();
    if (space == 0)
        return http::error::buffer_overflow;
    error_code ec;
    const auto to = buffer.prepare(std::min(space, read_size));
    const auto n = recv(connection_->stream.socket().native_handle(), to.data(),
                        to.size(), MSG_DONTWAIT);
    if (n > 0)
        buffer.commit(std::size_t(n));
    else if (n == 0)
        parser_->put_eof(ec);
    else if (errno != EAGAIN && errno != EWOULDBLOCK)
        ec.assign(errno, boost::system::system_category());
    return ec;
}

error_code upstream_call::parse_received(std::string& body)
{
    error_code ec;
    auto& buffer = connection_->buffer;
    while (!ec && buffer.size() > 0 && !parser_->is_done())
    {
        const std::size_t before = body.size();
        body.resize(before + read_size);
        auto& target = parser_->get().body();
        target.data = body.data() + before;
        target.size = read_size;
        target.more = true;
        buffer.consume(parser_->put(buffer.data(), ec));
        body.resize(body.size() - target.size);
        if (ec == http::error::need_buffer)
            ec = {};
    }
    return ec == http::error::need_more ? error_code() : ec;
}

asio::awaitable<call_status> upstream_call::read_all(std::string& body,
                                                     std::size_t max_size)
{
    bool is_end = is_complete_;
    while (!is_end)
    {
        const call_status status = co_await read_some(body, is_end);
        if (status != call_status::ok)
            co_return status;
        if (body.size() > max_size)
            co_return call_status::broken;
    }
    co_return call_status::ok;
}

} // namespace poplar::gateway
