// Guards against answers that are destroyed because their connection is closed
// while bytes of the caller are unread, which resets it.
#include "tests/platform/gateway_fixture.hpp"

#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace poplar::gateway
{
namespace
{

/// How a connection ended, as its caller saw it.
struct caller_view
{
    std::string answer;
    bool is_reset = false; ///< Instead of closed.
    bool failed_to_send = false;
};

/// Small, so that bytes wait in the gateway until the caller reads.
constexpr int receive_buffer_bytes = 2048;

class plain_caller
{
public:
    explicit plain_caller(const ip_address& to)
        : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                   sizeof receive_buffer_bytes);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(to.port);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(connect(socket_, reinterpret_cast<sockaddr*>(&at), sizeof at),
                  0);
    }
    ~plain_caller()
    {
        ::close(socket_);
    }
    plain_caller(const plain_caller&) = delete;
    plain_caller& operator=(const plain_caller&) = delete;

    /// False when the connection ended first.
    bool send(const std::string& bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            const auto n = ::send(socket_, bytes.data() + sent,
                                  bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += std::size_t(n);
        }
        return true;
    }
    /// Reads until the connection ends.
    void read_to_end(caller_view& seen) const
    {
        std::array<char, 4096> buf{};
        ssize_t n = 0;
        while ((n = recv(socket_, buf.data(), buf.size(), 0)) > 0)
            seen.answer.append(buf.data(), std::size_t(n));
        seen.is_reset = n < 0;
    }

private:
    int socket_;
};

struct refusal_case
{
    const char* name;
    std::string head; ///< Without its last empty line.
    std::size_t sent_bytes;
    const char* status;
    std::size_t body_capacity = std::size_t(1) << 30;
    milliseconds send_pause{}; ///< After each sixteenth of the body.
};

class refusal : public gateway_test,
                public testing::WithParamInterface<refusal_case>
{
};

// The kernel reset the connection, since the rest of the request was unread.
TEST_P(refusal, reaches_a_caller_that_reads_after_sending)
{
    const refusal_case& c = GetParam();
    const scripted_upstream u([](const std::string&) -> scripted_answer
                              { return {whole_answer(200, "", "")}; });
    add_upstream("i-1", u.address(), "desk");
    start();
    gateway_settings changed;
    changed.limits.max_body_bytes = byte_count(std::int64_t(c.body_capacity));
    gateway_->apply(changed);
    const plain_caller caller(gateway_->address());
    caller_view seen;
    seen.failed_to_send = !caller.send(c.head + "\r\n");
    const std::string part(c.sent_bytes / 16, 'x');
    for (int n = 0; n < 16 && !seen.failed_to_send; ++n)
    {
        seen.failed_to_send = !caller.send(part);
        std::this_thread::sleep_for(c.send_pause);
    }
    std::this_thread::sleep_for(milliseconds(200));
    caller.read_to_end(seen);
    EXPECT_FALSE(seen.failed_to_send);
    EXPECT_FALSE(seen.is_reset);
    EXPECT_EQ(status_of(seen.answer), c.status);
    EXPECT_EQ(field_of(seen.answer, "Connection"), "close");
    EXPECT_TRUE(seen.answer.ends_with("\r\n\r\n")) << seen.answer;
}

std::string post_head(const std::string& fields)
{
    return "POST /safe/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\n"
           "Deadline-Ms: 3000\r\n" +
           fields;
}

INSTANTIATE_TEST_SUITE_P(
    kinds, refusal,
    testing::Values(
        refusal_case{"large_body", post_head("Content-Length: 2097152\r\n"),
                     2 << 20, "413"},
        refusal_case{"large_body_sent_slowly",
                     post_head("Content-Length: 2097152\r\n"), 2 << 20, "413",
                     1 << 30, milliseconds(30)},
        refusal_case{"large_chunked_body",
                     post_head("Transfer-Encoding: chunked\r\n\r\n200000"),
                     2 << 20, "413", 1 << 30, milliseconds(30)},
        refusal_case{"no_capacity_for_bodies",
                     post_head("Content-Length: 90000\r\n"), 90000, "503", 1000,
                     milliseconds(30)},
        refusal_case{"large_header",
                     post_head("Content-Length: 65536\r\nX: " +
                               std::string(9000, 'x') + "\r\n"),
                     65536, "431", 1 << 30, milliseconds(30)},
        refusal_case{"ambiguous_length",
                     post_head("Content-Length: 65536\r\n"
                               "Transfer-Encoding: chunked\r\n"),
                     65536, "400", 1 << 30, milliseconds(30)}),
    [](const auto& it) { return it.param.name; });

struct close_case
{
    const char* name;
    const char* fields;
    bool is_stream;
};

class last_answer : public gateway_test,
                    public testing::WithParamInterface<close_case>
{
};

constexpr std::size_t answer_bytes = std::size_t(1) << 20;

// Bytes of a further request waited unread when the connection was closed.
TEST_P(last_answer, reaches_a_caller_that_has_sent_more)
{
    const close_case& c = GetParam();
    const scripted_upstream u(
        [](const std::string& head) -> scripted_answer
        {
            if (head.starts_with("GET /kv-list"))
                return {whole_answer(404, "", "")};
            const std::string id = field_of(head, "Attempt-Id");
            const std::string text(answer_bytes, 'x');
            if (head.starts_with("GET /stream/"))
                return {stream_head(id) +
                        chunk("data: " + text.substr(0, 500000) + "\n\n") +
                        chunk("data: " + text.substr(0, 500000) + "\n\n") +
                        "0\r\n\r\n"};
            return {whole_answer(200, id, text + "end of answer")};
        });
    add_upstream("i-1", u.address(), "desk");
    add_upstream("i-2", u.address(), "writers", "decode");
    start();
    const plain_caller caller(gateway_->address());
    std::string first =
        c.is_stream ? prompt_request("1") : request("/safe/x", "1", c.fields);
    if (c.is_stream)
        first.insert(first.size() - 2, c.fields);
    caller.send(first);
    // More than is buffered while a request is served.
    std::string more;
    for (int n = 2; more.size() < (256 << 10); ++n)
        more += request("/safe/x", std::to_string(n));
    caller.send(more);
    std::this_thread::sleep_for(milliseconds(200));
    caller_view seen;
    caller.read_to_end(seen);
    EXPECT_FALSE(seen.is_reset);
    EXPECT_EQ(status_of(seen.answer), "200");
    EXPECT_TRUE(
        seen.answer.ends_with(c.is_stream ? "0\r\n\r\n" : "end of answer"))
        << seen.answer.size();
}

INSTANTIATE_TEST_SUITE_P(
    kinds, last_answer,
    testing::Values(close_case{"call", "Connection: close\r\n", false},
                    close_case{"stream", "Connection: close\r\n", true}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::gateway
