/// Reads requests of one connection with a limit on what is not parsed yet.
#pragma once

#include "gateway/connections.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <optional>

namespace poplar::gateway
{

namespace http = beast::http;

/// Heads, chunk-size lines with their extensions, and trailers are parsed as a
/// whole, so that they need a limit of their own. Used on the gateway's loop.
class request_reader
{
public:
    using parser_type = http::request_parser<http::string_body>;

    /// `on_change` is called whenever the number of bytes held has grown.
    request_reader(beast::tcp_stream& stream, std::function<void()> on_change)
        : stream_(stream), on_change_(std::move(on_change))
    {
    }

    /// Starts a request with these limits in bytes. `unparsed` is raised where
    /// the longest head needs more.
    void begin(std::size_t header, std::uint64_t body, std::size_t unparsed);
    /// Both end with http::error::buffer_overflow when a part of the request is
    /// longer than the limit of unparsed bytes, and with operation_aborted when
    /// the bytes were dropped meanwhile.
    asio::awaitable<error_code> read_head();
    asio::awaitable<error_code> read_body();

    parser_type& parser()
    {
        return *parser_;
    }
    const parser_type& parser() const
    {
        return *parser_;
    }
    /// Ends the request and hands it over.
    http::request<http::string_body> release();
    /// Frees all bytes received; the request can no longer be read.
    void drop();

    /// Reads what is available behind the current request, at most `size`
    /// bytes; returns the result of recv().
    ssize_t read_ahead(std::size_t size);
    std::size_t unparsed_bytes() const
    {
        return buffer_.size();
    }
    std::size_t body_bytes() const
    {
        return parser_ ? parser_->get().body().size() : 0;
    }

private:
    /// Parses what has been received; false if more is needed.
    bool parse(bool only_head, error_code& ec);
    bool is_complete(bool only_head) const;
    asio::awaitable<error_code> read_until(bool only_head);

    beast::tcp_stream& stream_;
    const std::function<void()> on_change_;
    beast::flat_buffer buffer_;
    std::optional<parser_type> parser_;
    bool is_dropped_ = false;
};

} // namespace poplar::gateway
