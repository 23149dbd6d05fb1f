// Guards against requests to an upstream that announced its shutdown or
// requested a pause, whatever its entry in the store says meanwhile.
#include "tests/platform/gateway_fixture.hpp"

namespace poplar::gateway
{
namespace
{

std::size_t requests_at(const scripted_upstream& u)
{
    return std::size_t(
        std::ranges::count_if(u.heads(), [](const std::string& head)
                              { return !head.starts_with("GET /kv-list"); }));
}

double retry_after_of(const std::string& answer)
{
    const std::string text = field_of(answer, "Retry-After");
    return text.empty() ? -1 : std::stod(text);
}

std::string stream_of(const std::string& head, const std::string& fields)
{
    const std::string id = field_of(head, "Attempt-Id");
    if (head.starts_with("GET /kv-list"))
        return whole_answer(404, "", "");
    if (field_of(head, "Serving-Stage") == "prefill")
        return whole_answer(200, id, R"({"kvHandle":"h"})", fields);
    std::string bytes = stream_head(id);
    bytes.insert(bytes.find("\r\n") + 2, fields);
    return bytes + chunk("id: 1\n\n") + "0\r\n\r\n";
}

struct leaving_case
{
    const char* name;
    const char* service;
    const char* stage; ///< Stage of the leaving upstream.
    const char* path;
    unsigned status; ///< Status of the leaving upstream's answer.
};

class leaving_upstream : public gateway_test,
                         public testing::WithParamInterface<leaving_case>
{
protected:
    static std::string call_for(const std::string& id)
    {
        if (!GetParam().stage[0])
            return request(GetParam().path, id);
        // A long prompt that is not cached, so that prefill is split off if
        // there is a prefill engine.
        return request("/stream/x", id,
                       "Model: m\r\nToken-Count: 6000,20\r\n"
                       "Prompt-Prefix: aa" +
                           id + ":4000,bb" + id + ":2000\r\n");
    }
    static std::string end_of_answer()
    {
        return GetParam().stage[0] ? "0\r\n\r\n" : "end of answer";
    }
    void add(const std::string& id, const ip_address& at, int born = 1)
    {
        add_upstream(id, at, GetParam().service, GetParam().stage);
        if (born != 1)
            put_started(id, born);
    }
    void put_started(const std::string& id, std::int64_t born)
    {
        const object_key key("servers/" + id);
        json entry = json::parse(store_.get(key).value);
        entry["born"] = born;
        put(key.value, entry);
    }
    scripted_answer answer(const std::string& head, bool leaves) const
    {
        const std::string fields = leaves ? "Server-Leaving: 1\r\n" : "";
        // The delay stands for the prefill. With the prefill rate measured
        // without it, later prompts would be prefilled on the decode engine.
        if (GetParam().stage[0])
            return {.bytes = stream_of(head, fields),
                    .delay = milliseconds(100)};
        const unsigned status = leaves ? GetParam().status : 200;
        return {whole_answer(
            status, field_of(head, "Attempt-Id"), "end of answer",
            fields + (status == 503 ? "Not-Executed: 1\r\n" : ""))};
    }
};

// The entry in the store says throughout that the upstream is ready; it is
// rewritten, removed and restored.
TEST_P(leaving_upstream, gets_no_request_after_it_said_so)
{
    scripted_upstream leaving([this](const std::string& head)
                              { return answer(head, true); });
    scripted_upstream other([this](const std::string& head)
                            { return answer(head, false); });
    const bool is_prefill = GetParam().stage == std::string("prefill");
    scripted_upstream decode_engine([this](const std::string& head)
                                    { return answer(head, false); });
    add("i-1", leaving.address());
    if (is_prefill)
        add_upstream("i-3", decode_engine.address(), "writers", "decode");
    start();
    EXPECT_FALSE(fetch(call_for("1"), end_of_answer()).empty());
    ASSERT_EQ(requests_at(leaving), 1U);
    add("i-2", other.address());
    std::this_thread::sleep_for(milliseconds(200));
    const auto expect_not_used = [&](const char* when)
    {
        for (const char* id : {"a", "b", "c"})
            EXPECT_EQ(status_of(fetch(call_for(id), end_of_answer())), "200")
                << when;
        EXPECT_EQ(requests_at(leaving), 1U) << when;
    };
    expect_not_used("entry unchanged");
    json entry = json::parse(store_.get(object_key("servers/i-1")).value);
    entry["seq"] = 7;
    put("servers/i-1", entry);
    std::this_thread::sleep_for(milliseconds(200));
    expect_not_used("entry written again");
    const object_key key("servers/i-1");
    store_.remove(key, store_.get(key).version);
    std::this_thread::sleep_for(milliseconds(200));
    put(key.value, entry);
    std::this_thread::sleep_for(milliseconds(200));
    expect_not_used("entry removed and back");
}

TEST_P(leaving_upstream, is_used_again_when_it_has_started_anew)
{
    std::atomic<bool> leaves = true;
    scripted_upstream u([&](const std::string& head)
                        { return answer(head, leaves); });
    scripted_upstream decode_engine([this](const std::string& head)
                                    { return answer(head, false); });
    add("i-1", u.address());
    if (GetParam().stage == std::string("prefill"))
        add_upstream("i-3", decode_engine.address(), "writers", "decode");
    start();
    EXPECT_FALSE(fetch(call_for("1"), end_of_answer()).empty());
    const std::size_t before = requests_at(u);
    leaves = false;
    const auto started = std::chrono::system_clock::now().time_since_epoch();
    put_started("i-1",
                std::chrono::duration_cast<milliseconds>(started).count() + 1);
    std::this_thread::sleep_for(milliseconds(200));
    EXPECT_EQ(status_of(fetch(call_for("2"), end_of_answer())), "200");
    EXPECT_GT(requests_at(u), before);
}

INSTANTIATE_TEST_SUITE_P(
    answers, leaving_upstream,
    testing::Values(leaving_case{"call", "desk", "", "/safe/x", 200},
                    leaving_case{"refusal", "desk", "", "/safe/x", 503},
                    leaving_case{"stream", "writers", "decode", "", 200},
                    leaving_case{"reading", "writers", "prefill", "", 200}),
    [](const auto& it) { return it.param.name; });

// Before an order, the gateway reads the engine's report; it is an answer like
// any other.
TEST_F(gateway_test, gives_no_order_to_an_engine_whose_report_says_it_leaves)
{
    const auto engine = [](const std::string& head) -> scripted_answer
    {
        if (head.starts_with("GET /report"))
            return {whole_answer(200, "",
                                 R"({"stage":"decode","busy":false,"seq":0})",
                                 "Server-Leaving: 1\r\n")};
        return {stream_of(head, "")};
    };
    std::vector<std::unique_ptr<scripted_upstream>> engines;
    for (const char* id : {"i-1", "i-2", "i-3"})
    {
        engines.push_back(std::make_unique<scripted_upstream>(engine));
        add_upstream(id, engines.back()->address(), "writers", "decode");
    }
    start();
    const auto heads_of = [](const scripted_upstream& u, const char* start)
    {
        return std::ranges::count_if(u.heads(), [&](const std::string& head)
                                     { return head.starts_with(start); });
    };
    const auto was_asked = [&](const auto& it)
    {
        return heads_of(*it, "GET /report") > 0;
    };
    const mono_time limit = now() + seconds(10);
    while (std::ranges::none_of(engines, was_asked) && now() < limit)
        std::this_thread::sleep_for(milliseconds(20));
    ASSERT_TRUE(std::ranges::any_of(engines, was_asked));
    std::this_thread::sleep_for(milliseconds(300));
    for (const char* id : {"a", "b", "c", "d", "e", "f"})
        fetch(prompt_request(id), "\r\n\r\n");
    for (const auto& it : engines)
    {
        EXPECT_EQ(heads_of(*it, "POST /order"), 0);
        EXPECT_FALSE(was_asked(it) && heads_of(*it, "GET /stream") > 0);
    }
}

struct pause_case
{
    const char* name;
    const char* fields;
    duration at_least; ///< Zero: the upstream is used again at once.
};

class asked_pause : public gateway_test,
                    public testing::WithParamInterface<pause_case>
{
};

// The only upstream of the service requests a pause: callers are refused at
// once, with the remaining time in Retry-After. A new registration does not end
// the pause.
TEST_P(asked_pause, is_kept_and_told_to_callers)
{
    std::atomic<bool> is_full = true;
    scripted_upstream u(
        [&](const std::string& head) -> scripted_answer
        {
            const std::string id = field_of(head, "Attempt-Id");
            if (is_full)
                return {whole_answer(503, id, "",
                                     std::string("Not-Executed: 1\r\n") +
                                         GetParam().fields)};
            return {whole_answer(200, id, "end of answer")};
        });
    add_upstream("i-1", u.address(), "desk");
    start();
    EXPECT_EQ(status_of(fetch(request("/once/x", "1"), "\r\n\r\n")), "503");
    const mono_time asked = now();
    const std::size_t before = requests_at(u);
    is_full = false;
    json entry = json::parse(store_.get(object_key("servers/i-1")).value);
    entry["seq"] = 7;
    put("servers/i-1", entry);
    std::this_thread::sleep_for(milliseconds(150));
    if (GetParam().at_least == duration{})
    {
        EXPECT_EQ(status_of(fetch(request("/once/x", "2"))), "200");
        return;
    }
    const std::string refusal = fetch(request("/once/x", "2"), "\r\n\r\n");
    EXPECT_EQ(status_of(refusal), "503");
    const double remaining =
        double((GetParam().at_least - (now() - asked)).count()) / 1e6;
    EXPECT_NEAR(retry_after_of(refusal), remaining, 0.1);
    while (now() - asked < GetParam().at_least - milliseconds(20))
    {
        EXPECT_EQ(status_of(fetch(request("/once/x", "3"), "\r\n\r\n")), "503");
        if (GetParam().at_least > seconds(5))
            return;
        std::this_thread::sleep_for(milliseconds(50));
    }
    EXPECT_EQ(requests_at(u), before);
    std::this_thread::sleep_for(milliseconds(400)); // one sweep and a margin
    EXPECT_EQ(status_of(fetch(request("/once/x", "4"))), "200");
}

INSTANTIATE_TEST_SUITE_P(
    values, asked_pause,
    testing::Values(
        pause_case{"whole", "Retry-After: 1\r\n", seconds(1)},
        pause_case{"fraction", "Retry-After: 0.8\r\n", milliseconds(800)},
        pause_case{"twice", "Retry-After: 0.3\r\nRetry-After: 1.1\r\n",
                   milliseconds(1100)},
        pause_case{"huge", "Retry-After: 1e9\r\n", seconds(60)},
        pause_case{"negative", "Retry-After: -3\r\n", duration{}},
        pause_case{"not_a_number", "Retry-After: nan\r\n", duration{}},
        pause_case{"infinite", "Retry-After: inf\r\n", duration{}},
        pause_case{"date", "Retry-After: Wed, 21 Oct 2026 07:28:00 GMT\r\n",
                   duration{}}),
    [](const auto& it) { return it.param.name; });

// A successful answer to an earlier request does not end the pause, and the
// other upstream gets the requests meanwhile.
TEST_F(gateway_test, pauses_one_upstream_and_uses_the_other)
{
    std::atomic<unsigned> count = 0;
    scripted_upstream pausing(
        [&](const std::string& head) -> scripted_answer
        {
            const std::string id = field_of(head, "Attempt-Id");
            if (count++ == 0)
                return {.bytes = whole_answer(200, id, "end of answer"),
                        .delay = milliseconds(400)};
            return {whole_answer(503, id, "",
                                 "Not-Executed: 1\r\nRetry-After: 1.5\r\n")};
        });
    scripted_upstream other(
        [](const std::string& head) -> scripted_answer {
            return {whole_answer(200, field_of(head, "Attempt-Id"),
                                 "end of answer")};
        });
    add_upstream("i-1", pausing.address(), "desk");
    start();
    scripted_caller slow(gateway_->address());
    slow.send(request("/safe/x", "1"));
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_EQ(status_of(fetch(request("/safe/x", "2"), "\r\n\r\n")), "503");
    EXPECT_EQ(status_of(slow.read_until("end of answer")), "200");
    add_upstream("i-2", other.address(), "desk");
    std::this_thread::sleep_for(milliseconds(200));
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(status_of(fetch(request("/safe/x", std::to_string(i + 3)))),
                  "200");
    EXPECT_EQ(requests_at(pausing), 2U);
}

} // namespace
} // namespace poplar::gateway
