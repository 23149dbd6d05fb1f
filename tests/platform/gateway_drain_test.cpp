// Guards against whole requests that get no whole answer around the SIGTERM of
// their gateway.
#include "tests/platform/gateway_fixture.hpp"

#include <list>

namespace poplar::gateway
{
namespace
{

/// Longer than the drain limit of the fixture.
constexpr duration unanswered = seconds(4);

scripted_answer hang(const std::string& head)
{
    if (head.starts_with("GET /kv-list"))
        return {whole_answer(404, "", "")};
    return {.bytes = "", .delay = unanswered};
}

std::size_t requests_at(const scripted_upstream& u)
{
    return std::size_t(
        std::ranges::count_if(u.heads(), [](const std::string& head)
                              { return !head.starts_with("GET /kv-list"); }));
}

struct open_request_case
{
    const char* name;
    const char* service;
    std::vector<const char*> stages; ///< Of the upstreams, which all hang.
    const char* path;
    const char* tokens; ///< Of a prompt; empty for a call.
    const char* status;
};

class open_request : public gateway_test,
                     public testing::WithParamInterface<open_request_case>
{
protected:
    void begin_shutdown()
    {
        shutdown_ = std::thread(
            [this]
            {
                gateway_->drain();
                gateway_.reset();
            });
    }
    void TearDown() override
    {
        if (shutdown_.joinable())
            shutdown_.join();
    }
    static std::string bytes_of(const open_request_case& c,
                                const std::string& id)
    {
        const std::string tokens = c.tokens;
        return request(c.path, id,
                       tokens.empty()
                           ? ""
                           : "Model: m\r\nToken-Count: " + tokens +
                                 ",20\r\nPrompt-Prefix: aa:" + tokens + "\r\n");
    }

    std::thread shutdown_;
};

// Requests still open at the drain limit had their connections closed.
TEST_P(open_request, is_answered_at_the_drain_limit)
{
    const open_request_case& c = GetParam();
    scripted_upstream u(hang);
    for (std::size_t i = 0; i < c.stages.size(); ++i)
        add_upstream("i-" + std::to_string(i), u.address(), c.service,
                     c.stages[i]);
    start();
    scripted_caller caller(gateway_->address());
    caller.send(bytes_of(c, "1"));
    while (requests_at(u) == 0)
        std::this_thread::sleep_for(milliseconds(5));
    begin_shutdown();
    const std::string answer = caller.read_until("\r\n\r\n");
    EXPECT_EQ(status_of(answer), c.status);
    EXPECT_EQ(field_of(answer, "Attempt-Id"), "1");
    EXPECT_EQ(field_of(answer, "Connection"), "close");
}

INSTANTIATE_TEST_SUITE_P(
    kinds, open_request,
    testing::Values(
        open_request_case{"safe", "desk", {""}, "/safe/x", "", "502"},
        open_request_case{"once", "desk", {""}, "/once/x", "", "502"},
        open_request_case{
            "stream", "writers", {"decode"}, "/stream/x", "100", "502"},
        open_request_case{"split_stream",
                          "writers",
                          {"prefill", "decode"},
                          "/stream/x",
                          "6000",
                          "503"}),
    [](const auto& it) { return it.param.name; });

// A prompt waits for blocks whose prefill for another request is in progress.
TEST_F(gateway_test, refuses_a_prompt_that_waits_for_blocks_when_it_ends)
{
    scripted_upstream u(hang);
    add_upstream("i-1", u.address(), "writers", "decode");
    start();
    const auto send = [this](const std::string& id)
    {
        auto caller = std::make_unique<scripted_caller>(gateway_->address());
        caller->send(request("/stream/x", id,
                             "Model: m\r\nToken-Count: 8100,20\r\n"
                             "Prompt-Prefix: aa:8000,b" +
                                 id + ":100\r\n"));
        return caller;
    };
    const auto first = send("1");
    while (requests_at(u) == 0)
        std::this_thread::sleep_for(milliseconds(5));
    const auto waiting = send("2");
    std::this_thread::sleep_for(milliseconds(50));
    gateway_.reset();
    EXPECT_EQ(status_of(waiting->read_until("\r\n\r\n")), "503");
    EXPECT_EQ(status_of(first->read_until("\r\n\r\n")), "502");
    EXPECT_EQ(requests_at(u), 1U);
}

enum class engine_fault
{
    none,
    silence,   ///< Longer than three quarters of the callers' patience.
    break_off, ///< Without the end of the stream.
    removal    ///< Its entry is removed while it goes on.
};

struct open_stream_case
{
    const char* name;
    engine_fault fault;
    unsigned other_status; ///< Answer of the other engine; 0: there is none.
};

class open_stream : public gateway_test,
                    public testing::WithParamInterface<open_stream_case>
{
protected:
    /// The second event comes 1.7 s after the first one.
    static scripted_answer stream_of(engine_fault fault,
                                     const std::string& head)
    {
        if (head.starts_with("GET /kv-list"))
            return {whole_answer(404, "", "")};
        const std::string id = field_of(head, "Attempt-Id");
        scripted_answer a{stream_head(id) + chunk("id: 1\n\n")};
        if (fault == engine_fault::silence)
        {
            a.pause = milliseconds(1700);
            a.pieces = {chunk("id: 2\n\n") + "0\r\n\r\n"};
            return a;
        }
        a.pause = milliseconds(340);
        a.pieces.assign(4, chunk(": wait\n\n"));
        a.pieces.push_back(fault == engine_fault::break_off
                               ? "1"
                               : chunk("id: 2\n\n") + "0\r\n\r\n");
        a.closes = true;
        return a;
    }
    static scripted_answer other_answer(unsigned status,
                                        const std::string& head)
    {
        if (head.starts_with("GET /kv-list"))
            return {whole_answer(404, "", "")};
        const std::string id = field_of(head, "Attempt-Id");
        if (status == 503)
            return {whole_answer(503, id, "", "Not-Executed: 1\r\n")};
        if (status != 200)
            return {whole_answer(status, id, "")};
        return {stream_head(id) + chunk("id: 2\n\n") + "0\r\n\r\n"};
    }
};

// SIGTERM comes 0.6 s after the first event, the refusal of new requests 0.9 s
// after it.
TEST_P(open_stream, ends_whole_while_its_gateway_shuts_down)
{
    const open_stream_case& c = GetParam();
    scripted_upstream u([&c](const std::string& head)
                        { return stream_of(c.fault, head); });
    scripted_upstream other([&c](const std::string& head)
                            { return other_answer(c.other_status, head); });
    add_upstream("i-1", u.address(), "writers", "decode");
    start();
    scripted_caller caller(gateway_->address());
    caller.send(prompt_request("1"));
    std::string answer = caller.read_until("id: 1\n\n");
    if (c.other_status > 0)
        add_upstream("i-2", other.address(), "writers", "decode");
    std::this_thread::sleep_for(milliseconds(600));
    if (c.fault == engine_fault::removal)
        store_.remove(object_key("servers/i-1"),
                      store_.get(object_key("servers/i-1")).version);
    std::thread shutdown(
        [this]
        {
            gateway_->drain();
            gateway_.reset();
        });
    answer += caller.read_until("0\r\n\r\n");
    shutdown.join();
    EXPECT_TRUE(answer.ends_with("0\r\n\r\n")) << answer;
    EXPECT_NE(answer.find("id: 2\n\n"), std::string::npos) << answer;
}

INSTANTIATE_TEST_SUITE_P(
    engines, open_stream,
    testing::Values(
        open_stream_case{"sound", engine_fault::none, 0},
        open_stream_case{"removed", engine_fault::removal, 200},
        open_stream_case{"broken_off_and_resumed", engine_fault::break_off,
                         200},
        open_stream_case{"silent_alone", engine_fault::silence, 0},
        open_stream_case{"silent_other_rejects", engine_fault::silence, 503},
        open_stream_case{"silent_other_fails", engine_fault::silence, 500},
        open_stream_case{"silent_and_resumed", engine_fault::silence, 200}),
    [](const auto& it) { return it.param.name; });

class gateway_stop : public gateway_test,
                     public testing::WithParamInterface<bool>
{
};

// The answer to a request said that its connection closes, and the request that
// had been read behind it got none.
TEST_P(gateway_stop, answers_requests_that_were_sent_behind_an_open_one)
{
    scripted_upstream u(
        [](const std::string& head) -> scripted_answer
        {
            const std::string id = field_of(head, "Attempt-Id");
            if (head.starts_with("GET /kv-list"))
                return {whole_answer(404, "", "")};
            if (head.starts_with("GET /stream/"))
                return {.bytes =
                            stream_head(id) + chunk("id: 1\n\n") + "0\r\n\r\n",
                        .delay = milliseconds(600)};
            return {.bytes = whole_answer(200, id, "end of answer"),
                    .delay = milliseconds(600)};
        });
    add_upstream("i-1", u.address(), "desk");
    add_upstream("i-2", u.address(), "writers", "decode");
    start();
    scripted_caller caller(gateway_->address());
    caller.send(GetParam() ? prompt_request("1") : request("/once/x", "1"));
    while (requests_at(u) == 0)
        std::this_thread::sleep_for(milliseconds(5));
    caller.send(request("/once/x", "2"));
    std::thread shutdown(
        [this]
        {
            gateway_->drain();
            gateway_.reset();
        });
    const std::string answers = caller.read_until("Attempt-Id: 2\r\n");
    shutdown.join();
    EXPECT_EQ(status_of(answers), "200");
    EXPECT_NE(answers.find("HTTP/1.1 503"), std::string::npos) << answers;
    EXPECT_EQ(requests_at(u), 1U);
}

INSTANTIATE_TEST_SUITE_P(kinds, gateway_stop, testing::Bool(),
                         [](const auto& it)
                         { return it.param ? "stream" : "call"; });

// Connections that wait to be accepted were reset with their requests.
TEST_F(gateway_test, answers_callers_that_wait_to_be_accepted_when_it_ends)
{
    scripted_upstream u(hang);
    add_upstream("i-1", u.address(), "desk");
    start();
    gateway_->drain();
    gateway_settings changed;
    changed.limits.max_callers = 0;
    gateway_->apply(changed);
    // Its refusal pauses the accepting of callers for 50 ms.
    scripted_caller rejected(gateway_->address());
    std::this_thread::sleep_for(milliseconds(10));
    changed.limits.max_callers = 100;
    gateway_->apply(changed);
    std::list<scripted_caller> waiting;
    for (const char* id : {"1", "2", "3"})
    {
        waiting.emplace_back(gateway_->address());
        waiting.back().send(request("/once/x", id));
    }
    gateway_.reset();
    for (scripted_caller& it : waiting)
        EXPECT_EQ(status_of(it.read_until("\r\n\r\n")), "503");
}

// A session counted as idle, and was closed, while a request waited to be read.
TEST(caller_session, is_not_idle_while_a_request_waits_to_be_read)
{
    asio::io_context loop;
    gateway_settings settings;
    settings.peer = {"127.0.0.1", 0};
    gateway_state state(loop, settings, {});
    asio::ip::tcp::acceptor listener(loop,
                                     {asio::ip::make_address("127.0.0.1"), 0});
    scripted_caller caller({"127.0.0.1", listener.local_endpoint().port()});
    const auto session =
        std::make_shared<caller_session>(state, listener.accept());
    EXPECT_TRUE(session->is_idle());
    caller.send("GET /");
    const mono_time deadline = now() + seconds(2);
    while (session->is_idle() && now() < deadline)
        std::this_thread::sleep_for(milliseconds(5));
    EXPECT_FALSE(session->is_idle());
    session->close();
    EXPECT_TRUE(session->is_idle());
}

} // namespace
} // namespace poplar::gateway
