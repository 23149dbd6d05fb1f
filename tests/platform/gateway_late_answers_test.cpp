// Guards against a refusal of an earlier request that an upstream writes once
// more on a kept connection: it must not be taken for the answer to another
// request, which then would be called not run or sent to a second upstream.
#include "tests/platform/gateway_fixture.hpp"

namespace poplar::gateway
{
namespace
{

/// Head of an empty answer; an empty `id` is left out.
std::string empty_answer(unsigned status, const std::string& id,
                         const std::string& fields = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" +
           (id.empty() ? "" : "Attempt-Id: " + id + "\r\n") + fields +
           "Content-Length: 0\r\n\r\n";
}

constexpr const char* not_executed = "Not-Executed: 1\r\n";

std::size_t count_sent(const scripted_upstream& u, const std::string& id)
{
    return std::size_t(std::ranges::count(
        u.heads(), id,
        [](const std::string& it) { return field_of(it, "Attempt-Id"); }));
}

void wait_until(const std::atomic<bool>& flag)
{
    const mono_time deadline = now() + seconds(2);
    while (now() < deadline && !flag)
        std::this_thread::sleep_for(milliseconds(2));
}

/// Waits until the request arrives.
bool is_sent(const scripted_upstream& u, const std::string& id)
{
    const mono_time deadline = now() + seconds(2);
    while (now() < deadline && count_sent(u, id) == 0)
        std::this_thread::sleep_for(milliseconds(2));
    return count_sent(u, id) == 1;
}

struct late_route
{
    const char* name;
    const char* path;
    bool is_stream;
    bool is_repeatable;
};

struct late_copy
{
    const char* name;
    std::string bytes;
    bool has_id;
};

enum class copy_time
{
    before_the_request,
    before_its_answer,
    with_its_answer
};

using late_case = std::tuple<late_route, late_copy, copy_time>;

class late_refusal : public gateway_test,
                     public testing::WithParamInterface<late_case>
{
protected:
    const late_route& route() const
    {
        return std::get<0>(GetParam());
    }
    const std::string& copy() const
    {
        return std::get<1>(GetParam()).bytes;
    }
    copy_time time() const
    {
        return std::get<2>(GetParam());
    }

    void start_with_routes()
    {
        json config = configuration_json(1);
        json single = route_json("/single/", "writers", "stream");
        single["resumable"] = false;
        config["routes"].push_back(single);
        put("config/main", config);
        start_without_configuration();
        wait_until_ready();
    }

    void add(const char* id, const scripted_upstream& u)
    {
        add_upstream(id, u.address(), route().is_stream ? "writers" : "desk",
                     route().is_stream ? "decode" : "");
    }

    std::string make_request(const char* id) const
    {
        return request(route().path, id,
                       route().is_stream ? "Model: m\r\nToken-Count: 100,20\r\n"
                                           "Prompt-Prefix: aa:60,bb:40\r\n"
                                         : "");
    }

    std::string own_answer(const std::string& id) const
    {
        if (!route().is_stream)
            return whole_answer(200, id, "end of answer");
        return stream_head(id) + chunk("id: 1\ndata: end of answer\n\n") +
               "0\r\n\r\n";
    }

    scripted_answer refuse_earlier() const
    {
        scripted_answer a{empty_answer(503, "earlier", not_executed)};
        if (time() == copy_time::before_the_request)
            a.pieces = {copy()};
        return a;
    }

    scripted_answer answer(const std::string& head) const
    {
        const std::string id = field_of(head, "Attempt-Id");
        if (head.starts_with("GET /kv-list"))
            return {whole_answer(404, "", "")};
        if (id == "earlier")
            return refuse_earlier();
        wait_until(has_alternative_);
        if (time() == copy_time::before_its_answer)
            return {.pieces = {copy(), own_answer(id)},
                    .pause = milliseconds(40)};
        if (time() == copy_time::with_its_answer)
            return {copy() + own_answer(id)};
        return {own_answer(id)};
    }

    std::atomic<bool> has_alternative_ = false;
};

TEST_P(late_refusal, is_not_the_answer_to_another_request)
{
    scripted_upstream faulty([this](const std::string& head)
                             { return answer(head); });
    scripted_upstream other(
        [this](const std::string& head) -> scripted_answer
        { return {own_answer(field_of(head, "Attempt-Id"))}; });
    add("i-1", faulty);
    start_with_routes();
    ASSERT_EQ(status_of(fetch(make_request("earlier"), "\r\n\r\n")), "503");
    std::this_thread::sleep_for(milliseconds(40));
    scripted_caller c(gateway_->address());
    c.send(make_request("own"));
    ASSERT_TRUE(is_sent(faulty, "own"));
    add("i-2", other);
    std::this_thread::sleep_for(milliseconds(60));
    has_alternative_ = true;
    const std::string head = c.read_until("\r\n\r\n", seconds(3));
    const std::string status = status_of(head);
    EXPECT_EQ(field_of(head, "Attempt-Id"), "own");
    const bool is_told_apart = std::get<1>(GetParam()).has_id ||
                               time() == copy_time::before_the_request;
    EXPECT_EQ(status, is_told_apart || route().is_repeatable ? "200" : "502");
    if (is_told_apart || !route().is_repeatable)
    {
        EXPECT_EQ(count_sent(other, "own"), 0U);
    }
}

const std::array late_routes{
    late_route{"idempotent", "/safe/x", false, true},
    late_route{"non_idempotent", "/once/x", false, false},
    late_route{"resumable", "/stream/x", true, true},
    late_route{"not_resumable", "/single/x", true, false}};

std::vector<late_copy> late_copies()
{
    const std::string busy = empty_answer(503, "earlier", not_executed);
    return {{"busy", busy, true},
            {"limited", empty_answer(429, "earlier", not_executed), true},
            {"misdirected", empty_answer(421, "earlier"), true},
            {"invalid", empty_answer(400, "earlier", not_executed), true},
            {"twice", busy + busy, true},
            {"after_interim", "HTTP/1.1 102 X\r\n\r\n" + busy, true},
            {"after_another", whole_answer(200, "other", "of another") + busy,
             true},
            {"busy_no_id", empty_answer(503, "", not_executed), false},
            {"limited_no_id", empty_answer(429, "", not_executed), false},
            {"misdirected_no_id", empty_answer(421, ""), false},
            {"invalid_no_id", empty_answer(400, "", not_executed), false},
            {"after_interim_no_id",
             "HTTP/1.1 102 X\r\n\r\n" + empty_answer(503, "", not_executed),
             false},
            {"after_another_no_id", busy + empty_answer(503, "", not_executed),
             false}};
}

std::string late_case_name(const testing::TestParamInfo<late_case>& it)
{
    constexpr std::array times{"before", "between", "together"};
    return std::string(std::get<0>(it.param).name) + "_" +
           std::get<1>(it.param).name + "_" +
           times.at(std::size_t(std::get<2>(it.param)));
}

INSTANTIATE_TEST_SUITE_P(
    cases, late_refusal,
    testing::Combine(testing::ValuesIn(late_routes),
                     testing::ValuesIn(late_copies()),
                     testing::Values(copy_time::before_the_request,
                                     copy_time::before_its_answer,
                                     copy_time::with_its_answer)),
    late_case_name);

struct same_id_case
{
    const char* name;
    const char* id; ///< Of both requests.
};

class repeated_id : public gateway_test,
                    public testing::WithParamInterface<same_id_case>
{
};

// Callers that use an id again, or send none, have answers that cannot be told
// apart by their id.
TEST_P(repeated_id, does_not_take_the_refusal_of_the_request_before)
{
    std::atomic<unsigned> count = 0;
    const std::string refusal = empty_answer(503, GetParam().id, not_executed);
    std::function<std::size_t()> connections;
    scripted_upstream faulty(
        [&](const std::string&) -> scripted_answer
        {
            if (count++ == 0)
                return {refusal};
            return {
                .bytes = connections() == 1 ? refusal : "",
                .pieces = {whole_answer(200, GetParam().id, "end of answer")},
                .pause = milliseconds(100)};
        });
    connections = [&]
    {
        return faulty.connections();
    };
    scripted_upstream other(
        [&](const std::string&) -> scripted_answer
        { return {whole_answer(200, GetParam().id, "end of answer")}; });
    add_upstream("i-1", faulty.address(), "desk");
    start();
    ASSERT_EQ(status_of(fetch(request("/once/x", GetParam().id), "\r\n\r\n")),
              "503");
    scripted_caller c(gateway_->address());
    c.send(request("/once/x", GetParam().id));
    std::this_thread::sleep_for(milliseconds(40));
    add_upstream("i-2", other.address(), "desk");
    EXPECT_EQ(status_of(c.read_until("end of answer", seconds(1))), "200");
    EXPECT_EQ(faulty.heads().size(), 2U);
    EXPECT_EQ(other.heads().size(), 0U);
}

INSTANTIATE_TEST_SUITE_P(ids, repeated_id,
                         testing::Values(same_id_case{"same", "77"},
                                         same_id_case{"none", ""}),
                         [](const auto& it) { return it.param.name; });

struct kept_case
{
    const char* name;
    std::string before; ///< Written before the answer to the first request.
    std::string answer; ///< To the first request; empty: a success.
    const char* status; ///< Of the first request.
    std::size_t connections;
};

class connection_after : public gateway_test,
                         public testing::WithParamInterface<kept_case>
{
};

// More may follow on a connection that carried an answer to no open request.
TEST_P(connection_after, is_kept_only_if_all_answers_were_identified)
{
    std::atomic<unsigned> count = 0;
    scripted_upstream u(
        [&](const std::string& head) -> scripted_answer
        {
            const std::string own = whole_answer(
                200, field_of(head, "Attempt-Id"), "end of answer");
            if (count++ > 0)
                return {own};
            return {GetParam().before +
                    (GetParam().answer.empty() ? own : GetParam().answer)};
        });
    add_upstream("i-1", u.address(), "desk");
    start();
    EXPECT_EQ(status_of(fetch(request("/once/x", "1"), "\r\n\r\n")),
              GetParam().status);
    EXPECT_EQ(status_of(fetch(request("/once/x", "2"))), "200");
    EXPECT_EQ(u.connections(), GetParam().connections);
}

INSTANTIATE_TEST_SUITE_P(
    answers, connection_after,
    testing::Values(
        kept_case{"interim", "HTTP/1.1 102 X\r\n\r\n", "", "200", 1},
        kept_case{"refusal", "", empty_answer(503, "1", not_executed), "503",
                  1},
        kept_case{"another", empty_answer(503, "0", not_executed), "", "200",
                  2},
        kept_case{"no_id", "", empty_answer(503, "", not_executed), "503", 2},
        kept_case{"another_and_no_id",
                  empty_answer(503, "0", not_executed) +
                      empty_answer(503, "", not_executed),
                  "", "502", 2}),
    [](const auto& it) { return it.param.name; });

struct unproven_case
{
    const char* name;
    unsigned status;
    const char* path;
    const char* told;
    std::size_t sends;
};

class unproven_refusal : public gateway_test,
                         public testing::WithParamInterface<unproven_case>
{
};

// These statuses tell a caller that its request was not run, which an upstream
// states by another field.
TEST_P(unproven_refusal, is_not_passed_on_as_not_run)
{
    std::atomic<unsigned> count = 0;
    const auto script = [&](const std::string& head) -> scripted_answer
    {
        const std::string id = field_of(head, "Attempt-Id");
        if (count++ == 0)
            return {empty_answer(GetParam().status, id)};
        return {whole_answer(200, id, "end of answer")};
    };
    scripted_upstream a(script);
    scripted_upstream b(script);
    add_upstream("i-1", a.address(), "desk");
    add_upstream("i-2", b.address(), "desk");
    start();
    EXPECT_EQ(status_of(fetch(request(GetParam().path, "1"), "\r\n\r\n")),
              GetParam().told);
    EXPECT_EQ(a.heads().size() + b.heads().size(), GetParam().sends);
}

INSTANTIATE_TEST_SUITE_P(
    statuses, unproven_refusal,
    testing::Values(unproven_case{"busy_once", 503, "/once/x", "502", 1},
                    unproven_case{"limited_once", 429, "/once/x", "502", 1},
                    unproven_case{"late_once", 408, "/once/x", "502", 1},
                    unproven_case{"misdirected_once", 421, "/once/x", "200", 2},
                    unproven_case{"busy_safe", 503, "/safe/x", "200", 2},
                    unproven_case{"limited_safe", 429, "/safe/x", "200", 2},
                    unproven_case{"late_safe", 408, "/safe/x", "200", 2},
                    unproven_case{"failed_once", 500, "/once/x", "500", 1}),
    [](const auto& it) { return it.param.name; });

// The call that frees KV cache has no id and took a copy of a refusal for its
// answer; its own answer then was left for the next request.
TEST_F(gateway_test, leaves_no_answer_of_its_own_call_to_the_next_request)
{
    std::atomic<bool> is_released = false;
    std::atomic<unsigned> decodes = 0;
    const auto prefill = [&](const std::string& head) -> scripted_answer
    {
        if (head.starts_with("GET"))
            return {whole_answer(404, "", "")};
        if (head.starts_with("POST"))
            return {.bytes = whole_answer(200, field_of(head, "Attempt-Id"),
                                          R"({"kvHandle":"h"})"),
                    .delay = milliseconds(100)};
        is_released = true;
        return {.bytes = empty_answer(503, "", not_executed),
                .pieces = {empty_answer(200, "")},
                .pause = milliseconds(150)};
    };
    const auto decode = [&](const std::string& head) -> scripted_answer
    {
        const std::string id = field_of(head, "Attempt-Id");
        if (head.starts_with("GET"))
            return {whole_answer(404, "", "")};
        if (decodes++ == 0)
            return {empty_answer(503, id, not_executed)};
        return {stream_head(id) + chunk("id: 1\n\n") + "0\r\n\r\n"};
    };
    scripted_upstream prefill_engine(prefill);
    scripted_upstream decode_engine(decode);
    add_upstream("p", prefill_engine.address(), "writers", "prefill");
    add_upstream("d", decode_engine.address(), "writers", "decode");
    start();
    const auto prompt = [](const std::string& id)
    {
        return "POST /stream/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " +
               id +
               "\r\nDeadline-Ms: 3000\r\nModel: m\r\n"
               "Token-Count: 9000,20\r\nPrompt-Prefix: aa" +
               id + ":9000\r\nContent-Length: 0\r\n\r\n";
    };
    EXPECT_EQ(status_of(fetch(prompt("1"), "\r\n\r\n")), "503");
    const mono_time until = now() + seconds(1);
    while (now() < until && !is_released)
        std::this_thread::sleep_for(milliseconds(5));
    ASSERT_TRUE(is_released);
    std::this_thread::sleep_for(milliseconds(30));
    EXPECT_EQ(status_of(fetch(prompt("2"), "0\r\n\r\n")), "200");
    EXPECT_EQ(field_of(decode_engine.heads().back(), "Kv-Source"),
              to_string(prefill_engine.address()) + "/h");
}

} // namespace
} // namespace poplar::gateway
