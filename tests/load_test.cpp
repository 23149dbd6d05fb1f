// Guards against a load tool that counts a wrong or incomplete answer as
// whole, or loses requests from its report.
#include "load/runner.hpp"
#include "net/http_server.hpp"
#include "standin/common/tokens.hpp"
#include "standin/engine/api.hpp"
#include "standin/service/service.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <numeric>

namespace poplar::load
{
namespace
{

using nlohmann::json;

workload make_workload(const std::string& text, const ip_address& target)
{
    auto all = settings::reader::from_text(text, "test");
    workload w = parse_workload(all);
    w.targets = {target};
    return w;
}

std::uint64_t total(const class_report& c)
{
    return std::accumulate(
        c.outcomes.begin(), c.outcomes.end(), std::uint64_t(0),
        [](auto sum, const auto& it) { return sum + it.second; });
}

std::string event(const std::string& text)
{
    const json delta{{"delta", {{"content", text}}}};
    return "data: " + json{{"choices", json::array({delta})}}.dump() + "\n\n";
}

enum class behaviour
{
    right,
    cut,
    no_end,
    error_event,
    short_answer,
    wrong_text,
    refuse,
    silent
};

/// Plays an entry that answers in the given way.
void answer_chat(behaviour how, const net::http_request& request,
                 const net::responder_ptr& a)
{
    const json body = json::parse(request.body);
    const auto prompt =
        body.at("messages").at(0).at("content").get<std::string>();
    const std::uint32_t n = standin::answer_tokens(
        prompt, body.at("max_tokens").get<std::uint32_t>());
    const std::uint64_t digest = standin::answer_digest(
        how == behaviour::wrong_text ? prompt + "x" : prompt, "m");
    const std::string text = standin::answer_text(
        digest, 0, how == behaviour::short_answer ? n - 1 : n);
    if (how == behaviour::refuse)
        return a->respond(
            {429,
             {{"Poplar-Ran", "no"}},
             R"({"error":{"type":"overloaded","retry_after_ms":50}})"});
    if (how == behaviour::silent)
        return a->abort();
    if (!body.at("stream").get<bool>())
        return a->respond(net::json_response(
            200,
            json{{"choices", json::array({{{"message", {{"content", text}}}}})}}
                .dump()));
    a->begin(200, {});
    const std::size_t middle = text.size() / 2;
    a->write(event(text.substr(0, middle)));
    if (how == behaviour::error_event)
        a->write("data: {\"error\":{\"type\":\"deadline\"}}\n\n");
    if (how == behaviour::cut)
        return a->when_drained(1, [a] { a->abort(); });
    if (how != behaviour::error_event)
        a->write(event(text.substr(middle)));
    if (how != behaviour::no_end && how != behaviour::error_event)
        a->write("data: [DONE]\n\n");
    a->finish();
}

struct judging_case
{
    behaviour how;
    outcome expected;
    const char* detail;
    bool stream = true;
};

class judging : public testing::TestWithParam<judging_case>
{
};

TEST_P(judging, tells_each_kind_of_answer)
{
    const net::http_server entry(
        {{"127.0.0.1", 0}},
        [](const net::http_request& r, const net::responder_ptr& a)
        { answer_chat(GetParam().how, r, a); });
    const std::string text =
        "duration = '200ms'\n[[class]]\nname = 'a'\nopen = 3\n"
        "output_median = 8\noutput_spread = 0.3\nmax_tokens = 100\nstream = " +
        std::string(GetParam().stream ? "true" : "false");
    runner r(make_workload(text, entry.address()));
    const auto reports = r.run().classes;
    const class_report& c = reports.at(0);
    EXPECT_GT(c.sent, 2U);
    EXPECT_EQ(c.outcomes, (std::map<outcome, std::uint64_t>{
                              {GetParam().expected, c.sent}}));
    const auto& details =
        GetParam().expected == outcome::refused ? c.refusals : c.failures;
    if (*GetParam().detail != '\0')
    {
        EXPECT_EQ(details.count(GetParam().detail), 1U);
    }
    EXPECT_EQ(c.good_tokens > 0, GetParam().expected == outcome::completed);
}

INSTANTIATE_TEST_SUITE_P(
    table, judging,
    testing::Values(
        judging_case{behaviour::right, outcome::completed, ""},
        judging_case{behaviour::right, outcome::completed, "", false},
        judging_case{behaviour::cut, outcome::cut, "broken"},
        judging_case{behaviour::no_end, outcome::cut, "no_end"},
        judging_case{behaviour::error_event, outcome::cut, "deadline"},
        judging_case{behaviour::short_answer, outcome::cut, "short"},
        judging_case{behaviour::short_answer, outcome::cut, "short", false},
        judging_case{behaviour::wrong_text, outcome::mixed, ""},
        judging_case{behaviour::wrong_text, outcome::mixed, "", false},
        judging_case{behaviour::refuse, outcome::refused, "overloaded"},
        judging_case{behaviour::silent, outcome::failed, "broken"}));

TEST(load, drives_a_stand_in_engine_directly)
{
    auto all = settings::reader::from_text("decode_step = '2ms'", "engine");
    const auto settings = standin::parse_engine_settings(all);
    standin::engine_api api(settings);
    const net::http_server engine(
        {settings.listen},
        [&api](const net::http_request& r, const net::responder_ptr& a)
        { api.handle(r, a); });
    const std::string text =
        "duration = '500ms'\nprotocol = 'engine'\n"
        "[[class]]\nname = 'rate'\nrate = 100\noutput_median = 10\n"
        "shared_prefix = 32\nprompt_median = 40\n"
        "[[class]]\nname = 'open'\nopen = 5\nprompt_spread = 0.5\n";
    runner r(make_workload(text, engine.address()));
    auto reports = r.run().classes;
    for (const class_report& c : reports)
    {
        EXPECT_GT(c.sent, 10U) << c.name;
        EXPECT_EQ(c.outcomes.at(outcome::completed), c.sent) << c.name;
    }
    EXPECT_LT(reports.at(0).sent, 100U);
    EXPECT_GE(percentile(reports.at(1).intervals, 0.5),
              std::chrono::milliseconds(1));
}

TEST(load, repeats_and_retries_calls_with_the_same_key)
{
    auto all = settings::reader::from_text("", "service");
    standin::service service(standin::parse_service_settings(all));
    std::atomic<int> refused = 0;
    const net::http_server server(
        {{"127.0.0.1", 0}},
        [&](const net::http_request& r, const net::responder_ptr& a)
        {
            if (refused++ < 2)
                return a->respond(
                    {503, {}, R"({"error":{"type":"ledger_unavailable"}})"});
            service.handle(r, a);
        });
    const std::string text =
        "duration = '1s'\n[[class]]\nname = 'pay'\nkind = 'call'\nrate = 20\n"
        "service = 'booking'\nkeyed = true\nrepeat_rate = 1.0\nretries = 5";
    runner r(make_workload(text, server.address()));
    const auto reports = r.run().classes;
    const class_report& c = reports.at(0);
    EXPECT_EQ(c.outcomes.at(outcome::completed), c.sent);
    EXPECT_EQ(c.outcomes.size(), 1U);
    net::http_client client;
    net::client_request counters;
    counters.to = server.address();
    counters.path = "/admin/counters";
    const json seen = json::parse(client.fetch(counters).response.body);
    // Each key twice, as nothing stands between the tool and the service.
    EXPECT_EQ(seen.at("calls"), c.sent);
    EXPECT_EQ(seen.at("repeated").get<std::uint64_t>() * 2, c.sent);
}

TEST(load, counts_requests_that_never_end)
{
    std::vector<net::responder_ptr> held;
    const net::http_server entry(
        {{"127.0.0.1", 0}, 1},
        [&](const net::http_request&, const net::responder_ptr& a)
        { held.push_back(a); });
    runner r(make_workload("duration = '100ms'\ndrain = '200ms'\n"
                           "[[class]]\nname = 'a'\nopen = 4",
                           entry.address()));
    const auto reports = r.run().classes;
    EXPECT_EQ(reports.at(0).sent, 4U);
    EXPECT_EQ(total(reports.at(0)), 4U);
    EXPECT_EQ(reports.at(0).failures.at("canceled"), 4U);
}

TEST(load, percentiles_are_of_the_nearest_rank)
{
    std::vector<duration> samples;
    for (int i = 100; i > 0; --i)
        samples.emplace_back(i);
    EXPECT_EQ(percentile(samples, 0.50), duration(50));
    EXPECT_EQ(percentile(samples, 0.95), duration(95));
    EXPECT_EQ(percentile(samples, 0.99), duration(99));
    std::vector<duration> none;
    EXPECT_EQ(percentile(none, 0.99), duration(0));
}

} // namespace
} // namespace poplar::load
