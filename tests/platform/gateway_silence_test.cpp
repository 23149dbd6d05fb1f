// Guards against requests that are given up at an upstream that falls silent
// for a moment and goes on, although no other upstream takes them over.
#include "tests/platform/gateway_fixture.hpp"

#include <list>

namespace poplar::gateway
{
namespace
{

/// Longer than three quarters of the callers' patience of 2 s, after which the
/// gateway looks for another engine.
constexpr duration silence = milliseconds(1700);

enum class other_upstream
{
    none,
    rejects, ///< Refuses requests as not executed.
    hangs,   ///< Accepts requests and never answers.
    serves
};

enum class framing
{
    chunked,
    until_close
};

struct silence_case
{
    const char* name;
    other_upstream other;
    framing stream_framing;
    unsigned streams; ///< A gateway starts with a budget of three retries.
};

scripted_answer answer_of(other_upstream other, const std::string& head)
{
    const std::string id = field_of(head, "Attempt-Id");
    if (head.starts_with("GET /kv-list"))
        return {whole_answer(404, "", "")};
    if (other == other_upstream::rejects)
        return {whole_answer(503, id, "", "Not-Executed: 1\r\n")};
    if (other == other_upstream::hangs)
        return {.bytes = "", .delay = seconds(5)};
    if (head.starts_with("GET /safe/"))
        return {whole_answer(200, id, "end of answer")};
    const bool resumes = field_of(head, "Last-Event-Id") == "1";
    return {stream_head(id) + (resumes ? "" : chunk("id: 1\n\n")) +
            chunk("id: 2\n\n") + "0\r\n\r\n"};
}

/// Sends one event and goes on after the silence.
scripted_answer silent_stream(framing f, const std::string& head)
{
    if (head.starts_with("GET /kv-list"))
        return {whole_answer(404, "", "")};
    const std::string id = field_of(head, "Attempt-Id");
    scripted_answer a;
    a.pause = silence;
    if (f == framing::chunked)
    {
        a.bytes = stream_head(id) + chunk("id: 1\n\n");
        a.pieces = {chunk("id: 2\n\n") + "0\r\n\r\n"};
        return a;
    }
    a.bytes = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
              "\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n"
              "id: 1\n\n";
    a.pieces = {"id: 2\n\n"};
    a.closes = true;
    return a;
}

class silent_engine : public gateway_test,
                      public testing::WithParamInterface<silence_case>
{
};

TEST_P(silent_engine, finishes_the_streams_that_no_other_engine_resumes)
{
    const silence_case& c = GetParam();
    scripted_upstream silent([&c](const std::string& head)
                             { return silent_stream(c.stream_framing, head); });
    scripted_upstream other([&c](const std::string& head)
                            { return answer_of(c.other, head); });
    add_upstream("i-1", silent.address(), "writers", "decode");
    start();
    std::list<scripted_caller> callers;
    for (unsigned i = 0; i < c.streams; ++i)
    {
        callers.emplace_back(gateway_->address());
        callers.back().send(prompt_request("7" + std::to_string(i)));
    }
    for (scripted_caller& it : callers)
        EXPECT_NE(it.read_until("id: 1\n\n").find("id: 1\n\n"),
                  std::string::npos);
    if (c.other != other_upstream::none)
        add_upstream("i-2", other.address(), "writers", "decode");
    for (scripted_caller& it : callers)
        EXPECT_EQ(it.read_until("0\r\n\r\n", seconds(3)),
                  chunk("id: 2\n\n") + "0\r\n\r\n");
}

INSTANTIATE_TEST_SUITE_P(
    fleets, silent_engine,
    testing::Values(
        silence_case{"alone", other_upstream::none, framing::chunked, 1},
        silence_case{"alone_unframed", other_upstream::none,
                     framing::until_close, 1},
        silence_case{"other_rejects", other_upstream::rejects, framing::chunked,
                     1},
        silence_case{"other_hangs", other_upstream::hangs, framing::chunked, 1},
        silence_case{"more_streams_than_retries", other_upstream::serves,
                     framing::chunked, 6},
        silence_case{"more_rejected_streams_than_retries",
                     other_upstream::rejects, framing::until_close, 6}),
    [](const auto& it) { return it.param.name; });

class overtaken_calls : public gateway_test,
                        public testing::WithParamInterface<silence_case>
{
};

// A later call that is answered first makes the earlier ones count as stalled;
// each of them gave up its upstream by the same last retries of the budget.
TEST_P(overtaken_calls, are_answered_when_no_retry_is_left)
{
    const silence_case& c = GetParam();
    scripted_upstream silent(
        [](const std::string& head) -> scripted_answer
        {
            const std::string id = field_of(head, "Attempt-Id");
            return {.bytes = whole_answer(200, id, "end of answer"),
                    .delay = id == "later" ? duration{} : milliseconds(1200)};
        });
    scripted_upstream other([&c](const std::string& head)
                            { return answer_of(c.other, head); });
    add_upstream("i-1", silent.address(), "desk");
    start();
    std::list<scripted_caller> callers;
    for (unsigned i = 0; i < c.streams; ++i)
    {
        callers.emplace_back(gateway_->address());
        callers.back().send(request("/safe/x", std::to_string(i)));
    }
    std::this_thread::sleep_for(milliseconds(500));
    scripted_caller later(gateway_->address());
    later.send(request("/safe/x", "later"));
    EXPECT_EQ(status_of(later.read_until("end of answer")), "200");
    if (c.other != other_upstream::none)
        add_upstream("i-2", other.address(), "desk");
    for (scripted_caller& it : callers)
        EXPECT_EQ(status_of(it.read_until("end of answer", seconds(2))), "200");
}

INSTANTIATE_TEST_SUITE_P(
    fleets, overtaken_calls,
    testing::Values(silence_case{"alone", other_upstream::none,
                                 framing::chunked, 1},
                    silence_case{"more_calls_than_retries",
                                 other_upstream::serves, framing::chunked, 6}),
    [](const auto& it) { return it.param.name; });

class overtaken_decodes : public gateway_test
{
protected:
    static std::string long_prompt(const std::string& id)
    {
        return request("/stream/x", id,
                       "Model: m\r\nToken-Count: 6000,20\r\n"
                       "Prompt-Prefix: aa" +
                           id + ":4000,bb" + id + ":2000\r\n");
    }

    static scripted_answer answer(const std::string& head, duration delay)
    {
        const std::string id = field_of(head, "Attempt-Id");
        if (head.starts_with("GET /kv-list"))
            return {whole_answer(404, "", "")};
        if (field_of(head, "Serving-Stage") == "prefill")
            return {whole_answer(200, id, R"({"kvHandle":"h"})")};
        return {.bytes = stream_head(id) + chunk("id: 1\n\n") + "0\r\n\r\n",
                .delay = delay};
    }
};

// A decode call was given up for one retry, but its prefill needs another one,
// which was no longer there: the caller got 502.
TEST_F(overtaken_decodes, are_answered_when_no_retry_is_left_for_the_prefill)
{
    scripted_upstream reader([](const std::string& head)
                             { return answer(head, {}); });
    scripted_upstream slow(
        [](const std::string& head)
        {
            const bool is_later = field_of(head, "Attempt-Id") == "9";
            return answer(head, milliseconds(is_later ? 300 : 1200));
        });
    scripted_upstream other([](const std::string& head)
                            { return answer(head, {}); });
    add_upstream("i-1", slow.address(), "writers", "decode");
    add_upstream("read", reader.address(), "writers", "prefill");
    start();
    std::list<scripted_caller> callers;
    for (int i = 0; i < 3; ++i)
    {
        callers.emplace_back(gateway_->address());
        callers.back().send(long_prompt(std::to_string(i)));
    }
    std::this_thread::sleep_for(milliseconds(450));
    callers.emplace_back(gateway_->address());
    callers.back().send(long_prompt("9"));
    std::this_thread::sleep_for(milliseconds(150));
    add_upstream("i-2", other.address(), "writers", "decode");
    for (scripted_caller& it : callers)
        EXPECT_EQ(status_of(it.read_until("0\r\n\r\n", seconds(2))), "200");
}

} // namespace
} // namespace poplar::gateway
