#include "wire/tcp_connection.hpp"

#include "observe/log.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/uio.h>
#include <unistd.h>
#include <utility>

namespace poplar::wire
{

namespace
{

constexpr std::size_t read_bytes = std::size_t(64) << 10;
/// Reads of one connection before others get their turn.
constexpr int reads_per_event = 8;
constexpr std::size_t pieces_per_write = 64;

thread_local std::array<char, read_bytes> read_buffer;

bool is_try_again(int ec)
{
    return ec == EAGAIN || ec == EINTR;
}

} // namespace

tcp_connection::tcp_connection(worker& w,
                               std::shared_ptr<const shared_options> options,
                               connection_hooks hooks, file_handle fd,
                               ip_address remote, bool connecting)
    : worker_(w), options_(std::move(options)), serial_(w.make_id()),
      remote_(std::move(remote)), hooks_(std::move(hooks)),
      phase_(connecting ? phase::connecting : phase::handshake),
      started_(now()), last_received_(started_), last_heartbeat_(started_),
      fd_(std::move(fd))
{
}

void tcp_connection::start(const fb::helloT& hello)
{
    if (phase_ == phase::connecting)
        send(encode(hello));
    else
        answer_hello_ = encode(hello);
    if (worker_.post([self = shared_from_this()] { self->start_watching(); }))
        return;
    absl::MutexLock lock(&mutex_);
    closing_ = close_reason::closed_here;
    fd_.close();
}

void tcp_connection::start_watching()
{
    const bool is_connecting = phase_ == phase::connecting;
    int fd = -1;
    {
        absl::MutexLock lock(&mutex_);
        fd = fd_.get();
        wants_write_ = is_connecting;
    }
    if (fd < 0)
        return finish(close_reason::connect_failed);
    worker_.watch(serial_, shared_from_this(), fd,
                  is_connecting ? EPOLLIN | EPOLLOUT : EPOLLIN);
    absl::MutexLock lock(&mutex_);
    can_write_ = !is_connecting;
    flush();
}

bool tcp_connection::send(std::string encoded)
{
    absl::MutexLock lock(&mutex_);
    if (closing_)
        return false;
    if (queued_ + encoded.size() > options_->send_limit_bytes)
    {
        request_close(close_reason::send_overflow);
        return false;
    }
    const bool was_empty = queue_.empty();
    queued_ += encoded.size();
    queue_.push_back(std::move(encoded));
    if (was_empty)
        flush();
    return true;
}

std::size_t tcp_connection::queued_bytes() const
{
    absl::MutexLock lock(&mutex_);
    return queued_;
}

void tcp_connection::close()
{
    absl::MutexLock lock(&mutex_);
    request_close(close_reason::closed_here);
}

std::uint64_t tcp_connection::serial() const
{
    return serial_;
}

ip_address tcp_connection::remote() const
{
    return remote_;
}

void tcp_connection::handle(std::uint32_t events)
{
    if (phase_ == phase::connecting)
        return finish_connect();
    if ((events & EPOLLOUT) != 0)
    {
        absl::MutexLock lock(&mutex_);
        flush();
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
        read_frames();
}

void tcp_connection::tick(mono_time t)
{
    if (is_finished_)
        return;
    if (phase_ != phase::open)
    {
        if (t - started_ >= handshake_timeout)
            finish(phase_ == phase::connecting
                       ? close_reason::connect_failed
                       : close_reason::handshake_failed);
        return;
    }
    if (t - last_received_ >= silence_timeout)
        return finish(close_reason::silent);
    // The next tick would come too late by up to tick_interval.
    if (t - last_heartbeat_ < heartbeat_interval - tick_interval)
        return;
    last_heartbeat_ = t;
    send(
        encode(options_->heartbeat ? options_->heartbeat() : fb::heartbeatT()));
}

void tcp_connection::stop()
{
    finish(close_reason::closed_here);
}

void tcp_connection::finish_connect()
{
    int failure = 0;
    socklen_t size = sizeof failure;
    {
        absl::MutexLock lock(&mutex_);
        ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &failure, &size);
    }
    if (failure != 0)
        return finish(close_reason::connect_failed);
    phase_ = phase::handshake;
    absl::MutexLock lock(&mutex_);
    can_write_ = true;
    want_write(false);
    flush();
}

void tcp_connection::read_frames()
{
    int fd = -1;
    {
        absl::MutexLock lock(&mutex_);
        fd = fd_.get();
    }
    for (int i = 0; i < reads_per_event && !is_closed(); ++i)
    {
        const ssize_t n = ::recv(fd, read_buffer.data(), read_buffer.size(), 0);
        if (n < 0 && is_try_again(errno))
            return;
        if (n <= 0)
            return finish(phase_ == phase::open
                              ? close_reason::closed_by_peer
                              : close_reason::handshake_failed);
        reader_.feed({read_buffer.data(), static_cast<std::size_t>(n)});
        try
        {
            frame f;
            while (!is_closed() && reader_.next(f))
                dispatch(f);
        }
        catch (const protocol_error& ec)
        {
            return report_fault(ec);
        }
        if (static_cast<std::size_t>(n) < read_buffer.size())
            return;
    }
}

void tcp_connection::dispatch(const frame& f)
{
    last_received_ = now();
    if (phase_ == phase::handshake)
        return take_hello(f);
    if (f.type == message_type::hello)
        throw protocol_error(protocol_fault::unknown_type,
                             "hello on an open connection");
    if (hooks_.received)
        hooks_.received(shared_from_this(), f);
}

void tcp_connection::take_hello(const frame& f)
{
    if (f.type != message_type::hello)
        throw protocol_error(protocol_fault::unknown_type,
                             "the first frame is no hello");
    if (!answer_hello_.empty())
        send(std::exchange(answer_hello_, {}));
    const auto peer = decode<fb::helloT>(f);
    if (peer.lowest_version > protocol_version ||
        peer.highest_version < lowest_protocol_version)
        return finish(close_reason::handshake_failed);
    phase_ = phase::open;
    if (hooks_.opened)
        hooks_.opened(shared_from_this(), peer);
}

void tcp_connection::report_fault(const protocol_error& ec)
{
    observe::log(
        observe::event::wire_protocol_fault,
        {{"peer", to_string(remote_)}, {"reason", std::string(ec.what())}});
    const bool no_common_version =
        phase_ == phase::handshake &&
        ec.fault() == protocol_fault::unknown_version;
    finish(no_common_version ? close_reason::handshake_failed
                             : close_reason::protocol_fault);
}

void tcp_connection::finish(close_reason reason)
{
    if (is_finished_)
        return;
    is_finished_ = true;
    const auto self = shared_from_this();
    {
        absl::MutexLock lock(&mutex_);
        reason = closing_.value_or(reason);
        closing_ = reason;
        if (fd_.is_open())
            worker_.forget(serial_, fd_.get());
        fd_.close();
        queue_.clear();
        queued_ = 0;
        can_write_ = false;
    }
    log_closed(reason);
    if (hooks_.closed)
        hooks_.closed(self, reason);
    // Hooks often hold the connection's owner or the connection itself.
    hooks_ = {};
}

void tcp_connection::log_closed(close_reason reason) const
{
    const std::vector<observe::field> fields{{"peer", to_string(remote_)},
                                             {"reason", to_string(reason)}};
    const bool is_expected = reason == close_reason::closed_here ||
                             reason == close_reason::closed_by_peer;
    observe::log(is_expected ? observe::event::wire_closed
                             : observe::event::wire_failed,
                 fields);
}

bool tcp_connection::is_closed() const
{
    absl::MutexLock lock(&mutex_);
    return closing_.has_value();
}

void tcp_connection::request_close(close_reason reason)
{
    if (closing_)
        return;
    closing_ = reason;
    worker_.post([self = shared_from_this(), reason] { self->finish(reason); });
}

void tcp_connection::flush()
{
    if (!can_write_)
        return;
    while (!queue_.empty() && write_some())
    {
    }
    want_write(!queue_.empty());
}

bool tcp_connection::write_some()
{
    std::array<iovec, pieces_per_write> pieces{};
    std::size_t count = 0;
    for (std::string& it : queue_)
    {
        if (count == pieces.size())
            break;
        const std::size_t skip = count == 0 ? front_written_ : 0;
        pieces[count++] = {it.data() + skip, it.size() - skip};
    }
    msghdr message{};
    message.msg_iov = pieces.data();
    message.msg_iovlen = count;
    const ssize_t n = ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
    if (n > 0)
    {
        drop_written(static_cast<std::size_t>(n));
        return true;
    }
    if (n < 0 && !is_try_again(errno))
        request_close(close_reason::closed_by_peer);
    return false;
}

void tcp_connection::drop_written(std::size_t n)
{
    queued_ -= n;
    front_written_ += n;
    while (!queue_.empty() && front_written_ >= queue_.front().size())
    {
        front_written_ -= queue_.front().size();
        queue_.pop_front();
    }
}

void tcp_connection::want_write(bool wanted)
{
    if (wanted == wants_write_)
        return;
    wants_write_ = wanted;
    worker_.set_events(fd_.get(), wanted ? EPOLLIN | EPOLLOUT : EPOLLIN,
                       serial_);
}

} // namespace poplar::wire
