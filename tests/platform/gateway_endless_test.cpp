// Guards against faulty upstreams that occupy memory, a connection or a caller
// for as long as they send: an endless answer, or single bytes at long
// intervals.
#include "tests/platform/gateway_fixture.hpp"

namespace poplar::gateway
{
namespace
{

/// Maximum number of bytes of an answer that a gateway reads before it aborts
/// the call, including what the socket buffers hold.
constexpr std::size_t max_sent_bytes = std::size_t(24) << 20;

struct endless_case
{
    const char* name;
    const char* begin; ///< %ID% stands for the id of the request.
    const char* piece;
    std::size_t piece_size;
};

class endless_answer : public gateway_test,
                       public testing::WithParamInterface<endless_case>
{
protected:
    static std::string with_id(std::string text, const std::string& id)
    {
        const auto at = text.find("%ID%");
        return at == std::string::npos ? text : text.replace(at, 4, id);
    }
    static scripted_answer answer(const std::string& head)
    {
        std::string piece;
        while (piece.size() < GetParam().piece_size)
            piece += GetParam().piece;
        return {.bytes =
                    with_id(GetParam().begin, field_of(head, "Attempt-Id")),
                .pieces = {piece},
                .repeats_last_piece = true};
    }
};

// The request may have been executed, so the caller must get neither a success
// nor a statement that it was not executed. The connection is closed long
// before the deadline.
TEST_P(endless_answer, ends_the_attempt_and_its_connection)
{
    scripted_upstream u(
        [](const std::string& head) -> scripted_answer
        {
            if (head.starts_with("GET /kv-list"))
                return {whole_answer(404, "", "")};
            return answer(head);
        });
    const bool is_stream =
        std::string_view(GetParam().begin).find("event-stream") !=
        std::string_view::npos;
    add_upstream("i-1", u.address(), is_stream ? "writers" : "desk",
                 is_stream ? "decode" : "");
    start();
    const mono_time began = now();
    scripted_caller c(gateway_->address());
    c.send(is_stream ? prompt_request("77") : request("/once/x", "77"));
    const std::string text = c.read_until("\r\n\r\n", seconds(4));
    EXPECT_EQ(status_of(text), "502");
    EXPECT_LT(now() - began, milliseconds(1500));
    std::size_t sent = u.sent_piece_bytes();
    for (int i = 0; i < 50 && sent != 0; ++i)
    {
        std::this_thread::sleep_for(milliseconds(20));
        const std::size_t more = u.sent_piece_bytes();
        if (more == sent)
            break;
        sent = more;
    }
    EXPECT_EQ(u.sent_piece_bytes(), sent) << "still being read";
    EXPECT_LT(sent, max_sent_bytes);
}

INSTANTIATE_TEST_SUITE_P(
    places, endless_answer,
    testing::Values(
        endless_case{"no_answer", "", "\x01\x02 garbage ", 4000},
        endless_case{"line", "HTTP/1.1 200 ", "O", 4000},
        endless_case{"fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n", 4000},
        endless_case{"interim", "", "HTTP/1.1 100 Continue\r\n\r\n", 50},
        endless_case{
            "body",
            "HTTP/1.1 200 OK\r\nAttempt-Id: %ID%\r\nResponse-Seal: s\r\n\r\n",
            "x", 60000},
        endless_case{"chunks",
                     "HTTP/1.1 200 OK\r\nAttempt-Id: %ID%\r\n"
                     "Response-Seal: s\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n",
                     "10\r\n0123456789abcdef\r\n", 60000},
        endless_case{"chunk_extension",
                     "HTTP/1.1 200 OK\r\nAttempt-Id: %ID%\r\n"
                     "Response-Seal: s\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n4;",
                     "x", 60000},
        endless_case{"trailer",
                     "HTTP/1.1 200 OK\r\nAttempt-Id: %ID%\r\n"
                     "Response-Seal: s\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                     "A: b\r\n", 60000},
        endless_case{"other_answer",
                     "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n\r\n", "x",
                     60000},
        endless_case{"event",
                     "HTTP/1.1 200 OK\r\nAttempt-Id: %ID%\r\n"
                     "Response-Seal: s\r\n"
                     "Content-Type: text/event-stream\r\n\r\ndata: ",
                     "x", 60000}),
    [](const auto& it) { return it.param.name; });

scripted_answer events_of(const std::string& head, unsigned from, unsigned to)
{
    scripted_answer a{stream_head(field_of(head, "Attempt-Id"))};
    for (unsigned n = from; n <= to; ++n)
        a.bytes += chunk("id: " + std::to_string(n) + "\n\n");
    return a;
}

// Single bytes at long intervals do not count as progress: the stream is
// resumed at another engine while its caller still waits.
TEST_F(gateway_test, resumes_a_stream_whose_next_event_does_not_end)
{
    scripted_upstream trickling(
        [](const std::string& head) -> scripted_answer
        {
            if (head.starts_with("GET /kv-list"))
                return {whole_answer(404, "", "")};
            scripted_answer a = events_of(head, 1, 2);
            a.pieces = {chunk("d")};
            a.pause = milliseconds(100);
            a.repeats_last_piece = true;
            return a;
        });
    scripted_upstream other(
        [](const std::string& head) -> scripted_answer
        {
            if (head.starts_with("GET /kv-list"))
                return {whole_answer(404, "", "")};
            const std::string last = field_of(head, "Last-Event-Id");
            scripted_answer a = events_of(
                head, last.empty() ? 1 : unsigned(std::stoul(last)) + 1, 4);
            a.bytes += "0\r\n\r\n";
            return a;
        });
    json config = configuration_json(1);
    for (json& it : config["routes"])
        it["timeoutMs"] = 5000;
    put("config/main", config);
    add_upstream("i-1", trickling.address(), "writers", "decode");
    start_without_configuration();
    wait_until_ready();
    scripted_caller c(gateway_->address());
    std::string text = prompt_request("77");
    text.replace(text.find("Deadline-Ms: 3000"), 17, "Deadline-Ms: 5000");
    c.send(text);
    EXPECT_NE(c.read_until("id: 2\n\n").find("id: 2"), std::string::npos);
    add_upstream("i-2", other.address(), "writers", "decode");
    // Callers disconnect after two seconds without an event.
    const std::string rest = c.read_until("0\r\n\r\n", seconds(2));
    EXPECT_NE(rest.find("id: 3\n\n"), std::string::npos);
    EXPECT_NE(rest.find("id: 4\n\n"), std::string::npos);
    EXPECT_TRUE(rest.ends_with("0\r\n\r\n"));
    EXPECT_EQ(trickling.abandoned_connections() + other.abandoned_connections(),
              0U);
}

// A stream whose events arrive within the gap that its route allows is never
// aborted, regardless of its duration and of how its bytes are split.
TEST_F(gateway_test, never_cuts_a_slow_stream_that_is_sound)
{
    constexpr unsigned events = 75;
    scripted_upstream slow(
        [](const std::string& head) -> scripted_answer
        {
            if (head.starts_with("GET /kv-list"))
                return {whole_answer(404, "", "")};
            scripted_answer a = events_of(head, 1, 1);
            for (unsigned n = 2; n <= events; ++n)
            {
                a.pieces.push_back(chunk("id: " + std::to_string(n)));
                a.pieces.push_back(chunk("\n\n"));
            }
            a.pieces.emplace_back("0\r\n\r\n");
            a.pause = milliseconds(400);
            return a;
        });
    json config = configuration_json(1);
    for (json& it : config["routes"])
    {
        it["timeoutMs"] = 90'000;
        it["gapTargetMs"] = 1000;
    }
    put("config/main", config);
    add_upstream("i-1", slow.address(), "writers", "decode");
    add_upstream("i-2", slow.address(), "writers", "decode");
    start_without_configuration();
    wait_until_ready();
    scripted_caller c(gateway_->address());
    std::string text = prompt_request("77");
    text.replace(text.find("Deadline-Ms: 3000"), 17, "Deadline-Ms: 90000");
    c.send(text);
    const std::string answer = c.read_until("0\r\n\r\n", seconds(80));
    EXPECT_NE(answer.find("id: 75\n\n"), std::string::npos);
    EXPECT_TRUE(answer.ends_with("0\r\n\r\n"));
    EXPECT_EQ(std::ranges::count_if(slow.heads(), [](const std::string& it)
                                    { return it.starts_with("GET /stream/"); }),
              1);
}

} // namespace
} // namespace poplar::gateway
