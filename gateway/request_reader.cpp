#include "gateway/request_reader.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sys/socket.h>

namespace poplar::gateway
{

namespace
{

/// Sizes of one read, in bytes. Most requests arrive with their body in one.
constexpr std::size_t head_read_size = 4 << 10;
constexpr std::size_t body_read_size = 16 << 10;

} // namespace

void request_reader::begin(std::size_t header, std::uint64_t body,
                           std::size_t unparsed)
{
    parser_.emplace();
    parser_->header_limit(std::uint32_t(header));
    parser_->body_limit(body);
    buffer_.max_size(std::max(unparsed, header + head_read_size));
}

asio::awaitable<error_code> request_reader::read_head()
{
    parser_->eager(false);
    co_return co_await read_until(true);
}

asio::awaitable<error_code> request_reader::read_body()
{
    parser_->eager(true);
    co_return co_await read_until(false);
}

bool request_reader::is_complete(bool only_head) const
{
    return only_head ? parser_->is_header_done() : parser_->is_done();
}

bool request_reader::parse(bool only_head, error_code& ec)
{
    while (!ec && buffer_.size() > 0 && !is_complete(only_head))
    {
        const std::size_t used = parser_->put(buffer_.data(), ec);
        buffer_.consume(used);
        if (ec == http::error::need_more)
        {
            ec = {};
            return false;
        }
        if (used == 0 && !ec && !is_complete(only_head))
            return false;
    }
    return ec || is_complete(only_head);
}

asio::awaitable<error_code> request_reader::read_until(bool only_head)
{
    error_code ec;
    const std::size_t read_size = only_head ? head_read_size : body_read_size;
    while (!parse(only_head, ec))
    {
        const std::size_t space = buffer_.max_size() - buffer_.size();
        if (space == 0)
            co_return http::error::buffer_overflow;
        const auto to = buffer_.prepare(std::min(space, read_size));
        const std::size_t n = co_await stream_.async_read_some(
            to, asio::redirect_error(asio::use_awaitable, ec));
        if (is_dropped_)
            break;
        if (ec == asio::error::eof)
            co_return parser_->got_some() ? http::error::partial_message
                                          : http::error::end_of_stream;
        if (ec)
            co_return ec;
        buffer_.commit(n);
        on_change_();
        if (is_dropped_)
            break;
    }
    if (is_dropped_)
        ec = asio::error::operation_aborted;
    co_return ec;
}

http::request<http::string_body> request_reader::release()
{
    http::request<http::string_body> message = parser_->release();
    parser_.reset();
    if (buffer_.size() == 0)
        buffer_.shrink_to_fit();
    return message;
}

void request_reader::drop()
{
    is_dropped_ = true;
    // Assigning an empty string would keep the allocated memory.
    if (parser_)
        std::string().swap(parser_->get().body());
    buffer_.consume(buffer_.size());
    buffer_.shrink_to_fit();
}

ssize_t request_reader::read_ahead(std::size_t size)
{
    const std::size_t space = buffer_.max_size() - buffer_.size();
    const auto to = buffer_.prepare(std::min(space, size));
    const auto n = recv(stream_.socket().native_handle(), to.data(), to.size(),
                        MSG_DONTWAIT);
    if (n > 0)
        buffer_.commit(std::size_t(n));
    return n;
}

} // namespace poplar::gateway
