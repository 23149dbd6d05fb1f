// Guards against an answer that breaks off and is reported as complete, such as
// a 404 of the store that is then taken for a missing object.
#include "net/http_client.hpp"
#include "net/socket.hpp"

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <array>
#include <atomic>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace poplar::net
{
namespace
{

using namespace std::chrono_literals;

/// Answers the first request of each connection, then closes it.
class closing_server
{
public:
    closing_server()
        : listener_(listen_on({"127.0.0.1", 0})), thread_([this] { run(); })
    {
    }
    ~closing_server()
    {
        is_stopping_ = true;
        thread_.join();
        close(listener_);
    }
    closing_server(const closing_server&) = delete;
    closing_server& operator=(const closing_server&) = delete;

    ip_address address() const
    {
        return local_address(listener_);
    }
    /// Not while a connection is open.
    void answer_with(std::string bytes)
    {
        absl::MutexLock lock(&mutex_);
        bytes_ = std::move(bytes);
    }

private:
    void run()
    {
        while (!is_stopping_)
        {
            pollfd p{listener_, POLLIN, 0};
            const bool has_connection = poll(&p, 1, 10) > 0;
            if (const int s =
                    has_connection ? accept(listener_, nullptr, nullptr) : -1;
                s >= 0)
                serve(s);
        }
    }

    void serve(int socket)
    {
        absl::MutexLock lock(&mutex_);
        std::array<char, 4096> buf{};
        pollfd p{socket, POLLIN, 0};
        if (poll(&p, 1, 1000) > 0 &&
            recv(socket, buf.data(), buf.size(), 0) > 0)
            ::send(socket, bytes_.data(), bytes_.size(), MSG_NOSIGNAL);
        close(socket);
    }

    int listener_;
    std::atomic<bool> is_stopping_ = false;
    absl::Mutex mutex_;
    std::string bytes_ ABSL_GUARDED_BY(mutex_);
    std::thread thread_;
};

struct answer_case
{
    const char* name;
    const char* framing; ///< Fields that give the length of the body.
    const char* body;
    /// Bytes at the end without which the body is whole: all when it ends with
    /// the connection, one for libcurl, which ends chunks at the last CR.
    std::size_t spare_bytes;
};

constexpr std::array<answer_case, 4> answers{
    {{"length", "Content-Length: 4\r\n", "body", 0},
     {"no_body", "Content-Length: 0\r\n", "", 0},
     {"chunked", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", 1},
     {"until_close", "Connection: close\r\n", "body", 4}}};

/// Every prefix of an answer, so that it is cut within each of its parts.
using cut_case = std::tuple<answer_case, const char*, unsigned, bool>;

class broken_off_answer : public testing::TestWithParam<cut_case>
{
};

std::string name_of(const testing::TestParamInfo<cut_case>& it)
{
    const auto& [c, method, status, in_pieces] = it.param;
    return std::string(c.name) + "_" + method + "_" + std::to_string(status) +
           (in_pieces ? "_in_pieces" : "");
}

/// A client and its server.
class exchange_pair
{
public:
    client_result fetch(const std::string& answer, const std::string& method)
    {
        return client_.fetch(make_request(answer, method));
    }

    /// Takes the body as it arrives.
    client_result fetch_in_pieces(const std::string& answer,
                                  const std::string& method)
    {
        client_result result;
        std::string body;
        absl::Notification ended;
        client_.start(make_request(answer, method), {[&](std::string_view piece)
                                                     {
                                                         body += piece;
                                                         return true;
                                                     },
                                                     [&](client_result it)
                                                     {
                                                         result = std::move(it);
                                                         ended.Notify();
                                                     }});
        ended.WaitForNotification();
        result.response.body = body;
        return result;
    }

private:
    client_request make_request(const std::string& answer,
                                const std::string& method)
    {
        server_.answer_with(answer);
        client_request r;
        r.method = method;
        r.to = server_.address();
        r.timeout = 2s;
        r.fresh_connection = true;
        return r;
    }

    closing_server server_;
    http_client client_;
};

TEST_P(broken_off_answer, is_a_failure_at_every_byte)
{
    const auto& [c, method, status, in_pieces] = GetParam();
    const std::string head = "HTTP/1.1 " + std::to_string(status) +
                             " Some Reason\r\nX-Field: value\r\n" + c.framing +
                             "\r\n";
    const std::string whole = head + c.body;
    exchange_pair pair;
    for (std::size_t n = 0; n <= whole.size(); ++n)
    {
        const bool is_whole = n + c.spare_bytes >= whole.size();
        const std::string sent = whole.substr(0, n);
        const client_result r = in_pieces ? pair.fetch_in_pieces(sent, method)
                                          : pair.fetch(sent, method);
        EXPECT_EQ(r.failure,
                  is_whole ? client_failure::none : client_failure::broken)
            << "cut after " << testing::PrintToString(sent) << ": " << r.detail;
        EXPECT_TRUE(!is_whole || r.response.status == status);
        EXPECT_TRUE(n >= head.size() || r.response.body.empty())
            << r.response.body;
    }
}

INSTANTIATE_TEST_SUITE_P(
    cuts, broken_off_answer,
    testing::Combine(testing::ValuesIn(answers),
                     testing::Values("GET", "POST", "DELETE"),
                     testing::Values(200U, 404U, 503U), testing::Bool()),
    name_of);

struct head_only_case
{
    const char* name;
    const char* method;
    std::string bytes;
    client_failure failure;
    unsigned status;
};

class head_only_answer : public testing::TestWithParam<head_only_case>
{
};

TEST_P(head_only_answer, is_complete_after_its_empty_line)
{
    const head_only_case& c = GetParam();
    const client_result r = exchange_pair().fetch(c.bytes, c.method);
    EXPECT_EQ(r.failure, c.failure) << r.detail;
    EXPECT_TRUE(c.failure != client_failure::none ||
                r.response.status == c.status)
        << r.response.status;
}

const std::string interim = "HTTP/1.1 102 Processing\r\nX: y\r\n\r\n";
const std::string length = "Content-Length: 4\r\n";

INSTANTIATE_TEST_SUITE_P(
    answers, head_only_answer,
    testing::Values(
        head_only_case{"no_content", "POST", "HTTP/1.1 204 X\r\nX: y\r\n\r\n",
                       client_failure::none, 204},
        head_only_case{"no_content_cut", "POST", "HTTP/1.1 204 X\r\nX: y\r\n",
                       client_failure::broken, 0},
        head_only_case{"not_modified_cut", "GET", "HTTP/1.1 304 X\r\nX: y\r\n",
                       client_failure::broken, 0},
        head_only_case{"head", "HEAD", "HTTP/1.1 200 X\r\n" + length + "\r\n",
                       client_failure::none, 200},
        head_only_case{"head_cut", "HEAD", "HTTP/1.1 200 X\r\n" + length,
                       client_failure::broken, 0},
        head_only_case{"interim_only", "POST", interim, client_failure::broken,
                       0},
        head_only_case{"interim_cut", "POST", "HTTP/1.1 102 X\r\nX: y\r\n",
                       client_failure::broken, 0},
        head_only_case{"cut_after_interim", "POST",
                       interim + "HTTP/1.1 200 X\r\n" + length,
                       client_failure::broken, 0},
        head_only_case{"whole_after_interim", "POST",
                       interim + "HTTP/1.1 200 X\r\n" + length + "\r\nbody",
                       client_failure::none, 200},
        head_only_case{"bare_line_ends", "GET",
                       "HTTP/1.1 200 X\nContent-Length: 4\n\nbody",
                       client_failure::none, 200}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::net
