/// An HTTP request to one upstream, from the connection to the answer's end.
#pragma once

#include "gateway/connections.hpp"
#include "gateway/interval_timer.hpp"
#include "gateway/types.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <optional>
#include <string>

namespace poplar::gateway
{

namespace http = beast::http;

using request_head = http::request_header<http::fields>;
using answer_head = http::response_header<http::fields>;

/// Result of a call or of one of its steps.
enum class call_status
{
    ok,
    not_connected, ///< The request was certainly not sent.
    broken,        ///< Sent; the answer is missing, incomplete or invalid.
    stalled,       ///< Sent; given up for lack of progress.
    timed_out,     ///< Sent; the answer was not complete in time.
    canceled,      ///< Ended by `cancel`.
    interrupted    ///< The read was ended by `interrupt`; it may be repeated.
};

std::string to_string(call_status status);

/// Callbacks to the owner of the upstream; each may be empty.
struct call_hooks
{
    /// Called once connected; if it returns false, the request is not sent.
    std::function<bool()> may_send;
    /// Called with each answer head. `sent` is when the request was sent; it is
    /// empty for a late answer to another request.
    std::function<void(const answer_info&, std::optional<mono_time> sent)>
        on_answer_head;
};

struct outgoing_request;

/// A request to be sent by `upstream_call`.
struct call_request
{
    request_head head;
    /// Shared, since the write may outlive the call object.
    std::shared_ptr<const std::string> body;
    attempt_id id;
    duration timeout{};
    duration connect_timeout{std::chrono::milliseconds(400)};
    /// Longest idle time of a pooled connection that may carry the request.
    duration max_idle{std::chrono::hours(1)};
    /// For a request without id, whose answer could not be told from a late
    /// answer to an earlier request of a pooled connection.
    bool needs_new_connection = false;
    call_hooks hooks;
};

/// Sends a request over a pooled connection and reads its answer. Returns the
/// connection to the pool if it can be reused, else closes it.
class upstream_call
{
public:
    upstream_call(connection_pool& pool, call_request request);
    ~upstream_call();
    upstream_call(const upstream_call&) = delete;
    upstream_call& operator=(const upstream_call&) = delete;

    /// Sends the request and reads the head of its answer.
    asio::awaitable<call_status> start();

    const answer_head& head() const;
    const answer_info& info() const
    {
        return info_;
    }
    /// Length of the body as stated by the answer.
    std::optional<std::uint64_t> body_length() const;

    /// Appends the body bytes that have arrived; sets `is_end` at the end of
    /// the body.
    asio::awaitable<call_status> read_some(std::string& body, bool& is_end);
    /// Like `read_some`, but does not wait; not while a read is in progress.
    call_status read_available(std::string& body, bool& is_end);
    /// Reads the whole body; returns `broken` if it exceeds `max_size` bytes.
    asio::awaitable<call_status> read_all(std::string& body,
                                          std::size_t max_size);

    /// Ends the call from outside its coroutine by closing the connection.
    void cancel();
    /// Like `cancel`, for an upstream that makes no progress on the request.
    void give_up_stalled();
    /// Ends the `read_some` in progress from outside its coroutine. The call
    /// stays open, so that reading may go on later. Returns false, and does
    /// nothing, while the request is still being sent.
    bool interrupt();
    /// Calls `on_readable` once bytes have arrived or the connection ended;
    /// not while a read is in progress.
    void notify_when_readable(std::function<void()> on_readable);
    /// True if the answer has ended and the upstream keeps the connection open.
    bool keeps_connection() const
    {
        return is_complete_ && parser_->keep_alive();
    }
    /// True if only the end of the connection ends the body, so that a body
    /// that broke off cannot be told from a complete one.
    bool ends_with_connection() const
    {
        return parser_->need_eof();
    }
    bool is_given_up() const
    {
        return is_stalled_ || is_canceled_;
    }
    /// Why the last step failed; "Success" if an answer that was valid was
    /// rejected.
    std::string failure() const
    {
        return rejection_.empty() ? failure_.message() : rejection_;
    }

private:
    using parser = http::response_parser<http::buffer_body>;

    duration time_left() const;
    asio::awaitable<call_status> connect();
    void send();
    void set_unacknowledged_limit();
    /// Ends the call if a long request is not being delivered; returns the time
    /// until the next check.
    duration check_delivery();
    void close_connection();
    asio::awaitable<call_status> read_head();
    asio::awaitable<error_code> receive_head();
    /// Parses the received bytes up to the end of the head; sets `rejection_`
    /// if they are no head of an answer.
    error_code parse_head();
    asio::awaitable<call_status> skip_body();
    call_status status_of(const error_code& ec);
    /// Whether the answer may belong to an earlier request of the connection.
    bool may_be_late_answer() const;
    /// Receives bytes without waiting; reports the end of the connection to the
    /// parser.
    error_code receive_available();
    error_code parse_received(std::string& body);
    /// Whether the end of the connection, which ended the body, may have been a
    /// reset.
    bool may_be_reset() const;
    bool is_reusable() const;

    connection_pool& pool_;
    call_request request_;
    mono_time deadline_;
    connection_ptr connection_;
    std::shared_ptr<outgoing_request> outgoing_;
    interval_timer delivery_timer_;
    net::delivery delivery_; ///< At the last check.
    unsigned checks_without_progress_ = 0;
    mono_time sent_at_{};
    std::optional<parser> parser_;
    answer_info info_;
    error_code failure_;
    std::string rejection_; ///< Why a head is not that of an answer.
    bool is_canceled_ = false;
    bool is_stalled_ = false;
    bool is_undelivered_ = false;
    bool is_interrupted_ = false;
    bool is_complete_ = false;
    /// An answer to another request was skipped.
    bool has_foreign_answer_ = false;
};

/// Points `pointer` to a call for the duration of a scope.
class scoped_current_call
{
public:
    scoped_current_call(upstream_call*& pointer, upstream_call& call)
        : pointer_(pointer)
    {
        pointer_ = &call;
    }
    ~scoped_current_call()
    {
        pointer_ = nullptr;
    }
    scoped_current_call(const scoped_current_call&) = delete;
    scoped_current_call& operator=(const scoped_current_call&) = delete;

private:
    upstream_call*& pointer_;
};

} // namespace poplar::gateway
