#include "tests/platform/scripted_upstream.hpp"

#include "base/error.hpp"
#include "net/socket.hpp"

#include <arpa/inet.h>
#include <array>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace poplar::gateway
{

namespace
{

constexpr duration poll_interval = std::chrono::milliseconds(20);

bool is_readable(int socket, duration limit)
{
    pollfd p{socket, POLLIN, 0};
    return poll(&p, 1, int(to_milliseconds(limit))) > 0;
}

/// Receives available bytes; empty when the peer closed the connection.
std::string receive(int socket)
{
    std::array<char, 16384> buf{};
    const auto n = recv(socket, buf.data(), buf.size(), 0);
    return {buf.data(), n > 0 ? std::size_t(n) : 0};
}

/// Drops what arrives at the socket for a while, as a suspended machine does:
/// its kernel does not acknowledge anything either.
void lose_packets(int socket, duration d)
{
    sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{1, &drop_all};
    if (setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                   sizeof program) != 0)
        throw system_failure("attaching a filter", errno);
    std::this_thread::sleep_for(d);
    const int unused = 0;
    setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
}

std::size_t body_length(const std::string& head)
{
    const auto at = head.find("Content-Length: ");
    return at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
}

bool is_whole_answer(const std::string& bytes)
{
    const auto end = bytes.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    const std::string head = bytes.substr(0, end + 4);
    if (head.find("Transfer-Encoding: chunked") != std::string::npos)
        return bytes.find("\r\n0\r\n\r\n", end) != std::string::npos;
    return bytes.size() >= head.size() + body_length(head);
}

} // namespace

scripted_upstream::scripted_upstream(script answer)
    : answer_(std::move(answer)), listener_(net::listen_on({"127.0.0.1", 0})),
      acceptor_([this] { accept_all(); })
{
}

scripted_upstream::~scripted_upstream()
{
    {
        absl::MutexLock lock(&mutex_);
        is_stopping_ = true;
    }
    acceptor_.join();
    std::vector<std::thread> connections;
    {
        absl::MutexLock lock(&mutex_);
        connections.swap(connections_);
    }
    for (std::thread& it : connections)
        it.join();
    ::close(listener_);
}

void scripted_upstream::pause_before_reading(duration pause)
{
    absl::MutexLock lock(&mutex_);
    pause_before_reading_ = pause;
}

void scripted_upstream::answer_before_body()
{
    absl::MutexLock lock(&mutex_);
    answers_before_body_ = true;
}

ip_address scripted_upstream::address() const
{
    return net::local_address(listener_);
}

std::vector<std::string> scripted_upstream::heads() const
{
    absl::MutexLock lock(&mutex_);
    return heads_;
}

std::size_t scripted_upstream::connections() const
{
    absl::MutexLock lock(&mutex_);
    return connections_.size();
}

std::size_t scripted_upstream::sent_piece_bytes() const
{
    absl::MutexLock lock(&mutex_);
    return sent_piece_bytes_;
}

unsigned scripted_upstream::abandoned_connections() const
{
    absl::MutexLock lock(&mutex_);
    return abandoned_connections_;
}

void scripted_upstream::accept_all()
{
    while (true)
    {
        {
            absl::MutexLock lock(&mutex_);
            if (is_stopping_)
                return;
        }
        if (!is_readable(listener_, poll_interval))
            continue;
        const int s = accept(listener_, nullptr, nullptr);
        if (s < 0)
            continue;
        // Otherwise a second small piece waits for a delayed acknowledgement.
        const int on = 1;
        setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        absl::MutexLock lock(&mutex_);
        connections_.emplace_back([this, s] { serve(s); });
    }
}

bool scripted_upstream::wait_while_open(int socket, duration d) const
{
    const mono_time deadline = now() + d;
    char byte = 0;
    while (now() < deadline)
        if (is_readable(socket, poll_interval) &&
            recv(socket, &byte, 1, MSG_PEEK) <= 0)
            return false;
    return true;
}

bool scripted_upstream::wait_for_delay(int socket,
                                       const scripted_answer& answer) const
{
    if (answer.packet_loss == duration::zero())
        return wait_while_open(socket, answer.delay);
    if (!wait_while_open(socket, answer.delay - answer.packet_loss))
        return false;
    lose_packets(socket, answer.packet_loss);
    return wait_while_open(socket, poll_interval);
}

void scripted_upstream::serve(int socket)
{
    std::string bytes;
    duration pause{};
    {
        absl::MutexLock lock(&mutex_);
        pause = pause_before_reading_;
    }
    std::this_thread::sleep_for(pause);
    while (true)
    {
        {
            absl::MutexLock lock(&mutex_);
            if (is_stopping_)
                break;
        }
        if (!is_readable(socket, poll_interval))
            continue;
        const std::string more = receive(socket);
        if (more.empty())
            break;
        bytes += more;
        const auto end = bytes.find("\r\n\r\n");
        if (end == std::string::npos)
            continue;
        const std::string head = bytes.substr(0, end + 4);
        if (!has_request(bytes, head))
            continue;
        bytes.erase(0, head.size() + body_length(head));
        {
            absl::MutexLock lock(&mutex_);
            heads_.push_back(head);
        }
        const scripted_answer answer = answer_(head);
        if (!wait_for_delay(socket, answer))
        {
            absl::MutexLock lock(&mutex_);
            ++abandoned_connections_;
            break;
        }
        if (answer.resets || answer.resets_after)
        {
            const linger reset_on_close{1, 0};
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset_on_close,
                       sizeof reset_on_close);
        }
        if (answer.resets)
            break;
        ::send(socket, answer.bytes.data(), answer.bytes.size(), MSG_NOSIGNAL);
        if (answer.packet_loss_after > duration::zero())
            lose_packets(socket, answer.packet_loss_after);
        const bool is_open = send_pieces(socket, answer);
        if (is_open && answer.closes_own_side)
            close_own_side(socket, answer);
        if (!is_open || answer.closes || answer.resets_after ||
            answer.closes_own_side)
            break;
    }
    ::close(socket);
}

bool scripted_upstream::has_request(const std::string& bytes,
                                    const std::string& head)
{
    absl::MutexLock lock(&mutex_);
    return answers_before_body_ ||
           bytes.size() >= head.size() + body_length(head);
}

void scripted_upstream::close_own_side(int socket,
                                       const scripted_answer& answer) const
{
    constexpr duration time_to_close = std::chrono::seconds(2);
    ::shutdown(socket, SHUT_WR);
    if (answer.resets_after)
        return std::this_thread::sleep_for(poll_interval);
    // Not by reading: bytes of the client stay unread.
    const mono_time deadline = now() + time_to_close;
    pollfd p{socket, POLLRDHUP, 0};
    while (now() < deadline &&
           poll(&p, 1, int(to_milliseconds(poll_interval))) <= 0)
        continue;
}

bool scripted_upstream::send_pieces(int socket, const scripted_answer& answer)
{
    const auto send_piece = [&](const std::string& piece)
    {
        if (!wait_while_open(socket, answer.pause) ||
            ::send(socket, piece.data(), piece.size(), MSG_NOSIGNAL) !=
                ssize_t(piece.size()))
            return false;
        absl::MutexLock lock(&mutex_);
        sent_piece_bytes_ += piece.size();
        return !is_stopping_;
    };
    bool is_open = std::ranges::all_of(answer.pieces, send_piece);
    while (is_open && answer.repeats_last_piece)
        is_open = send_piece(answer.pieces.back());
    return is_open;
}

std::string field_of(const std::string& head, const std::string& name)
{
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return "";
    const auto from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
}

std::string whole_answer(unsigned status, const std::string& id,
                         const std::string& body, const std::string& fields)
{
    const bool needs_signature =
        status / 100 == 2 &&
        fields.find("Response-Seal: ") == std::string::npos;
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nAttempt-Id: " + id +
           "\r\n" + (needs_signature ? "Response-Seal: s\r\n" : "") + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string stream_head(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
           "\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string& text)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
}

scripted_caller::scripted_caller(const ip_address& to)
    : socket_(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(to.port);
    inet_pton(AF_INET, to.host.c_str(), &at.sin_addr);
    if (connect(socket_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
        throw system_failure("connect", errno);
}

scripted_caller::~scripted_caller()
{
    close();
}

void scripted_caller::close()
{
    if (socket_ >= 0)
        ::close(socket_);
    socket_ = -1;
}

void scripted_caller::send(const std::string& bytes) const
{
    ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

std::string scripted_caller::read_until(const std::string& end, duration limit)
{
    const mono_time deadline = now() + limit;
    std::string text;
    while (now() < deadline && text.find(end) == std::string::npos)
    {
        if (!is_readable(socket_, poll_interval))
            continue;
        const std::string more = receive(socket_);
        if (more.empty())
            break;
        text += more;
    }
    return text;
}

received_answer scripted_caller::read_answer(duration limit)
{
    const mono_time deadline = now() + limit;
    received_answer answer;
    while (now() < deadline && answer.is_open && !answer.is_whole)
    {
        if (!is_readable(socket_, poll_interval))
            continue;
        const std::string more = receive(socket_);
        answer.is_open = !more.empty();
        answer.bytes += more;
        answer.is_whole = is_whole_answer(answer.bytes);
    }
    return answer;
}

bool scripted_caller::is_closed(duration limit)
{
    const mono_time deadline = now() + limit;
    while (now() < deadline)
        if (is_readable(socket_, poll_interval) && receive(socket_).empty())
            return true;
    return false;
}

} // namespace poplar::gateway
