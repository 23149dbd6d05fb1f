// Guards against repeated execution of requests that may execute only once, and
// against answering "not executed" for requests that may have executed.
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
    attempt_result result;
    attempt_history history;
    bool has_budget;
    next_step expected;
};

class retry_rules : public testing::TestWithParam<rule_case>
{
};

TEST_P(retry_rules, decide_the_next_step)
{
    const rule_case& c = GetParam();
    EXPECT_EQ(
        decide_next_step(c.result, c.history, [&] { return c.has_budget; }),
        c.expected);
}

constexpr attempt_history once{
    .executions = 1, .attempts = 1, .max_executions = 2};
constexpr attempt_history repeatable{
    .is_repeatable = true, .executions = 1, .attempts = 1, .max_executions = 2};

INSTANTIATE_TEST_SUITE_P(
    rules, retry_rules,
    testing::Values(
        rule_case{"answer", attempt_result::answered, once, false,
                  next_step::deliver},
        rule_case{"lost_once", attempt_result::lost, once, true,
                  next_step::fail},
        rule_case{"lost_repeatable", attempt_result::lost, repeatable, true,
                  next_step::retry},
        rule_case{"lost_without_budget", attempt_result::lost, repeatable,
                  false, next_step::fail},
        rule_case{"stalled_once", attempt_result::stalled, once, true,
                  next_step::fail},
        rule_case{"stalled_repeatable", attempt_result::stalled, repeatable,
                  true, next_step::retry},
        rule_case{"lost_after_a_repeated_reading",
                  attempt_result::lost,
                  {.is_repeatable = true,
                   .executions = 1,
                   .attempts = 2,
                   .max_executions = 2,
                   .prefill_calls = 2},
                  true,
                  next_step::fail},
        rule_case{"error_once", attempt_result::answered_error, once, true,
                  next_step::deliver},
        rule_case{"error_repeatable", attempt_result::answered_error,
                  repeatable, true, next_step::retry},
        rule_case{"not_run_first",
                  attempt_result::not_run,
                  {.attempts = 1},
                  false,
                  next_step::refuse},
        rule_case{"not_run_after_a_run",
                  attempt_result::not_run,
                  {.is_repeatable = true, .executions = 1, .attempts = 2},
                  false,
                  next_step::fail},
        rule_case{"not_sent",
                  attempt_result::not_sent,
                  {.attempts = 1},
                  false,
                  next_step::retry},
        rule_case{"not_sent_too_often",
                  attempt_result::not_sent,
                  {.attempts = max_total_attempts},
                  true,
                  next_step::refuse},
        rule_case{"no_time_left",
                  attempt_result::not_run,
                  {.attempts = 1, .has_time = false},
                  true,
                  next_step::refuse},
        rule_case{"timed_out", attempt_result::timed_out, repeatable, true,
                  next_step::fail}),
    [](const auto& it) { return it.param.name; });

struct prefill_case
{
    const char* name;
    attempt_history history;
    bool may_prefill;
};

class repeated_reading : public testing::TestWithParam<prefill_case>
{
};

// Prefill calls after the first count against the route's max_attempts.
TEST_P(repeated_reading, leaves_an_attempt_for_the_run)
{
    EXPECT_EQ(may_prefill_again(GetParam().history), GetParam().may_prefill);
}

INSTANTIATE_TEST_SUITE_P(
    histories, repeated_reading,
    testing::Values(
        prefill_case{"first_reading", {.max_executions = 1}, true},
        prefill_case{
            "one_attempt", {.max_executions = 1, .prefill_calls = 1}, false},
        prefill_case{
            "two_attempts", {.max_executions = 2, .prefill_calls = 1}, true},
        prefill_case{"after_a_run",
                     {.executions = 1, .max_executions = 2, .prefill_calls = 1},
                     false},
        prefill_case{
            "third_reading", {.max_executions = 2, .prefill_calls = 2}, false}),
    [](const auto& it) { return it.param.name; });

/// Simulates attempts with random results and checks the limits on executions
/// and attempts.
RC_GTEST_PROP(retry_rules_history, keeps_promises,
              (const std::vector<unsigned char>& draws, bool is_repeatable,
               unsigned char max_executions))
{
    attempt_history h;
    h.is_repeatable = is_repeatable;
    h.max_executions = 1 + max_executions % 3;
    next_step step = next_step::retry;
    for (const unsigned char it : draws)
    {
        if (step != next_step::retry)
            break;
        const auto result = attempt_result(it % 7);
        ++h.attempts;
        if (result != attempt_result::not_sent &&
            result != attempt_result::not_run)
            ++h.executions;
        step = decide_next_step(result, h, [&] { return it >= 32; });
    }
    RC_ASSERT(h.executions <= (is_repeatable ? h.max_executions : 1U));
    RC_ASSERT(step != next_step::refuse || h.executions == 0);
    RC_ASSERT(h.attempts <= max_total_attempts);
}

} // namespace
} // namespace poplar::gateway
