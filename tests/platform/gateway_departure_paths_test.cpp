// Guards against requests that reach an upstream after it left, on each path by
// which a request gets there.
#include "tests/platform/gateway_fixture.hpp"

#include <atomic>

namespace poplar::gateway
{
namespace
{

/// How the gateway learns that the upstream leaves. With `none` the request
/// reaches the upstream, which shows that the path leads there.
enum class departure
{
    none,
    drains,
    removed,
    said
};

constexpr std::array departures{departure::none, departure::drains,
                                departure::removed, departure::said};

std::string name_of(departure d)
{
    switch (d)
    {
    case departure::none:
        return "stays";
    case departure::drains:
        return "drains";
    case departure::removed:
        return "removed";
    case departure::said:
        return "said";
    }
    return "";
}

/// The first upstream holds a request for this time; the other one leaves
/// meanwhile.
constexpr duration hold_time = milliseconds(700);
constexpr duration store_delay = milliseconds(150);

/// What the first upstream does with the request that it holds.
enum class failure
{
    rejects,    ///< As not executed.
    breaks_off, ///< After the first event of a stream.
    none
};

struct path_case
{
    const char* name;
    const char* service;
    const char* first_stage;
    failure first_failure;
    const char* leaving_stage;
    const char* decode_id; ///< Of a further decode engine; empty for none.
    unsigned tokens;       ///< Of the prompt; 0 for a call without one.
};

std::string request_of(unsigned tokens, const std::string& id)
{
    if (tokens == 0)
        return "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id +
               "\r\nDeadline-Ms: 3000\r\n\r\n";
    const std::string n = std::to_string(tokens / 2);
    return "GET /stream/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id +
           "\r\nDeadline-Ms: 3000\r\nModel: m\r\nToken-Count: " +
           std::to_string(tokens) + ",20\r\nPrompt-Prefix: aa" + id + ":" + n +
           ",bb" + id + ":" + n + "\r\n\r\n";
}

std::size_t count_of(const scripted_upstream& u, const std::string& id)
{
    return std::size_t(
        std::ranges::count_if(u.heads(), [&](const std::string& head)
                              { return field_of(head, "Attempt-Id") == id; }));
}

scripted_answer serve(const std::string& head, const std::string& fields = "")
{
    const std::string id = field_of(head, "Attempt-Id");
    if (head.starts_with("GET /safe/"))
        return {whole_answer(200, id, "end of answer", fields)};
    if (!head.starts_with("GET /stream/"))
        return {whole_answer(404, "", "")};
    if (field_of(head, "Serving-Stage") == "prefill")
        return {whole_answer(200, id, R"({"kvHandle":"h"})", fields)};
    const bool resumes = field_of(head, "Last-Event-Id") == "1";
    std::string bytes = stream_head(id);
    bytes.insert(bytes.find("\r\n") + 2, fields);
    return {bytes + (resumes ? "" : chunk("id: 1\n\n")) + chunk("id: 2\n\n") +
            "0\r\n\r\n"};
}

class departing_upstream : public gateway_test
{
protected:
    departing_upstream()
        : leaving_(
              [this](const std::string& head) {
                  return serve(head,
                               says_leaving_ ? "Server-Leaving: 1\r\n" : "");
              })
    {
    }

    void add_leaving(const char* service, const char* stage)
    {
        add_upstream("leaving", leaving_.address(), service, stage);
        std::this_thread::sleep_for(store_delay);
    }

    /// `tokens` is the prompt length of a request that the upstream answers.
    void leave(departure d, unsigned tokens)
    {
        const object_key key("servers/leaving");
        json entry = json::parse(store_.get(key).value);
        entry["state"] = "draining";
        switch (d)
        {
        case departure::none:
            break;
        case departure::drains:
            put(key.value, entry);
            break;
        case departure::removed:
            store_.remove(key, store_.get(key).version);
            break;
        case departure::said:
            says_leaving_ = true;
            fetch(request_of(tokens, "other"),
                  tokens == 0 ? "end of answer" : "0\r\n\r\n");
            ASSERT_EQ(count_of(leaving_, "other"), 1U);
            break;
        }
        std::this_thread::sleep_for(store_delay);
    }

    std::atomic<bool> says_leaving_ = false;
    scripted_upstream leaving_;
};

class held_request
    : public departing_upstream,
      public testing::WithParamInterface<std::tuple<path_case, departure>>
{
protected:
    scripted_answer fail(const std::string& head) const
    {
        const std::string id = field_of(head, "Attempt-Id");
        scripted_answer a = serve(head);
        if (id != "held")
            return a;
        switch (path().first_failure)
        {
        case failure::rejects:
            return {.bytes = whole_answer(503, id, "", "Not-Executed: 1\r\n"),
                    .delay = hold_time};
        case failure::breaks_off:
            a.bytes = stream_head(id) + chunk("id: 1\n\n");
            a.pieces = {"3"};
            a.pause = hold_time;
            a.closes = true;
            return a;
        case failure::none:
            a.delay = hold_time;
            return a;
        }
        return a;
    }
    static path_case path()
    {
        return std::get<0>(GetParam());
    }
};

TEST_P(held_request, is_not_sent_to_an_upstream_that_left_meanwhile)
{
    const departure way = std::get<1>(GetParam());
    const path_case& p = path();
    scripted_upstream first([this](const std::string& head)
                            { return fail(head); });
    scripted_upstream decode([](const std::string& head)
                             { return serve(head); });
    add_upstream("first", first.address(), p.service, p.first_stage);
    if (p.decode_id[0])
        add_upstream(p.decode_id, decode.address(), p.service, "decode");
    if (p.first_failure == failure::none)
        add_leaving(p.service, p.leaving_stage);
    start();
    scripted_caller caller(gateway_->address());
    caller.send(request_of(p.tokens, "held"));
    std::this_thread::sleep_for(milliseconds(50));
    ASSERT_EQ(count_of(first, "held"), 1U);
    if (p.first_failure != failure::none)
        add_leaving(p.service, p.leaving_stage);
    leave(way, p.first_failure == failure::none && p.tokens ? 100 : p.tokens);
    ASSERT_EQ(count_of(leaving_, "held"), 0U);
    caller.read_answer(seconds(3));
    EXPECT_EQ(count_of(leaving_, "held"), way == departure::none ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    paths, held_request,
    testing::Combine(
        testing::Values(path_case{"retried_call", "desk", "", failure::rejects,
                                  "", "", 0},
                        path_case{"retried_stream", "writers", "decode",
                                  failure::rejects, "decode", "", 100},
                        path_case{"resumed_stream", "writers", "decode",
                                  failure::breaks_off, "decode", "", 100},
                        path_case{"retried_prefill", "writers", "prefill",
                                  failure::rejects, "prefill", "runner", 6000},
                        path_case{"decode_after_prefill", "writers", "prefill",
                                  failure::none, "decode", "", 6000}),
        testing::ValuesIn(departures)),
    [](const auto& it)
    {
        return std::string(std::get<0>(it.param).name) + "_" +
               name_of(std::get<1>(it.param));
    });

class moved_decode : public departing_upstream,
                     public testing::WithParamInterface<departure>
{
};

// A decode engine without free capacity rejects a request whose prompt another
// engine has read; the request moves to the next decode engine.
TEST_P(moved_decode, is_not_sent_to_an_engine_that_left_meanwhile)
{
    scripted_upstream reader([](const std::string& head)
                             { return serve(head); });
    scripted_upstream full(
        [](const std::string& head) -> scripted_answer
        {
            const std::string id = field_of(head, "Attempt-Id");
            if (id != "held")
                return serve(head);
            return {.bytes = whole_answer(503, id, "", "Not-Executed: 1\r\n"),
                    .delay = hold_time};
        });
    add_upstream("reader", reader.address(), "writers", "prefill");
    add_upstream("full", full.address(), "writers", "decode");
    start();
    scripted_caller caller(gateway_->address());
    caller.send(request_of(6000, "held"));
    std::this_thread::sleep_for(milliseconds(100));
    ASSERT_EQ(count_of(full, "held"), 1U);
    add_leaving("writers", "decode");
    leave(GetParam(), 100);
    caller.read_answer(seconds(3));
    const bool stays = GetParam() == departure::none;
    EXPECT_EQ(count_of(leaving_, "held"), stays ? 1U : 0U);
    EXPECT_EQ(count_of(reader, "held"), 1U);
}

INSTANTIATE_TEST_SUITE_P(ways, moved_decode, testing::ValuesIn(departures),
                         [](const auto& it) { return name_of(it.param); });

class waiting_request : public gateway_test,
                        public testing::WithParamInterface<departure>
{
};

// The second request waits for the blocks that the engine reads for the first
// one.
TEST_P(waiting_request, is_not_sent_to_an_engine_that_left_meanwhile)
{
    const departure way = GetParam();
    const scripted_upstream engine(
        [&](const std::string& head)
        {
            const bool says = way == departure::said &&
                              field_of(head, "Attempt-Id") == "first";
            scripted_answer a =
                serve(head, says ? "Server-Leaving: 1\r\n" : "");
            a.delay = milliseconds(150);
            return a;
        });
    const scripted_upstream other([](const std::string& head)
                                  { return serve(head); });
    add_upstream("engine", engine.address(), "writers", "decode");
    start();
    const auto prompt = [](const std::string& id)
    {
        return request("/stream/x", id,
                       "Model: m\r\nToken-Count: 15000,20\r\n"
                       "Prompt-Prefix: aa:14900,bb" +
                           id + ":100\r\n");
    };
    scripted_caller first(gateway_->address());
    first.send(prompt("first"));
    std::this_thread::sleep_for(milliseconds(30));
    scripted_caller second(gateway_->address());
    second.send(prompt("second"));
    std::this_thread::sleep_for(milliseconds(30));
    add_upstream("other", other.address(), "writers", "decode");
    const object_key key("servers/engine");
    json entry = json::parse(store_.get(key).value);
    entry["state"] = "draining";
    if (way == departure::drains)
        put(key.value, entry);
    if (way == departure::removed)
        store_.remove(key, store_.get(key).version);
    first.read_answer(seconds(3));
    ASSERT_EQ(count_of(engine, "second"), 0U);
    ASSERT_EQ(count_of(other, "second"), 0U);
    EXPECT_EQ(status_of(second.read_answer(seconds(3)).bytes), "200");
    EXPECT_EQ(count_of(engine, "second"), way == departure::none ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(ways, waiting_request, testing::ValuesIn(departures),
                         [](const auto& it) { return name_of(it.param); });

struct undelivered_case
{
    const char* name;
    std::size_t body_size;
    departure way;
};

class undelivered_request : public gateway_test,
                            public testing::WithParamInterface<undelivered_case>
{
protected:
    static std::string post(const std::string& id, std::size_t body_size)
    {
        return "POST /safe/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id +
               "\r\nDeadline-Ms: 8000\r\nContent-Length: " +
               std::to_string(body_size) + "\r\n\r\n" +
               std::string(body_size, 'x');
    }
    void start_with_long_timeouts()
    {
        json c = configuration_json(1);
        for (json& it : c["routes"])
            it["timeoutMs"] = 8000;
        put("config/main", c);
        start_without_configuration();
        wait_until_ready();
    }
};

// The request was written to a kept connection whose link is cut. The kernel
// sent it when the link was back, up to the deadline of the request.
TEST_P(undelivered_request, does_not_arrive_after_its_upstream_left)
{
    const undelivered_case& c = GetParam();
    const duration cut =
        c.way == departure::none ? milliseconds(600) : milliseconds(4000);
    const scripted_upstream leaving(
        [&](const std::string& head) -> scripted_answer
        {
            const std::string id = field_of(head, "Attempt-Id");
            if (id == "said")
                return {.bytes = whole_answer(200, id, "end of answer",
                                              "Server-Leaving: 1\r\n"),
                        .delay = milliseconds(400)};
            return {.bytes = whole_answer(200, id, "end of answer"),
                    .packet_loss_after = id == "1" ? cut : duration{}};
        });
    const scripted_upstream other(
        [](const std::string& head) -> scripted_answer {
            return {whole_answer(200, field_of(head, "Attempt-Id"),
                                 "end of answer")};
        });
    add_upstream("i-1", leaving.address(), "desk");
    start_with_long_timeouts();
    scripted_caller said(gateway_->address());
    if (c.way == departure::said)
    {
        said.send(post("said", 0));
        std::this_thread::sleep_for(milliseconds(50));
    }
    ASSERT_EQ(status_of(fetch(post("1", 0))), "200");
    std::this_thread::sleep_for(milliseconds(50));
    scripted_caller caller(gateway_->address());
    caller.send(post("2", c.body_size));
    std::this_thread::sleep_for(milliseconds(50));
    ASSERT_EQ(count_of(leaving, "2"), 0U);
    add_upstream("i-2", other.address(), "desk");
    const object_key key("servers/i-1");
    json entry = json::parse(store_.get(key).value);
    entry["state"] = "draining";
    if (c.way == departure::drains)
        put(key.value, entry);
    if (c.way == departure::removed)
        store_.remove(key, store_.get(key).version);
    EXPECT_EQ(status_of(caller.read_until("end of answer", seconds(8))), "200");
    std::this_thread::sleep_for(cut + seconds(2));
    EXPECT_EQ(count_of(leaving, "2"), c.way == departure::none ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    requests, undelivered_request,
    testing::Values(
        undelivered_case{"short_stays", 0, departure::none},
        undelivered_case{"short_drains", 0, departure::drains},
        undelivered_case{"short_removed", 0, departure::removed},
        undelivered_case{"short_said", 0, departure::said},
        undelivered_case{"long_stays", 64 << 10, departure::none},
        undelivered_case{"long_drains", 64 << 10, departure::drains},
        undelivered_case{"long_removed", 64 << 10, departure::removed},
        undelivered_case{"long_said", 64 << 10, departure::said}),
    [](const auto& it) { return it.param.name; });

struct new_case
{
    const char* name;
    const char* service;
    const char* stage; ///< Of the upstream that leaves.
    unsigned tokens;
};

class new_request
    : public departing_upstream,
      public testing::WithParamInterface<std::tuple<new_case, departure>>
{
};

TEST_P(new_request, is_not_sent_to_an_upstream_that_left)
{
    const auto& [c, way] = GetParam();
    const scripted_upstream runner([](const std::string& head)
                                   { return serve(head); });
    if (c.stage == std::string("prefill"))
        add_upstream("runner", runner.address(), c.service, "decode");
    add_leaving(c.service, c.stage);
    start();
    leave(way, c.tokens);
    scripted_caller caller(gateway_->address());
    caller.send(request_of(c.tokens, "new"));
    caller.read_answer(seconds(3));
    EXPECT_EQ(count_of(leaving_, "new"), way == departure::none ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    requests, new_request,
    testing::Combine(
        testing::Values(new_case{"call", "desk", "", 0},
                        new_case{"stream", "writers", "decode", 100},
                        new_case{"prefill", "writers", "prefill", 6000}),
        testing::ValuesIn(departures)),
    [](const auto& it)
    {
        return std::string(std::get<0>(it.param).name) + "_" +
               name_of(std::get<1>(it.param));
    });

} // namespace
} // namespace poplar::gateway
