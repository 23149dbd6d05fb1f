// Guards against a late copy of a refusal that is taken for the answer to the
// next request of its connection, which then is called not run although it ran.
#include "net/http_client.hpp"
#include "net/socket.hpp"

#include <absl/synchronization/mutex.h>
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

std::string make_answer(unsigned status)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nContent-Length: 0\r\n\r\n";
}

/// Answers the first request with `first` and the others with 200. On a
/// connection that carried `first` it writes `first` once more before the next
/// answer.
class repeating_server
{
public:
    repeating_server(std::string first, duration pause)
        : first_(std::move(first)), pause_(pause),
          listener_(listen_on({"127.0.0.1", 0})), acceptor_([this] { run(); })
    {
    }
    ~repeating_server()
    {
        is_stopping_ = true;
        acceptor_.join();
        for (std::thread& it : threads_)
            it.join();
        close(listener_);
    }
    repeating_server(const repeating_server&) = delete;
    repeating_server& operator=(const repeating_server&) = delete;

    ip_address address() const
    {
        return local_address(listener_);
    }
    unsigned connections() const
    {
        return connections_;
    }

private:
    void run()
    {
        while (!is_stopping_)
        {
            const int s = accept(listener_, nullptr, nullptr);
            if (s >= 0)
            {
                ++connections_;
                threads_.emplace_back([this, s] { serve(s); });
            }
            else
                std::this_thread::sleep_for(1ms);
        }
    }

    static void write(int socket, const std::string& bytes)
    {
        ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    void serve(int socket)
    {
        std::string buf(4096, '\0');
        bool has_refused = false;
        while (recv(socket, buf.data(), buf.size(), 0) > 0)
        {
            if (requests_++ == 0)
            {
                has_refused = true;
                write(socket, first_);
                continue;
            }
            if (has_refused)
                write(socket, first_);
            std::this_thread::sleep_for(pause_);
            write(socket, make_answer(200));
        }
        close(socket);
    }

    const std::string first_;
    const duration pause_;
    int listener_;
    std::atomic<bool> is_stopping_ = false;
    std::atomic<unsigned> connections_ = 0;
    std::atomic<unsigned> requests_ = 0;
    std::vector<std::thread> threads_; ///< Used by the acceptor until it ended.
    std::thread acceptor_;
};

struct reuse_case
{
    const char* name;
    std::string first; ///< Answer to the first request.
    unsigned status;   ///< Of the first answer.
    std::chrono::milliseconds pause;
    unsigned connections;
};

class connection_reuse : public testing::TestWithParam<reuse_case>
{
};

TEST_P(connection_reuse, ends_with_an_answer_that_may_come_again)
{
    const reuse_case& c = GetParam();
    repeating_server server(c.first, c.pause);
    http_client client;
    client_request r;
    r.method = "POST";
    r.to = server.address();
    r.body = "body";
    EXPECT_EQ(client.fetch(r).response.status, c.status);
    const client_result result = client.fetch(r);
    EXPECT_EQ(result.failure, client_failure::none) << result.detail;
    EXPECT_EQ(result.response.status, 200U);
    EXPECT_EQ(server.connections(), c.connections);
}

INSTANTIATE_TEST_SUITE_P(
    answers, connection_reuse,
    testing::Values(
        reuse_case{"refused", make_answer(503), 503, 50ms, 2},
        reuse_case{"refused_together", make_answer(503), 503, 0ms, 2},
        reuse_case{"limited", make_answer(429), 429, 50ms, 2},
        reuse_case{"conflict", make_answer(409), 409, 50ms, 2},
        reuse_case{"invalid", make_answer(400), 400, 50ms, 2},
        reuse_case{"after_interim", "HTTP/1.1 102 X\r\n\r\n" + make_answer(503),
                   503, 50ms, 2},
        reuse_case{"success", make_answer(200), 200, 0ms, 1}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::net
