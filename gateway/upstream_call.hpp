/// One request to one upstream.
#pragma once

#include "gateway/connections.hpp"
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

/// How far a call came.
enum class call_status
{
    ok,
    not_connected, ///< Certainly not sent.
    broken,        ///< Sent; the answer is missing or incomplete.
    stalled,       ///< Sent; given up by `give_up_stalled`.
    timed_out,     ///< Sent; no answer in time.
    canceled       ///< By `cancel`.
};

std::string to_string(call_status status);

/// What a call asks and tells the owner of its upstream; may be empty.
struct call_hooks
{
    /// Asked when the connection is there; false: the call is not sent.
    std::function<bool()> may_send;
    /// The head of each answer, those to other requests included.
    std::function<void(const answer_info&)> on_answer_head;
};

struct call_request
{
    request_head head;
    /// Kept alive by the caller until the call object is gone.
    std::shared_ptr<const std::string> body;
    attempt_id id;
    duration timeout{};
    duration connect_timeout{std::chrono::milliseconds(400)};
    /// Longest idle time of a kept connection that may carry the request.
    duration max_idle{std::chrono::hours(1)};
    call_hooks hooks;
};

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

    /// Appends what has arrived of the body; sets `is_end` at its end. Without
    /// bytes until `limit` the call counts as stalled.
    asio::awaitable<call_status>
    read_some(std::string& body, bool& is_end,
              mono_time deadline = mono_time::max());
    /// Reads the whole body; a longer one counts as broken.
    asio::awaitable<call_status> read_all(std::string& body,
                                          std::size_t max_size);

    /// Ends the call from outside of its coroutine.
    void cancel();
    /// The same for an upstream that does not work on the request.
    void give_up_stalled();
    bool is_given_up() const
    {
        return is_stalled_ || is_canceled_;
    }
    /// Why the last step did not succeed.
    std::string failure() const
    {
        return failure_.message();
    }

private:
    using parser = http::response_parser<http::buffer_body>;
    struct outgoing;

    asio::awaitable<call_status> connect();
    void send();
    asio::awaitable<call_status> read_head();
    asio::awaitable<call_status> skip_body();
    call_status status_of(const error_code& ec);
    bool is_reusable() const;

    connection_pool& pool_;
    call_request request_;
    mono_time deadline_;
    mono_time step_deadline_; ///< Of the step in progress; end_ at the latest.
    connection_ptr connection_;
    std::shared_ptr<outgoing> outgoing_;
    std::optional<parser> parser_;
    answer_info info_;
    error_code failure_;
    bool is_canceled_ = false;
    bool is_stalled_ = false;
    bool is_complete_ = false;
};

/// Sets a pointer to the call in progress while it is in scope.
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
