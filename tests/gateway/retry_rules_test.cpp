// Guards against second runs of requests that may run once, and against
// refusals of requests that may have run.
#include "gateway/retry_rules.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplar::gateway
{
namespace
{

struct rule_case
{
    const char* name;
    try_result result;
    try_history history;
    bool has_budget;
    next_step expected;
};

class retry_rules : public testing::TestWithParam<rule_case>
{
};

TEST_P(retry_rules, decide_the_next_step)
{
    const rule_case& c = GetParam();
    EXPECT_EQ(after_try(c.result, c.history, [&] { return c.has_budget; }),
              c.expected);
}

constexpr try_history once{.runs = 1, .tries = 1, .most_runs = 2};
constexpr try_history repeatable{
    .is_repeatable = true, .runs = 1, .tries = 1, .most_runs = 2};

INSTANTIATE_TEST_SUITE_P(
    rules, retry_rules,
    testing::Values(rule_case{"answer", try_result::answered, once, false,
                              next_step::deliver},
                    rule_case{"lost_once", try_result::lost, once, true,
                              next_step::fail},
                    rule_case{"lost_repeatable", try_result::lost, repeatable,
                              true, next_step::retry},
                    rule_case{"lost_without_budget", try_result::lost,
                              repeatable, false, next_step::fail},
                    rule_case{"stalled_once", try_result::stalled, once, true,
                              next_step::fail},
                    rule_case{"stalled_repeatable", try_result::stalled,
                              repeatable, true, next_step::retry},
                    rule_case{"lost_after_a_repeated_reading",
                              try_result::lost,
                              {.is_repeatable = true,
                               .runs = 1,
                               .tries = 2,
                               .most_runs = 2,
                               .readings = 2},
                              true,
                              next_step::fail},
                    rule_case{"error_once", try_result::answered_error, once,
                              true, next_step::deliver},
                    rule_case{"error_repeatable", try_result::answered_error,
                              repeatable, true, next_step::retry},
                    rule_case{"not_run_first",
                              try_result::not_run,
                              {.tries = 1},
                              false,
                              next_step::refuse},
                    rule_case{"not_run_after_a_run",
                              try_result::not_run,
                              {.is_repeatable = true, .runs = 1, .tries = 2},
                              false,
                              next_step::fail},
                    rule_case{"not_sent",
                              try_result::not_sent,
                              {.tries = 1},
                              false,
                              next_step::retry},
                    rule_case{"not_sent_too_often",
                              try_result::not_sent,
                              {.tries = most_tries},
                              true,
                              next_step::refuse},
                    rule_case{"no_time_left",
                              try_result::not_run,
                              {.tries = 1, .has_time = false},
                              true,
                              next_step::refuse},
                    rule_case{"timed_out", try_result::timed_out, repeatable,
                              true, next_step::fail}),
    [](const auto& it) { return it.param.name; });

struct reading_case
{
    const char* name;
    try_history history;
    bool may_read;
};

class repeated_reading : public testing::TestWithParam<reading_case>
{
};

// Readings after the first count against the most attempts of a route.
TEST_P(repeated_reading, leaves_an_attempt_for_the_run)
{
    EXPECT_EQ(may_read_again(GetParam().history), GetParam().may_read);
}

INSTANTIATE_TEST_SUITE_P(
    histories, repeated_reading,
    testing::Values(
        reading_case{"first_reading", {.most_runs = 1}, true},
        reading_case{"one_attempt", {.most_runs = 1, .readings = 1}, false},
        reading_case{"two_attempts", {.most_runs = 2, .readings = 1}, true},
        reading_case{
            "after_a_run", {.runs = 1, .most_runs = 2, .readings = 1}, false},
        reading_case{"third_reading", {.most_runs = 2, .readings = 2}, false}),
    [](const auto& it) { return it.param.name; });

/// Plays tries with random results; returns the last step and the runs.
RC_GTEST_PROP(retry_rules_history, keeps_promises,
              (const std::vector<unsigned char>& draws, bool is_repeatable,
               unsigned char most_runs))
{
    try_history h;
    h.is_repeatable = is_repeatable;
    h.most_runs = 1 + most_runs % 3;
    next_step step = next_step::retry;
    for (const unsigned char it : draws)
    {
        if (step != next_step::retry)
            break;
        const auto result = try_result(it % 7);
        ++h.tries;
        if (result != try_result::not_sent && result != try_result::not_run)
            ++h.runs;
        step = after_try(result, h, [&] { return it >= 32; });
    }
    RC_ASSERT(h.runs <= (is_repeatable ? h.most_runs : 1U));
    RC_ASSERT(step != next_step::refuse || h.runs == 0);
    RC_ASSERT(h.tries <= most_tries);
}

} // namespace
} // namespace poplar::gateway
