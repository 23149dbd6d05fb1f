// Sends the request of an upstream call and checks its delivery.
#include "gateway/outgoing_request.hpp"
#include "gateway/upstream_call.hpp"

#include <boost/beast/http/write.hpp>

namespace poplar::gateway
{

namespace
{

/// Fits into the receive buffer of an upstream that does not read yet. A longer
/// request is held back by an upstream that reads slowly.
constexpr std::size_t max_buffered_request = 16 << 10; // bytes
/// The kernel has ended the connection by then if the request was not
/// acknowledged; it judges probes only later, 2 s after the last packet.
constexpr duration acknowledgement_time =
    net::unacknowledged_limit + std::chrono::milliseconds(100);

/// How often the delivery of a long request is checked.
constexpr duration delivery_check_interval = std::chrono::milliseconds(250);
constexpr unsigned max_checks_without_progress =
    net::unacknowledged_limit / delivery_check_interval;

void set_limit(upstream_connection& connection, duration limit)
{
    if (limit == connection.unacknowledged_limit)
        return;
    connection.unacknowledged_limit = limit;
    net::set_unacknowledged_limit(connection.stream.socket().native_handle(),
                                  limit);
}

/// The limit for unacknowledged data also applies to probes: with the short one
/// a single lost probe would end the connection during a long wait.
void raise_limit_when_acknowledged(const connection_ptr& connection)
{
    connection->acknowledgement.expires_after(acknowledgement_time);
    connection->acknowledgement.async_wait(
        [weak = std::weak_ptr(connection)](const error_code& ec)
        {
            const connection_ptr c = weak.lock();
            if (!ec && c &&
                c->unacknowledged_limit == net::unacknowledged_limit)
                set_limit(*c, net::silence_limit);
        });
}

} // namespace

/// Starts the write without waiting for its end, since an upstream may answer
/// before it has read the whole request. Reading the answer reports a failed
/// write.
void upstream_call::send()
{
    sent_at_ = now();
    outgoing_ = std::make_shared<outgoing_request>(std::move(request_.head),
                                                   request_.body);
    set_unacknowledged_limit();
    http::async_write(
        connection_->stream, outgoing_->message,
        [out = outgoing_, c = connection_](error_code ec, std::size_t)
        {
            out->is_written = !ec;
            out->failure = ec;
        });
}

/// The kernel's limit would also end a long request that an upstream reads
/// slowly, so its delivery is checked here.
void upstream_call::set_unacknowledged_limit()
{
    const bool is_long = request_.body->size() > max_buffered_request;
    set_limit(*connection_, is_long ? time_left() : net::unacknowledged_limit);
    if (is_long)
        delivery_timer_.start(delivery_check_interval);
    else
        raise_limit_when_acknowledged(connection_);
}

/// Counts checks instead of time, since the peer has no chance to acknowledge
/// anything while the machine of this process is suspended.
duration upstream_call::check_delivery()
{
    const int socket = connection_->stream.socket().native_handle();
    const auto current = net::read_delivery(socket);
    const bool is_delivered =
        outgoing_->is_written && !net::has_unacknowledged_output(socket);
    if (!current || is_delivered)
        return time_left();
    const bool has_progress = !current->is_in_flight ||
                              current->acknowledged != delivery_.acknowledged;
    checks_without_progress_ = has_progress ? 0 : checks_without_progress_ + 1;
    delivery_ = *current;
    if (checks_without_progress_ >= max_checks_without_progress)
    {
        is_undelivered_ = true;
        close_connection();
    }
    return delivery_check_interval;
}

} // namespace poplar::gateway
