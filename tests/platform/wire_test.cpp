// Guards against heads that a caller could use to speak for the gateway, and
// against answers that are misread.
#include "platform/wire.hpp"

#include <gtest/gtest.h>

namespace poplar::platform
{
namespace
{

using std::chrono::milliseconds;

request_head sample_request()
{
    request_head h;
    h.version(11);
    h.method(http::verb::post);
    h.target("/lohu/2f?a=%20");
    h.set(http::field::host, "a.example");
    h.set("Attempt-Id", "9c41");
    h.set("Model", "m");
    h.set("Token-Count", "1460,80");
    h.set("Prompt-Prefix", "5c1e:800,91bd:410,e440:250");
    h.set("Deadline-Ms", "5000");
    return h;
}

TEST(decode_request, reads_the_prompt)
{
    const gateway::request_info r = decode_request(sample_request());
    EXPECT_EQ(r.id.value, "9c41");
    EXPECT_EQ(r.caller_timeout, duration(milliseconds(5000)));
    ASSERT_TRUE(r.engine_prompt);
    EXPECT_EQ(r.engine_prompt->input, token_count(1460));
    EXPECT_EQ(r.engine_prompt->max_output, token_count(80));
    ASSERT_EQ(r.engine_prompt->blocks.size(), 3U);
    EXPECT_EQ(r.engine_prompt->blocks[1].tokens, token_count(410));
}

struct malformed_case
{
    const char* name;
    const char* field;
    const char* value;
    bool (*counts)(const gateway::request_info&); ///< The field was taken.
};

class malformed_request : public testing::TestWithParam<malformed_case>
{
};

TEST_P(malformed_request, counts_the_field_as_absent)
{
    request_head h = sample_request();
    h.set(GetParam().field, GetParam().value);
    EXPECT_FALSE(GetParam().counts(decode_request(h)));
}

bool has_deadline(const gateway::request_info& r)
{
    return r.caller_timeout.has_value();
}

bool has_work(const gateway::request_info& r)
{
    return r.engine_prompt.has_value();
}

bool has_parts(const gateway::request_info& r)
{
    return r.engine_prompt && !r.engine_prompt->blocks.empty();
}

bool has_event(const gateway::request_info& r)
{
    return r.resume_after.has_value();
}

INSTANTIATE_TEST_SUITE_P(
    fields, malformed_request,
    testing::Values(
        malformed_case{"deadline", "Deadline-Ms", "soon", has_deadline},
        malformed_case{"deadline_tail", "Deadline-Ms", "5ms", has_deadline},
        malformed_case{"one_count", "Token-Count", "1460", has_work},
        malformed_case{"no_count", "Token-Count", "a,b", has_work},
        malformed_case{"endless_deadline", "Deadline-Ms", "inf", has_deadline},
        malformed_case{"no_number", "Deadline-Ms", "nan", has_deadline},
        malformed_case{"huge_deadline", "Deadline-Ms", "1e300", has_deadline},
        malformed_case{"negative_input", "Token-Count", "-5,20", has_work},
        malformed_case{"negative_output", "Token-Count", "5,-20", has_work},
        malformed_case{"huge_input", "Token-Count", "9223372036854775807,1",
                       has_work},
        malformed_case{"negative_part", "Prompt-Prefix", "aa:-5", has_parts},
        malformed_case{"huge_part", "Prompt-Prefix", "aa:9223372036854775807",
                       has_parts},
        malformed_case{"no_tokens", "Prompt-Prefix", "5c1e", has_parts},
        malformed_case{"text_tokens", "Prompt-Prefix", "5c1e:x", has_parts},
        malformed_case{"event_id", "Last-Event-Id", "-", has_event}),
    [](const auto& it) { return it.param.name; });

class dropped_field : public testing::TestWithParam<const char*>
{
};

TEST_P(dropped_field, of_a_caller_does_not_reach_upstreams)
{
    request_head h = sample_request();
    h.set(GetParam(), "forged");
    const request_head sent =
        encode_request(h, {.upstream = gateway::upstream_id("i-1"),
                           .remaining_time = milliseconds(700)});
    EXPECT_NE(sent[GetParam()], "forged");
}

INSTANTIATE_TEST_SUITE_P(fields, dropped_field,
                         testing::Values("Kv-Hold", "Pin-Ms", "Kv-Backup",
                                         "Kv-Source", "Kv-Fetch",
                                         "Serving-Stage", "Expect-Instance",
                                         "Request-Priority", "Deadline-Ms",
                                         "Transfer-Encoding", "Keep-Alive",
                                         "Upgrade"));

TEST(encode_request, drops_what_the_connection_field_names)
{
    request_head h = sample_request();
    h.set("Connection", "close, X-Mine");
    h.set("X-Mine", "1");
    h.set("X-Other", "2");
    const request_head sent = encode_request(h, {});
    EXPECT_EQ(sent.count("X-Mine"), 0U);
    EXPECT_EQ(sent["X-Other"], "2");
    EXPECT_EQ(sent.target(), "/lohu/2f?a=%20");
}

TEST(encode_request, says_how_the_upstream_is_to_serve_it)
{
    gateway::send_options o;
    o.upstream = gateway::upstream_id("i-1");
    o.remaining_time = milliseconds(1234);
    o.priority = 2;
    o.kv = {{"10.0.0.1", 80}, "h1"};
    o.fetch_from = {"10.0.0.2", 81};
    o.resume_after = 7;
    const request_head sent = encode_request(sample_request(), o);
    EXPECT_EQ(sent["Expect-Instance"], "i-1");
    EXPECT_EQ(sent["Deadline-Ms"], "1234");
    EXPECT_EQ(sent["Request-Priority"], "2");
    EXPECT_EQ(sent["Kv-Source"], "10.0.0.1:80/h1");
    EXPECT_EQ(sent["Kv-Fetch"], "10.0.0.2:81");
    EXPECT_EQ(sent["Last-Event-Id"], "7");
    EXPECT_EQ(sent.count("Serving-Stage"), 0U);
}

struct answer_case
{
    const char* name;
    unsigned status;
    const char* field;
    const char* value;
    bool not_run;
};

class answers : public testing::TestWithParam<answer_case>
{
};

TEST_P(answers, are_understood)
{
    answer_head h;
    h.version(11);
    h.result(GetParam().status);
    h.set(GetParam().field, GetParam().value);
    const gateway::answer_info a = decode_answer(h);
    EXPECT_EQ(a.not_executed, GetParam().not_run);
}

INSTANTIATE_TEST_SUITE_P(
    heads, answers,
    testing::Values(answer_case{"ok", 200, "Response-Seal", "s", false},
                    answer_case{"not_run", 503, "Not-Executed", "1", true},
                    answer_case{"says_nothing", 503, "X", "1", false},
                    answer_case{"other_upstream", 421, "Instance-Id", "i",
                                true},
                    answer_case{"leaves", 200, "Connection", "close", false}),
    [](const auto& it) { return it.param.name; });

struct request_limit_case
{
    const char* name;
    std::vector<const char*> values;
    std::optional<double> per_second;
    bool is_bad = false;
};

class request_limits : public testing::TestWithParam<request_limit_case>
{
};

TEST_P(request_limits, are_read)
{
    answer_head h;
    for (const char* it : GetParam().values)
        h.insert("Server-Limit", it);
    const gateway::answer_info a = decode_answer(h);
    EXPECT_EQ(a.request_limit, GetParam().per_second);
    EXPECT_EQ(a.has_bad_limit, GetParam().is_bad);
}

INSTANTIATE_TEST_SUITE_P(
    values, request_limits,
    testing::Values(request_limit_case{"none", {}, std::nullopt},
                    request_limit_case{"decimal", {"3.1"}, 3.1},
                    request_limit_case{"zero", {"0"}, 0.0},
                    request_limit_case{"lowest_counts", {"5", "3", "4"}, 3.0},
                    request_limit_case{"empty", {""}, std::nullopt, true},
                    request_limit_case{"negative", {"-1"}, std::nullopt, true},
                    request_limit_case{
                        "not_a_number", {"nan"}, std::nullopt, true},
                    request_limit_case{"infinite", {"inf"}, std::nullopt, true},
                    request_limit_case{"unit", {"3/s"}, std::nullopt, true},
                    request_limit_case{"one_bad", {"3", "x"}, 3.0, true}),
    [](const auto& it) { return it.param.name; });

TEST(decode_answer, ignores_an_idle_limit_out_of_range)
{
    answer_head h;
    h.set("Keep-Alive", "timeout=9223372036854775807");
    EXPECT_FALSE(decode_answer(h).keep_alive.has_value());
}

TEST(decode_answer, reads_the_idle_limit)
{
    answer_head h;
    h.set("Keep-Alive", "timeout=5, max=9");
    EXPECT_EQ(decode_answer(h).keep_alive, duration(std::chrono::seconds(5)));
}

struct refusal_case
{
    std::int64_t microseconds;
    const char* retry_after; ///< In seconds.
};

class refusal : public testing::TestWithParam<refusal_case>
{
};

// Rounded to the nearest millisecond, it sent callers back up to 0.5 ms early.
TEST_P(refusal, does_not_tell_callers_to_return_too_early)
{
    const answer_head h = make_refusal(
        503, {}, std::chrono::microseconds(GetParam().microseconds));
    EXPECT_EQ(h["Retry-After"], GetParam().retry_after);
}

INSTANTIATE_TEST_SUITE_P(pauses, refusal,
                         testing::Values(refusal_case{1, "0.001"},
                                         refusal_case{499'068, "0.500"},
                                         refusal_case{499'999, "0.500"},
                                         refusal_case{500'000, "0.500"},
                                         refusal_case{61'000'001, "61.001"}));

TEST(decode_prefill, refuses_a_body_without_handle)
{
    EXPECT_THROW(decode_prefill("{}", {}), parse_error);
    EXPECT_THROW(decode_prefill("no json", {}), parse_error);
    EXPECT_EQ(decode_prefill(R"({"kvHandle":"h"})", {}).handle, "h");
}

TEST(decode_cache_list, names_parts_as_requests_do)
{
    const auto parts = decode_cache_list(R"({"held":[["","91bd",410,"m"]]})");
    const gateway::request_info r = decode_request(sample_request());
    ASSERT_EQ(parts.size(), 1U);
    EXPECT_EQ(parts[0].digest, r.engine_prompt->blocks[1].digest);
}

class odd_number : public testing::TestWithParam<const char*>
{
};

// A number out of range was cut off and taken for another one.
TEST_P(odd_number, is_refused_in_reports_and_cache_lists)
{
    const std::string n = GetParam();
    EXPECT_THROW(decode_report(R"({"seq":)" + n + "}"), parse_error);
    EXPECT_THROW(
        decode_cache_list(R"({"held":[["","91bd",)" + n + R"(,"m"]]})"),
        parse_error);
}

INSTANTIATE_TEST_SUITE_P(numbers, odd_number,
                         testing::Values("-1", "1.5", "1e30", "1e999", "true",
                                         "\"1\"", "18446744073709551624"));

// Answers of an upstream are bounded in size, but not in depth.
TEST(decode_answers, refuses_deeply_nested_ones)
{
    const std::string deep =
        std::string(400'000, '[') + std::string(400'000, ']');
    EXPECT_THROW(decode_report(R"({"x":)" + deep + "}"), parse_error);
    EXPECT_THROW(decode_cache_list(R"({"held":)" + deep + "}"), parse_error);
    EXPECT_THROW(decode_prefill(R"({"kvHandle":)" + deep + "}", {}),
                 parse_error);
}

} // namespace
} // namespace poplar::platform
