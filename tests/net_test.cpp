// Guards against answers that hang, are cut unnoticed or are sent twice, and
// against a caller that does not read holding up the others.
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/socket.hpp"

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <arpa/inet.h>
#include <atomic>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace poplar::net
{
namespace
{

using namespace std::chrono_literals;

const ip_address any_port{"127.0.0.1", 0};

client_request get(const ip_address& to, const std::string& path)
{
    client_request r;
    r.to = to;
    r.path = path;
    return r;
}

client_request post(const ip_address& to, const std::string& body)
{
    return {.method = "POST", .to = to, .headers = {}, .body = body};
}

/// Waits until `condition` holds; false after five seconds.
bool eventually(const std::function<bool()>& condition)
{
    for (int i = 0; i < 500 && !condition(); ++i)
        std::this_thread::sleep_for(10ms);
    return condition();
}

/// Connects a plain socket and sends a request.
int send_raw(const ip_address& to, const std::string& request)
{
    const int s = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(to.port);
    inet_pton(AF_INET, to.host.c_str(), &native.sin_addr);
    EXPECT_EQ(connect(s, reinterpret_cast<sockaddr*>(&native), sizeof native),
              0);
    EXPECT_EQ(send(s, request.data(), request.size(), 0),
              static_cast<ssize_t>(request.size()));
    return s;
}

/// Hooks that expect this end and then notify.
client_hooks expect_end(client_failure failure, absl::Notification& done)
{
    client_hooks hooks;
    hooks.done = [failure, &done](const client_result& r)
    {
        EXPECT_EQ(r.failure, failure) << r.detail;
        done.Notify();
    };
    return hooks;
}

TEST(http_server, passes_the_whole_request_and_answer)
{
    http_server server(
        {any_port},
        [](const http_request& r, const responder_ptr& answer)
        {
            const std::string* h = find_header(r.headers, "x-kind");
            answer->respond({201,
                             {{"X-Back", h ? *h : "none"}},
                             r.method + " " + r.path + " " +
                                 query_value(r, "a", "-") + " " + r.body});
        });
    http_client client;
    client_request r = post(server.address(), std::string(100000, 'x'));
    r.path = "/p%20q?b=1&a=2%203";
    r.headers = {{"X-Kind", "test"}};
    const client_result result = client.fetch(r);
    EXPECT_EQ(result.failure, client_failure::none) << result.detail;
    EXPECT_EQ(result.response.status, 201U);
    EXPECT_EQ(*find_header(result.response.headers, "X-Back"), "test");
    EXPECT_EQ(result.response.body,
              "POST /p%20q 2 3 " + std::string(100000, 'x'));
}

// A resume that overtakes its suspend would leave the request without answer.
TEST(http_server, answers_from_other_threads_are_not_lost)
{
    absl::Mutex mutex;
    std::vector<responder_ptr> waiting;
    std::atomic<bool> stop = false;
    std::thread producer(
        [&]
        {
            while (!stop)
            {
                std::vector<responder_ptr> taken;
                {
                    absl::MutexLock lock(&mutex);
                    taken.swap(waiting);
                }
                for (auto& it : taken)
                {
                    it->begin(200, {});
                    it->write("late ");
                    it->write("answer");
                    it->finish();
                }
            }
        });
    {
        http_server server({any_port, 2},
                           [&](const http_request&, const responder_ptr& answer)
                           {
                               absl::MutexLock lock(&mutex);
                               waiting.push_back(answer);
                           });
        http_client client(16);
        std::atomic<int> right = 0;
        std::atomic<int> ended = 0;
        for (int i = 0; i < 5000; ++i)
            client.start(get(server.address(), "/"),
                         {{},
                          [&](const client_result& r)
                          {
                              right += r.response.body == "late answer";
                              ++ended;
                          }});
        EXPECT_TRUE(eventually([&] { return ended == 5000; }));
        EXPECT_EQ(right, 5000);
    }
    stop = true;
    producer.join();
}

TEST(http_server, streams_pieces_as_they_are_written)
{
    responder_ptr answer;
    absl::Notification arrived;
    http_server server({any_port},
                       [&](const http_request&, const responder_ptr& a)
                       {
                           answer = a;
                           arrived.Notify();
                       });
    http_client client;
    absl::Mutex mutex;
    std::string body;
    absl::Notification done;
    client_hooks hooks = expect_end(client_failure::none, done);
    hooks.body_piece = [&](std::string_view piece)
    {
        absl::MutexLock lock(&mutex);
        body += piece;
        return true;
    };
    client.start(get(server.address(), "/"), hooks);
    arrived.WaitForNotification();
    const auto has = [&](const char* text)
    {
        return eventually(
            [&]
            {
                absl::MutexLock lock(&mutex);
                return body == text;
            });
    };
    answer->begin(200, {});
    answer->write("one ");
    EXPECT_TRUE(has("one "));
    answer->write("two");
    EXPECT_TRUE(has("one two"));
    answer->finish();
    done.WaitForNotification();
}

TEST(http_server, refuses_a_body_above_the_limit)
{
    std::atomic<int> handled = 0;
    http_server server({any_port, 2, 1000},
                       [&](const http_request&, const responder_ptr& a)
                       {
                           ++handled;
                           a->respond({200, {}, ""});
                       });
    http_client client;
    const auto status = [&](std::size_t n)
    {
        return client.fetch(post(server.address(), std::string(n, 'x')))
            .response.status;
    };
    EXPECT_EQ(status(1000), 200U);
    EXPECT_EQ(status(1001), 413U);
    EXPECT_EQ(status(4100), 413U);
    EXPECT_EQ(handled, 1);
}

// Suspended connections are not polled by the library, so a caller that goes
// away while waiting would keep its work running.
class caller_gone : public testing::TestWithParam<bool>
{
};

TEST_P(caller_gone, is_reported_while_the_answer_is_pending)
{
    std::atomic<int> gone = 0;
    responder_ptr held;
    http_server server({any_port},
                       [&](const http_request&, const responder_ptr& a)
                       {
                           held = a;
                           a->when_gone([&] { ++gone; });
                           if (!GetParam())
                               return;
                           a->begin(200, {});
                           a->write("first");
                       });
    http_client client;
    absl::Notification done;
    const exchange_number n = client.start(
        get(server.address(), "/"), expect_end(client_failure::canceled, done));
    ASSERT_TRUE(eventually([&] { return server.open_requests() == 1; }));
    std::this_thread::sleep_for(50ms);
    client.cancel(n);
    done.WaitForNotification();
    EXPECT_TRUE(eventually([&] { return gone == 1; }));
    EXPECT_TRUE(eventually([&] { return server.open_requests() == 0; }));
}

INSTANTIATE_TEST_SUITE_P(streamed, caller_gone, testing::Bool());

TEST(http_server, a_caller_that_does_not_read_delays_no_other)
{
    // More than the kernel's socket buffers hold.
    constexpr std::size_t limit = 32 << 20;
    std::atomic<bool> drained = false;
    std::atomic<std::size_t> most = 0;
    responder_ptr slow;
    http_server server({any_port, 1},
                       [&](const http_request& r, const responder_ptr& a)
                       {
                           if (r.path != "/slow")
                               return a->respond({200, {}, "quick"});
                           slow = a;
                           a->begin(200, {});
                           const std::string block(64 << 10, 'x');
                           while (most < limit)
                               most = a->write(block);
                           a->when_drained(1, [&] { drained = true; });
                       });
    const int s = send_raw(server.address(), "GET /slow HTTP/1.1\r\n"
                                             "Host: x\r\n\r\n");
    ASSERT_TRUE(eventually([&] { return most >= limit; }));
    http_client client;
    for (int i = 0; i < 20; ++i)
    {
        client_request r = get(server.address(), "/quick");
        r.timeout = 1s;
        EXPECT_EQ(client.fetch(r).response.body, "quick");
    }
    EXPECT_LE(most, limit + (64 << 10));
    EXPECT_FALSE(drained);
    std::string buf(1 << 16, '\0');
    while (!drained)
        ASSERT_GT(recv(s, buf.data(), buf.size(), 0), 0);
    close(s);
}

TEST(http_server, stops_accepting_and_finishes_open_answers)
{
    responder_ptr held;
    absl::Notification arrived;
    http_server server({any_port, 2},
                       [&](const http_request&, const responder_ptr& a)
                       {
                           a->begin(200, {});
                           a->write("start ");
                           held = a;
                           arrived.Notify();
                       });
    http_client client;
    absl::Notification done;
    client.start(get(server.address(), "/"),
                 {{},
                  [&](const client_result& r)
                  {
                      EXPECT_EQ(r.failure, client_failure::none);
                      EXPECT_EQ(r.response.body, "start end");
                      done.Notify();
                  }});
    arrived.WaitForNotification();
    server.stop_accepting();
    http_client other;
    EXPECT_EQ(other.fetch(get(server.address(), "/")).failure,
              client_failure::not_connected);
    held->write("end");
    held->finish();
    done.WaitForNotification();
    EXPECT_TRUE(eventually([&] { return server.open_requests() == 0; }));
}

TEST(http_server, reports_an_address_in_use)
{
    const http_handler refuse = [](const http_request&, const responder_ptr& a)
    {
        a->respond({404, {}, ""});
    };
    const http_server first({any_port}, refuse);
    try
    {
        const http_server second({first.address()}, refuse);
        FAIL() << "the address was bound twice";
    }
    catch (const system_failure& ec)
    {
        EXPECT_EQ(ec.code(), EADDRINUSE);
    }
}

enum class ending
{
    abort,
    drop_streaming,
    drop_unanswered,
    throw_failure,
    destroy_server
};

struct ending_case
{
    ending how;
    client_failure failure;
    unsigned status;
};

class unfinished_answers : public testing::TestWithParam<ending_case>
{
};

TEST_P(unfinished_answers, never_look_whole)
{
    responder_ptr held;
    absl::Notification arrived;
    auto server = std::make_unique<http_server>(
        http_server_options{any_port},
        [&](const http_request&, const responder_ptr& a)
        {
            if (GetParam().how == ending::throw_failure)
                throw error("failed");
            if (GetParam().how == ending::drop_unanswered)
                return;
            a->begin(200, {});
            a->write("part");
            if (GetParam().how == ending::abort)
                a->abort();
            if (GetParam().how == ending::destroy_server)
                held = a;
            arrived.Notify();
        });
    http_client client;
    absl::Notification done;
    client.start(get(server->address(), "/"),
                 {{},
                  [&](const client_result& r)
                  {
                      EXPECT_EQ(r.failure, GetParam().failure) << r.detail;
                      if (GetParam().failure == client_failure::none)
                      {
                          EXPECT_EQ(r.response.status, GetParam().status);
                      }
                      done.Notify();
                  }});
    if (GetParam().how == ending::destroy_server)
    {
        arrived.WaitForNotification();
        server.reset();
    }
    done.WaitForNotification();
}

INSTANTIATE_TEST_SUITE_P(
    table, unfinished_answers,
    testing::Values(
        ending_case{ending::abort, client_failure::broken, 0},
        ending_case{ending::drop_streaming, client_failure::broken, 0},
        ending_case{ending::drop_unanswered, client_failure::none, 500},
        ending_case{ending::throw_failure, client_failure::none, 500},
        ending_case{ending::destroy_server, client_failure::broken, 0}));

TEST(http_client, tells_not_connected_from_sent)
{
    const int s = listen_on(any_port);
    const ip_address closed = local_address(s);
    close(s);
    http_client client;
    EXPECT_EQ(client.fetch(get(closed, "/")).failure,
              client_failure::not_connected);

    responder_ptr held;
    http_server silent({any_port},
                       [&](const http_request& r, const responder_ptr& a)
                       {
                           held = a;
                           if (r.path != "/start")
                               return;
                           a->begin(200, {});
                           a->write("x");
                       });
    client_request r = get(silent.address(), "/");
    r.timeout = 100ms;
    EXPECT_EQ(client.fetch(r).failure, client_failure::timed_out);
    r.path = "/start";
    r.timeout = 1min;
    r.idle_timeout = 100ms;
    const mono_time begin = now();
    EXPECT_EQ(client.fetch(r).failure, client_failure::timed_out);
    EXPECT_LT(now() - begin, 5s);
}

// libcurl by itself repeats a request on a kept connection that closes
// without an answer; the first copy may have been carried out.
TEST(http_client, does_not_send_a_post_twice)
{
    const int listener = listen_on(any_port);
    std::atomic<int> received = 0;
    std::atomic<bool> stop = false;
    std::thread server(
        [&]
        {
            std::string buf(4096, '\0');
            while (!stop)
            {
                const int s = accept(listener, nullptr, nullptr);
                if (s < 0)
                    std::this_thread::sleep_for(1ms);
                while (s >= 0 && recv(s, buf.data(), buf.size(), 0) > 0 &&
                       ++received == 1)
                    send(s, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 38,
                         0);
                close(s);
            }
        });
    http_client client;
    const client_request r = post(local_address(listener), "body");
    EXPECT_EQ(client.fetch(r).failure, client_failure::none);
    EXPECT_EQ(client.fetch(r).failure, client_failure::broken);
    EXPECT_EQ(received, 2);
    stop = true;
    server.join();
    close(listener);
}

TEST(http_client, pauses_and_loses_nothing)
{
    const std::string text(300000, 'y');
    http_server server({any_port},
                       [&](const http_request&, const auto& a) {
                           a->respond({200, {}, text});
                       });
    http_client client;
    std::string body;
    std::atomic<int> refused = 0;
    std::atomic<exchange_number> number = 0;
    absl::Notification done;
    client_hooks hooks = expect_end(client_failure::none, done);
    hooks.body_piece = [&](std::string_view piece)
    {
        if (refused == 0)
        {
            ++refused;
            return false;
        }
        body += piece;
        return true;
    };
    client_request r = get(server.address(), "/");
    r.idle_timeout = 500ms; // Must not run while paused.
    number = client.start(r, hooks);
    ASSERT_TRUE(eventually([&] { return refused == 1; }));
    std::this_thread::sleep_for(800ms);
    EXPECT_FALSE(done.HasBeenNotified());
    client.resume(number);
    done.WaitForNotification();
    EXPECT_EQ(body, text);
}

} // namespace
} // namespace poplar::net
