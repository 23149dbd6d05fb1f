// Guards against frames lost or swapped between connections, and connections
// that stay open though the peer is silent or broken.
#include "base/error.hpp"
#include "wire/connection.hpp"
#include "wire/socket.hpp"

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <absl/time/time.h>
#include <arpa/inet.h>
#include <atomic>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

namespace poplar::wire
{
namespace
{

fb::stream_dataT sample_data(std::uint32_t offset, std::string text = "word ")
{
    fb::stream_dataT d;
    d.stream = 7;
    d.attempt = 1;
    d.offset = offset;
    d.tokens = 1;
    d.text = std::move(text);
    return d;
}

/// What one side of a connection saw.
struct observer
{
    absl::Mutex mutex;
    std::vector<std::string> calls;
    std::vector<frame> frames;
    std::vector<close_reason> reasons;
    connection_ptr last;
    std::atomic<int> running{0};
    std::atomic<bool> overlapped{false};

    connection_hooks hooks()
    {
        connection_hooks h;
        h.opened = [this](const connection_ptr& c, const fb::helloT& peer)
        {
            note("opened " + peer.instance, c);
        };
        h.received = [this](const connection_ptr& c, const frame& f)
        {
            if (f.type == message_type::heartbeat)
                return;
            note("received", c);
            absl::MutexLock lock(&mutex);
            frames.push_back(f);
        };
        h.closed = [this](const connection_ptr& c, close_reason reason)
        {
            note("closed", c);
            absl::MutexLock lock(&mutex);
            reasons.push_back(reason);
        };
        return h;
    }

    void note(std::string what, const connection_ptr& c)
    {
        if (++running > 1)
            overlapped = true;
        {
            absl::MutexLock lock(&mutex);
            calls.push_back(std::move(what));
            last = c;
        }
        --running;
    }

    template <class Condition>
    bool wait(Condition condition, absl::Duration limit = absl::Seconds(5))
    {
        absl::MutexLock lock(&mutex);
        return mutex.AwaitWithTimeout(absl::Condition(&condition), limit);
    }

    bool wait_calls(std::size_t n)
    {
        return wait([this, n] { return calls.size() >= n; });
    }

    bool wait_closed(absl::Duration limit = absl::Seconds(5))
    {
        return wait([this] { return !reasons.empty(); }, limit);
    }
};

loop_options options(const std::string& instance)
{
    loop_options o;
    o.hello.instance = instance;
    return o;
}

const ip_address any_port{"127.0.0.1", 0};

TEST(connection, exchanges_hellos_and_frames_both_ways)
{
    observer a;
    observer b;
    loop server(options("agent"));
    loop client(options("entry"));
    const ip_address at = server.listen(any_port, a.hooks());
    const connection_ptr c = client.connect(at, b.hooks());
    // Sent before the handshake has ended: must follow the hello.
    EXPECT_TRUE(c->send(encode(sample_data(1, std::string(3 << 20, 'x')))));
    ASSERT_TRUE(a.wait_calls(2));
    EXPECT_EQ(a.calls, (std::vector<std::string>{"opened entry", "received"}));
    a.last->send(encode(sample_data(9)));
    ASSERT_TRUE(b.wait_calls(2));
    EXPECT_EQ(b.calls, (std::vector<std::string>{"opened agent", "received"}));
    c->close();
    ASSERT_TRUE(a.wait_closed() && b.wait_closed());
    EXPECT_EQ(a.reasons, std::vector{close_reason::closed_by_peer});
    EXPECT_EQ(b.reasons, std::vector{close_reason::closed_here});
    EXPECT_FALSE(c->send(encode(fb::heartbeatT())));
}

TEST(connection, refuses_peer_without_common_version)
{
    observer a;
    observer b;
    loop server(options("agent"));
    loop_options newer = options("entry");
    newer.hello.lowest_version = protocol_version + 1;
    newer.hello.highest_version = protocol_version + 3;
    loop client(std::move(newer));
    client.connect(server.listen(any_port, a.hooks()), b.hooks());
    ASSERT_TRUE(a.wait_closed());
    EXPECT_EQ(a.reasons, std::vector{close_reason::handshake_failed});
    EXPECT_EQ(a.calls, std::vector<std::string>{"closed"});
}

TEST(connection, reports_refused_connect)
{
    observer a;
    loop client(options("entry"));
    ip_address closed_port;
    {
        const file_handle fd = open_listener(any_port);
        closed_port = local_address(fd.get());
    }
    client.connect(closed_port, a.hooks());
    ASSERT_TRUE(a.wait_closed());
    EXPECT_EQ(a.reasons, std::vector{close_reason::connect_failed});
}

TEST(connection, gives_up_peer_that_never_answers_the_hello)
{
    observer a;
    loop client(options("entry"));
    const file_handle silent = open_listener(any_port);
    client.connect(local_address(silent.get()), a.hooks());
    ASSERT_TRUE(a.wait_closed());
    EXPECT_EQ(a.reasons, std::vector{close_reason::handshake_failed});
}

/// A peer made of a bare socket.
class bare_peer
{
public:
    bare_peer() : listener_(open_listener(any_port)) {}

    ip_address address() const
    {
        return local_address(listener_.get());
    }

    /// Waits for a connection.
    void accept()
    {
        while (!fd_.is_open())
        {
            fd_ = file_handle(::accept(listener_.get(), nullptr, nullptr));
            ::usleep(1000);
        }
    }

    void write(const std::string& bytes)
    {
        ASSERT_EQ(::write(fd_.get(), bytes.data(), bytes.size()),
                  static_cast<ssize_t>(bytes.size()));
    }

private:
    file_handle listener_;
    file_handle fd_;
};

fb::helloT bare_hello()
{
    fb::helloT hello;
    hello.instance = "bare";
    hello.lowest_version = 1;
    hello.highest_version = 1;
    return hello;
}

TEST(connection, closes_when_the_peer_falls_silent_after_the_handshake)
{
    observer a;
    bare_peer peer;
    loop client(options("entry"));
    client.connect(peer.address(), a.hooks());
    peer.accept();
    const mono_time opened = now();
    peer.write(encode(bare_hello()));
    ASSERT_TRUE(a.wait_closed());
    EXPECT_EQ(a.reasons, std::vector{close_reason::silent});
    EXPECT_GE(now() - opened, silence_timeout);
    EXPECT_LE(now() - opened, silence_timeout + std::chrono::seconds(1));
}

// A connecting side whose bytes vanish must not take the connection for open,
// or it would choose a peer that cannot hear it again and again.
TEST(connection, accepting_side_says_nothing_before_it_hears_a_hello)
{
    loop server(options("agent"));
    const ip_address at = server.listen(any_port, {});
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(at.port);
    ::inet_pton(AF_INET, at.host.c_str(), &to.sin_addr);
    ASSERT_EQ(::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
    std::string received;
    char buf[256];
    for (ssize_t n = 0; (n = ::read(fd, buf, sizeof buf)) > 0;)
        received.append(buf, static_cast<std::size_t>(n));
    ::close(fd);
    EXPECT_TRUE(received.empty()) << received.size() << " bytes";
}

TEST(connection, stays_open_by_heartbeats_alone)
{
    observer a;
    observer b;
    loop server(options("agent"));
    loop client(options("entry"));
    client.connect(server.listen(any_port, a.hooks()), b.hooks());
    ASSERT_TRUE(a.wait_calls(1) && b.wait_calls(1));
    EXPECT_FALSE(a.wait_closed(absl::Milliseconds(2600)));
    EXPECT_FALSE(b.wait_closed(absl::ZeroDuration()));
}

TEST(connection, closes_on_garbage_after_the_handshake)
{
    observer a;
    bare_peer peer;
    loop client(options("entry"));
    client.connect(peer.address(), a.hooks());
    peer.accept();
    peer.write(encode(bare_hello()) + std::string(64, 'x'));
    ASSERT_TRUE(a.wait_closed());
    EXPECT_EQ(a.reasons, std::vector{close_reason::protocol_fault});
}

TEST(connection, closes_when_more_than_the_send_limit_waits)
{
    observer a;
    bare_peer peer;
    loop_options small = options("entry");
    small.send_limit_bytes = std::size_t(8) << 20;
    loop client(std::move(small));
    const connection_ptr c = client.connect(peer.address(), a.hooks());
    peer.accept();
    const std::string big = encode(sample_data(0, std::string(1 << 20, 'x')));
    int sent = 0;
    while (sent < 64 && c->send(big))
        ++sent;
    EXPECT_LT(sent, 64);
    ASSERT_TRUE(a.wait_closed());
    EXPECT_EQ(a.reasons, std::vector{close_reason::send_overflow});
}

TEST(connection, many_at_once_lose_and_swap_nothing)
{
    constexpr std::uint32_t connections = 200;
    constexpr std::uint32_t frames = 50;
    std::atomic<std::uint32_t> wrong{0};
    std::atomic<std::uint32_t> ended{0};
    connection_hooks echo;
    echo.received = [](const connection_ptr& c, const frame& f)
    {
        if (f.type == message_type::stream_data)
            c->send(encode(decode<fb::stream_dataT>(f)));
    };
    loop server(options("agent"));
    loop client(options("entry"));
    const ip_address at = server.listen(any_port, echo);
    for (std::uint32_t n = 0; n < connections; ++n)
    {
        auto next = std::make_shared<std::uint32_t>(0);
        connection_hooks h;
        h.opened = [](const connection_ptr& c, const fb::helloT&)
        {
            for (std::uint32_t i = 0; i < frames; ++i)
                c->send(encode(sample_data(i)));
        };
        h.received = [&, next](const connection_ptr&, const frame& f)
        {
            if (f.type != message_type::stream_data)
                return;
            if (decode<fb::stream_dataT>(f).offset != (*next)++)
                ++wrong;
            if (*next == frames)
                ++ended;
        };
        client.connect(at, std::move(h));
    }
    for (int i = 0; i < 1000 && ended < connections; ++i)
        ::usleep(10000);
    EXPECT_EQ(ended, connections);
    EXPECT_EQ(wrong, 0U);
}

// Tables of connections are keyed by serial: when threads of one loop gave the
// same number twice, one connection's end removed another from the table.
TEST(connection, serials_are_unique_among_the_threads_of_a_process)
{
    constexpr std::size_t connections = 20;
    absl::Mutex mutex;
    std::set<std::uint64_t> serials;
    connection_hooks hooks;
    hooks.opened = [&](const connection_ptr& c, const fb::helloT&)
    {
        absl::MutexLock lock(&mutex);
        serials.insert(c->serial());
    };
    loop server(options("agent"));
    loop client(options("entry"));
    const ip_address at = server.listen(any_port, hooks);
    for (std::size_t n = 0; n < connections; ++n)
        client.connect(at, hooks);
    auto all_seen = [&]
    {
        return serials.size() == 2 * connections;
    };
    absl::MutexLock lock(&mutex);
    EXPECT_TRUE(
        mutex.AwaitWithTimeout(absl::Condition(&all_seen), absl::Seconds(5)))
        << serials.size() << " serials";
}

TEST(loop, closes_connections_and_drops_tasks_when_destroyed)
{
    observer a;
    observer b;
    std::atomic<bool> ran{false};
    auto server = std::make_unique<loop>(options("agent"));
    loop client(options("entry"));
    client.connect(server->listen(any_port, a.hooks()), b.hooks());
    ASSERT_TRUE(a.wait_calls(1));
    server->call_later(std::chrono::seconds(60), [&ran] { ran = true; });
    server.reset();
    EXPECT_EQ(a.reasons, std::vector{close_reason::closed_here});
    EXPECT_FALSE(a.overlapped);
    EXPECT_FALSE(ran);
}

TEST(loop, calls_task_after_the_delay)
{
    absl::Notification called;
    loop l(options("entry"));
    const mono_time start = now();
    l.call_later(std::chrono::milliseconds(50), [&called] { called.Notify(); });
    ASSERT_TRUE(called.WaitForNotificationWithTimeout(absl::Seconds(5)));
    EXPECT_GE(now() - start, std::chrono::milliseconds(50));
}

} // namespace
} // namespace poplar::wire
