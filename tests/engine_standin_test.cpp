// Guards against a stand-in engine that hides faults of the system: streams
// cut by a wrong drain, old orders, repeated executions, wrong resumes.
#include "net/http_client.hpp"
#include "standin/common/tokens.hpp"
#include "standin/engine/api.hpp"

#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace poplar::standin
{
namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

engine_settings quick_settings(const std::string& text = "")
{
    settings::reader all = settings::reader::from_text(
        "decode_step = '1ms'\nprefill_tokens_per_s = 1e6\n"
        "role_change_time = '50ms'\nmodel_load_time = '50ms'\n"
        "load_report_lag = '0ms'\ncache_event_delay = '0ms'\n" +
            text,
        "test");
    return parse_engine_settings(all);
}

/// An engine behind its HTTP interface.
struct running_engine
{
    engine_api api;
    net::http_server server;
    net::http_client client;

    explicit running_engine(const engine_settings& settings)
        : api(settings),
          server({settings.listen},
                 [this](net::http_request r, net::responder_ptr a)
                 { api.handle(std::move(r), std::move(a)); })
    {
    }

    net::client_request request(const std::string& path, const json& body) const
    {
        net::client_request r;
        r.to = server.address();
        r.path = path;
        r.method = body.is_null() ? "GET" : "POST";
        r.body = body.is_null() ? "" : body.dump();
        return r;
    }
    net::client_result call(const std::string& path, const json& body = nullptr)
    {
        return client.fetch(request(path, body));
    }
    json read(const std::string& path)
    {
        return json::parse(call(path).response.body);
    }
    bool eventually(const std::function<bool(const json& counters)>& condition)
    {
        for (int i = 0; i < 500; ++i)
        {
            if (condition(read("/admin/counters")))
                return true;
            std::this_thread::sleep_for(10ms);
        }
        return false;
    }
};

std::string words(int n, const std::string& prefix = "w")
{
    std::string text;
    for (int i = 0; i < n; ++i)
        text += (i == 0 ? "" : " ") + prefix + std::to_string(i);
    return text;
}

json work(const std::string& id, const std::string& prompt, int max_tokens)
{
    return {{"request_id", id},
            {"model", "m"},
            {"prompt", prompt},
            {"max_tokens", max_tokens}};
}

struct parsed_answer
{
    std::string text;
    int first_offset = -1;
    json done;
};

parsed_answer parse_answer(const std::string& body)
{
    parsed_answer a;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);)
    {
        const json j = json::parse(line);
        if (j.contains("done"))
            a.done = j;
        else
            a.text += j.at("text").get<std::string>();
        if (a.first_offset < 0 && j.contains("offset"))
            a.first_offset = j.at("offset").get<int>();
    }
    return a;
}

TEST(engine_standin, generates_and_resumes_the_same_text)
{
    running_engine e(quick_settings());
    const std::string prompt = words(40);
    const std::uint64_t digest = answer_digest(prompt, "m");
    const auto whole = parse_answer(
        e.call("/v1/generate", work("a", prompt, 30)).response.body);
    EXPECT_EQ(whole.text, answer_text(digest, 0, 30));
    EXPECT_EQ(whole.done.at("output_tokens"), 30);
    EXPECT_EQ(whole.done.at("cached_tokens"), 0);
    json resumed = work("a", prompt, 30);
    resumed["resume_tokens"] = 12;
    const auto rest =
        parse_answer(e.call("/v1/generate", resumed).response.body);
    EXPECT_EQ(rest.first_offset, 12);
    EXPECT_EQ(rest.text, answer_text(digest, 12, 30));
    EXPECT_EQ(rest.done.at("cached_tokens"), 32);
    EXPECT_EQ(e.read("/admin/counters").at("executions").at("a"), 2);
    const auto short_answer =
        parse_answer(e.call("/v1/generate", work("b", prompt + " answer:5", 30))
                         .response.body);
    EXPECT_EQ(short_answer.done.at("output_tokens"), 5);
}

TEST(engine_standin, imports_the_cache_of_a_prefill_engine)
{
    running_engine prefill(quick_settings("role = 'prefill'"));
    running_engine decode(quick_settings("role = 'decode'\nshort_prompt = 50"));
    const std::string prompt = words(100);
    EXPECT_EQ(
        prefill.call("/v1/generate", work("a", prompt, 5)).response.status,
        409U);
    EXPECT_EQ(decode.call("/v1/generate", work("a", prompt, 5)).response.status,
              409U);
    const json kv = json::parse(
        prefill.call("/v1/prefill", work("a", prompt, 5)).response.body);
    json body = work("a", prompt, 5);
    body["kv"] = {{"source", to_string(prefill.server.address())},
                  {"handle", kv.at("handle")}};
    const auto answer =
        parse_answer(decode.call("/v1/generate", body).response.body);
    EXPECT_EQ(answer.text, answer_text(answer_digest(prompt, "m"), 0, 5));
    EXPECT_EQ(answer.done.at("cached_tokens"), 100);
    body["prompt"] = words(100, "other");
    EXPECT_EQ(decode.call("/v1/generate", body).response.status, 409U);
}

json order_body(std::uint64_t fencing, const std::string& role)
{
    return {{"fencing", fencing},
            {"role", role},
            {"model", "m"},
            {"version", "1"},
            {"adapters", json::array()}};
}

class fencing : public testing::TestWithParam<bool>
{
};

TEST_P(fencing, old_orders_are_refused_or_counted)
{
    const bool checks = GetParam();
    running_engine e(quick_settings(std::string("checks_fencing = ") +
                                    (checks ? "true" : "false")));
    const auto send = [&](std::uint64_t number, const char* role)
    {
        return e.call("/v1/orders", order_body(number, role)).response.status;
    };
    EXPECT_EQ(send(10, "decode"), 202U);
    EXPECT_EQ(send(11, "prefill"), 409U); // Busy with the first.
    EXPECT_TRUE(e.read("/v1/state").at("changing"));
    EXPECT_EQ(e.call("/v1/generate", work("a", "x", 1)).response.status, 503U);
    std::this_thread::sleep_for(200ms);
    EXPECT_EQ(e.read("/v1/state").at("role"), "decode");
    EXPECT_EQ(send(9, "mixed"), checks ? 409U : 202U);
    const json c = e.read("/admin/counters");
    EXPECT_EQ(c.at("stale_orders"), 1);
    EXPECT_EQ(c.at("stale_executed"), checks ? 0 : 1);
    EXPECT_EQ(c.at("overlapping_orders"), 1);
}

INSTANTIATE_TEST_SUITE_P(checked, fencing, testing::Bool());

TEST(engine_standin, a_change_cuts_running_streams_and_counts_them)
{
    running_engine e(quick_settings());
    absl::Notification done;
    net::client_hooks hooks;
    hooks.done = [&](const net::client_result& r)
    {
        EXPECT_EQ(r.failure, net::client_failure::broken);
        done.Notify();
    };
    e.client.start(e.request("/v1/generate", work("a", "x", 10000)), hooks);
    ASSERT_TRUE(
        e.eventually([](const json& c) { return c.at("output_tokens") > 2; }));
    e.call("/v1/orders", order_body(1, "decode"));
    done.WaitForNotification();
    EXPECT_EQ(e.read("/admin/counters").at("cut_streams"), 1);
}

TEST(engine_standin, serves_higher_priority_first)
{
    running_engine e(quick_settings("max_batch = 1"));
    absl::Mutex mutex;
    std::vector<std::string> order;
    const auto start = [&](const std::string& id, int priority, int tokens)
    {
        json body = work(id, "x", tokens);
        body["priority"] = priority;
        e.client.start(e.request("/v1/generate", body),
                       {{},
                        [&, id](const net::client_result&)
                        {
                            absl::MutexLock lock(&mutex);
                            order.push_back(id);
                        }});
    };
    start("running", 0, 200);
    ASSERT_TRUE(
        e.eventually([](const json& c) { return c.at("output_tokens") > 0; }));
    start("later", 1, 5);
    ASSERT_TRUE(
        e.eventually([](const json& c) { return c.at("started") == 2; }));
    start("urgent", 9, 5);
    ASSERT_TRUE(
        e.eventually([](const json& c) { return c.at("completed") == 3; }));
    absl::MutexLock lock(&mutex);
    EXPECT_EQ(order, (std::vector<std::string>{"running", "urgent", "later"}));
}

TEST(engine_standin, frees_what_a_canceled_or_lost_caller_held)
{
    running_engine e(quick_settings());
    e.client.start(e.request("/v1/generate", work("a", "x", 10000)), {});
    const auto n =
        e.client.start(e.request("/v1/generate", work("b", "x", 10000)), {});
    ASSERT_TRUE(
        e.eventually([](const json& c) { return c.at("started") == 2; }));
    e.call("/v1/cancel", {{"request_id", "a"}});
    e.client.cancel(n);
    EXPECT_TRUE(
        e.eventually([](const json& c) { return c.at("canceled") == 2; }));
    std::this_thread::sleep_for(50ms);
    EXPECT_EQ(e.read("/v1/load").at("kv_pieces_free"), 1000);
}

TEST(engine_standin, publishes_cache_events_with_gaps)
{
    running_engine whole(quick_settings("cache_blocks = 4"));
    whole.call("/v1/prefill", work("a", words(96), 1));
    const json seen = whole.read("/v1/cache_events?after=0");
    EXPECT_EQ(seen.at("events").size(), 8U); // 6 added, 2 evicted.
    EXPECT_EQ(seen.at("next"), 8);
    EXPECT_EQ(whole.read("/v1/cache_events?after=8").at("events").size(), 0U);
    running_engine lossy(quick_settings("cache_event_gap_rate = 0.5"));
    lossy.call("/v1/prefill", work("a", words(1600), 1));
    const auto n = lossy.read("/v1/cache_events?after=0").at("events").size();
    EXPECT_GT(n, 10U);
    EXPECT_LT(n, 90U);
}

TEST(engine_standin, a_frozen_engine_goes_on_after_thawing)
{
    running_engine e(quick_settings());
    e.call("/admin/faults", {{"freeze", true}});
    net::client_request r = e.request("/v1/generate", work("a", "x", 3));
    r.timeout = 100ms;
    EXPECT_EQ(e.client.fetch(r).failure, net::client_failure::timed_out);
    e.call("/admin/faults", {{"freeze", false}});
    EXPECT_EQ(e.call("/v1/generate", work("b", "x", 3)).response.status, 200U);
}

} // namespace
} // namespace poplar::standin
