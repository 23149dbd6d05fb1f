#include "review/standins-2/http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return at;
}

const auto process_start = std::chrono::steady_clock::now();

std::string trim(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t\r");
    const auto last = text.find_last_not_of(" \t\r");
    return first == std::string::npos ? ""
                                      : text.substr(first, last - first + 1);
}

message parse_head(const std::string& head)
{
    message m;
    std::istringstream lines(head);
    std::getline(lines, m.first_line);
    for (std::string line; std::getline(lines, line);)
    {
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        std::ranges::transform(name, name.begin(),
                               [](unsigned char c) { return std::tolower(c); });
        m.fields[name] = trim(line.substr(colon + 1));
    }
    return m;
}

} // namespace

std::string message::field(const std::string& name) const
{
    std::string key = name;
    std::ranges::transform(key, key.begin(),
                           [](unsigned char c) { return std::tolower(c); });
    const auto it = fields.find(key);
    return it == fields.end() ? "" : it->second;
}

std::string message::second_word() const
{
    std::istringstream words(first_line);
    std::string word;
    words >> word >> word;
    return word;
}

std::string message::method() const
{
    return first_line.substr(0, first_line.find(' '));
}

connection::~connection()
{
    ::close(socket_);
}

bool connection::send(const std::string& bytes) const
{
    for (std::size_t sent = 0; sent < bytes.size();)
    {
        const auto n = ::send(socket_, bytes.data() + sent, bytes.size() - sent,
                              MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += std::size_t(n);
    }
    return true;
}

std::optional<message> connection::read_message()
{
    std::array<char, 16384> buf{};
    std::optional<message> m;
    std::size_t length = 0;
    while (true)
    {
        const auto end = received_.find("\r\n\r\n");
        if (!m && end != std::string::npos)
        {
            m = parse_head(received_.substr(0, end + 2));
            received_.erase(0, end + 4);
            length =
                std::strtoul(m->field("Content-Length").c_str(), nullptr, 10);
        }
        if (m && received_.size() >= length)
        {
            m->body = received_.substr(0, length);
            received_.erase(0, length);
            return m;
        }
        const auto n = recv(socket_, buf.data(), buf.size(), 0);
        if (n <= 0)
            return std::nullopt;
        received_.append(buf.data(), std::size_t(n));
    }
}

std::string connection::read_all(int limit_ms) const
{
    std::string all;
    std::array<char, 16384> buf{};
    const std::int64_t end = elapsed_ms() + limit_ms;
    for (std::int64_t left = limit_ms; left > 0; left = end - elapsed_ms())
    {
        pollfd p{socket_, POLLIN, 0};
        if (poll(&p, 1, int(left)) <= 0)
            break;
        const auto n = recv(socket_, buf.data(), buf.size(), 0);
        if (n <= 0)
            break;
        all.append(buf.data(), std::size_t(n));
    }
    return all;
}

bool connection::wait_while_open(int ms) const
{
    pollfd p{socket_, POLLRDHUP, 0};
    return poll(&p, 1, ms) == 0;
}

bool connection::is_closed(int ms) const
{
    std::array<char, 4096> buf{};
    const std::int64_t end = elapsed_ms() + ms;
    for (std::int64_t left = ms; left > 0; left = end - elapsed_ms())
    {
        pollfd p{socket_, POLLIN, 0};
        if (poll(&p, 1, int(left)) > 0 &&
            recv(socket_, buf.data(), buf.size(), 0) <= 0)
            return true;
    }
    return false;
}

int connect_to(std::uint16_t port)
{
    const int s = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = loopback(port);
    if (::connect(s, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
    {
        ::close(s);
        return -1;
    }
    const int on = 1;
    setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return s;
}

listener::listener(std::function<void(connection&)> serve)
    : serve_(std::move(serve)),
      socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in at = loopback(0);
    socklen_t size = sizeof at;
    if (bind(socket_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        listen(socket_, 512) != 0)
        std::abort();
    getsockname(socket_, reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
    thread_ = std::thread([this] { accept_all(); });
}

listener::~listener()
{
    ::shutdown(socket_, SHUT_RDWR);
    thread_.join();
    ::close(socket_);
}

std::string listener::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

void listener::accept_all()
{
    while (true)
    {
        const int s = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
        if (s < 0 && errno == EINTR)
            continue;
        if (s < 0)
            return;
        const int on = 1;
        setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread(
            [this, s]
            {
                connection c(s);
                serve_(c);
            })
            .detach();
    }
}

std::string answer(unsigned status, const std::string& fields,
                   const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::int64_t elapsed_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - process_start)
        .count();
}

void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace review
