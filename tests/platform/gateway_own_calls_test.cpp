// Guards against answers to the gateway's own calls (cached parts, reports,
// orders, releases) that are believed although they are none or broke off.
#include "observe/log.hpp"
#include "tests/platform/gateway_fixture.hpp"

namespace poplar::gateway
{
namespace
{

/// Heads and bodies for the gateway's own calls.
struct own_call_case
{
    const char* name;
    std::string bytes; ///< Of the answer, after which the connection closes.
    bool is_answer;
};

std::vector<own_call_case> own_calls(const std::string& body)
{
    const std::string length =
        "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    std::string chunks = chunk(body);
    return {
        {"whole", ok + length + "\r\n" + body, true},
        {"chunks",
         ok + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n",
         true},
        {"status_0", "HTTP/1.1 000 OK\r\n" + length + "\r\n" + body, false},
        {"status_600", "HTTP/1.1 600 OK\r\n" + length + "\r\n" + body, false},
        {"blank_in_name", ok + "A B: 1\r\n" + length + "\r\n" + body, false},
        {"control_byte_in_name", ok + "A\x01: 1\r\n" + length + "\r\n" + body,
         false},
        {"unknown_coding", ok + "Transfer-Encoding: gzip\r\n\r\n" + body,
         false},
        {"broken_length",
         ok + "Content-Length: " + std::to_string(body.size() + 1) +
             "\r\n\r\n" + body,
         false},
        {"broken_chunks", ok + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
         false},
    };
}

/// Compares log lines of an event with an answer to one of the gateway's own
/// calls.
class own_call : public gateway_test,
                 public testing::WithParamInterface<own_call_case>
{
protected:
    static void SetUpTestSuite()
    {
        observe::start_log("test", {});
    }

    /// Runs `play` and returns what is logged meanwhile.
    static std::string log_of(const std::function<void()>& play)
    {
        testing::internal::CaptureStderr();
        play();
        return testing::internal::GetCapturedStderr();
    }

    /// The gateway handles an answer that has arrived within this time.
    static constexpr duration time_to_handle = milliseconds(500);

    /// False if the upstream gets no such call within `limit`.
    static bool wait_for_call(const scripted_upstream& u,
                              const std::string& call,
                              duration limit = seconds(20))
    {
        const auto is_call = [&](const std::string& head)
        {
            return head.starts_with(call);
        };
        const mono_time end = now() + limit;
        while (std::ranges::none_of(u.heads(), is_call))
        {
            if (now() > end)
                return false;
            std::this_thread::sleep_for(milliseconds(5));
        }
        return true;
    }

    static bool has_event(const std::string& log, const std::string& name)
    {
        return log.find("\"" + name + "\"") != std::string::npos;
    }
};

class cache_list : public own_call
{
};

TEST_P(cache_list, is_learned_from_a_whole_answer_only)
{
    const scripted_upstream u(
        [](const std::string& head) -> scripted_answer
        {
            if (head.starts_with("GET /kv-list"))
                return {.bytes = GetParam().bytes, .closes = true};
            return {whole_answer(404, "", "")};
        });
    const std::string log = log_of(
        [&]
        {
            add_upstream("i-1", u.address(), "writers", "decode");
            start();
            wait_for_call(u, "GET /kv-list");
            std::this_thread::sleep_for(time_to_handle);
            gateway_.reset();
        });
    EXPECT_EQ(has_event(log, "gateway_cache_learned"), GetParam().is_answer);
    EXPECT_EQ(has_event(log, "gateway_cache_not_learned"),
              !GetParam().is_answer);
}

INSTANTIATE_TEST_SUITE_P(
    answers, cache_list,
    testing::ValuesIn(own_calls(R"({"held":[["x","aa",60,"m"]]})")),
    [](const auto& it) { return it.param.name; });

class kv_release : public own_call
{
};

// An answer that breaks off does not show that the cache was freed.
TEST_P(kv_release, is_confirmed_by_a_whole_answer_only)
{
    const scripted_upstream reading(
        [](const std::string& head) -> scripted_answer
        {
            if (head.starts_with("DELETE"))
                return {.bytes = GetParam().bytes, .closes = true};
            if (field_of(head, "Serving-Stage") != "prefill")
                return {whole_answer(404, "", "")};
            return {whole_answer(200, field_of(head, "Attempt-Id"),
                                 R"({"kvHandle":"h"})")};
        });
    const scripted_upstream full(
        [](const std::string& head) -> scripted_answer
        {
            return {whole_answer(503, field_of(head, "Attempt-Id"), "",
                                 "Not-Executed: 1\r\n")};
        });
    const std::string log = log_of(
        [&]
        {
            add_upstream("i-1", reading.address(), "writers", "prefill");
            add_upstream("i-2", full.address(), "writers", "decode");
            start();
            fetch(request("/stream/x", "1",
                          "Model: m\r\nToken-Count: 17000,20\r\n"
                          "Prompt-Prefix: aa:13000,bb:4000\r\n"),
                  "\r\n\r\n");
            wait_for_call(reading, "DELETE");
            std::this_thread::sleep_for(time_to_handle);
            gateway_.reset();
        });
    EXPECT_EQ(has_event(log, "gateway_kv_release_failed"),
              !GetParam().is_answer);
}

INSTANTIATE_TEST_SUITE_P(answers, kv_release,
                         testing::ValuesIn(own_calls("{\"freed\":true}")),
                         [](const auto& it) { return it.param.name; });

class engine_report : public own_call
{
};

// An order without the count of the engine's report could be carried out twice.
TEST_P(engine_report, leads_to_an_order_from_a_whole_answer_only)
{
    const scripted_upstream u(
        [](const std::string& head) -> scripted_answer
        {
            if (head.starts_with("GET /report"))
                return {.bytes = GetParam().bytes, .closes = true};
            if (head.starts_with("POST /order"))
                return {whole_answer(202, "", "")};
            return {whole_answer(404, "", "")};
        });
    for (int i = 0; i < 6; ++i)
        add_upstream("i-" + std::to_string(i), u.address(), "writers",
                     "decode");
    start();
    EXPECT_TRUE(wait_for_call(u, "GET /report"));
    EXPECT_EQ(
        wait_for_call(u, "POST /order",
                      GetParam().is_answer ? seconds(20) : time_to_handle),
        GetParam().is_answer);
}

INSTANTIATE_TEST_SUITE_P(
    answers, engine_report,
    testing::ValuesIn(own_calls(R"({"stage":"decode","seq":0})")),
    [](const auto& it) { return it.param.name; });

class stage_order : public own_call
{
};

TEST_P(stage_order, is_confirmed_by_a_whole_answer_only)
{
    const scripted_upstream u(
        [](const std::string& head) -> scripted_answer
        {
            if (head.starts_with("GET /report"))
                return {whole_answer(200, "", R"({"stage":"decode","seq":0})")};
            if (head.starts_with("POST /order"))
                return {.bytes = GetParam().bytes, .closes = true};
            return {whole_answer(404, "", "")};
        });
    const std::string log = log_of(
        [&]
        {
            for (int i = 0; i < 6; ++i)
                add_upstream("i-" + std::to_string(i), u.address(), "writers",
                             "decode");
            start();
            wait_for_call(u, "POST /order");
            // Joins the thread that sends the orders.
            gateway_.reset();
        });
    EXPECT_EQ(has_event(log, "gateway_order_sent"), GetParam().is_answer);
    EXPECT_EQ(has_event(log, "gateway_order_failed"), !GetParam().is_answer);
}

INSTANTIATE_TEST_SUITE_P(answers, stage_order,
                         testing::ValuesIn(own_calls("{}")),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::gateway
