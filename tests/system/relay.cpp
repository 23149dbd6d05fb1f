#include "tests/system/relay.hpp"

#include "base/error.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace poplar::testing_support
{

namespace
{

constexpr int poll_milliseconds = 50;

sockaddr_in to_sockaddr(const ip_address& a)
{
    sockaddr_in s{};
    s.sin_family = AF_INET;
    s.sin_port = htons(a.port);
    inet_pton(AF_INET, a.host.c_str(), &s.sin_addr);
    return s;
}

bool is_readable(int fd)
{
    pollfd p{fd, POLLIN, 0};
    return poll(&p, 1, poll_milliseconds) > 0;
}

bool send_all(int fd, const char* bytes, std::size_t n)
{
    while (n > 0)
    {
        const ssize_t sent = send(fd, bytes, n, MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes += sent;
        n -= static_cast<std::size_t>(sent);
    }
    return true;
}

void set_no_delay(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

struct relay::session
{
    int client = -1;
    int target = -1;
    std::atomic<bool> is_silent{false};
    std::atomic<bool> is_closed{false};

    ~session()
    {
        close(client);
        if (target >= 0)
            close(target);
    }

    void shut()
    {
        is_closed = true;
        shutdown(client, SHUT_RDWR);
        if (target >= 0)
            shutdown(target, SHUT_RDWR);
    }
};

relay::relay(const ip_address& target) : target_(target)
{
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = to_sockaddr({"127.0.0.1", 0});
    if (bind(listener_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        listen(listener_, SOMAXCONN) != 0)
        throw system_failure("relay", errno);
    socklen_t n = sizeof at;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &n);
    address_ = {"127.0.0.1", ntohs(at.sin_port)};
    acceptor_ = std::thread([this] { accept_loop(); });
}

relay::~relay()
{
    is_stopping_ = true;
    acceptor_.join();
    cut(true);
    for (std::thread& t : threads_)
        t.join();
    close(listener_);
}

void relay::set_faults(relay_faults faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = faults;
}

relay_faults relay::faults() const
{
    const std::lock_guard lock(mutex_);
    return faults_;
}

void relay::set_target(const ip_address& target)
{
    const std::lock_guard lock(mutex_);
    target_ = target;
}

void relay::silence_open_connections()
{
    const std::lock_guard lock(mutex_);
    for (const auto& s : sessions_)
        s->is_silent = true;
}

void relay::cut(bool refuse)
{
    is_refusing_ = refuse;
    const std::lock_guard lock(mutex_);
    for (const auto& s : sessions_)
        s->shut();
    sessions_.clear();
}

void relay::accept_loop()
{
    while (!is_stopping_)
    {
        if (!is_readable(listener_))
            continue;
        auto s = std::make_shared<session>();
        s->client = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (s->client < 0 || is_refusing_)
            continue;
        const std::lock_guard lock(mutex_);
        sessions_.push_back(s);
        threads_.emplace_back([this, s] { serve(s); });
    }
}

void relay::serve(const std::shared_ptr<session>& s)
{
    sockaddr_in at{};
    {
        const std::lock_guard lock(mutex_);
        at = to_sockaddr(target_);
    }
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
    {
        close(fd);
        return s->shut();
    }
    s->target = fd;
    set_no_delay(s->client);
    set_no_delay(s->target);
    std::thread back([this, s] { pump(*s, false); });
    pump(*s, true);
    back.join();
}

void relay::pump(session& s, bool to_target)
{
    const int from = to_target ? s.client : s.target;
    const int to = to_target ? s.target : s.client;
    char buf[65536];
    while (!is_stopping_ && !s.is_closed)
    {
        if (!is_readable(from))
            continue;
        const ssize_t n = recv(from, buf, sizeof buf, 0);
        // A silent connection stays open even when one end closes it.
        if (n <= 0 && !s.is_silent)
            break;
        if (n <= 0)
        {
            std::this_thread::sleep_for(
                std::chrono::milliseconds(poll_milliseconds));
            continue;
        }
        (to_target ? from_client_ : from_target_) +=
            static_cast<std::uint64_t>(n);
        const relay_faults f = faults();
        const bool drop = to_target ? f.drop_to_target : f.drop_to_client;
        if (drop || s.is_silent)
            continue;
        if (f.delay > duration::zero())
            std::this_thread::sleep_for(f.delay);
        if (!send_all(to, buf, static_cast<std::size_t>(n)))
            break;
    }
    s.shut();
}

} // namespace poplar::testing_support
