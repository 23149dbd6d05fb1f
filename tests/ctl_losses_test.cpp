// Guards against reports on a gateway's log that name the wrong cause of a lost
// or late request, or that stop at a line which is no record.
#include "ctl/gateway_log.hpp"
#include "ctl/losses.hpp"

#include <gtest/gtest.h>
#include <sstream>

namespace poplar::ctl
{
namespace
{

using nlohmann::json;

json placed(const std::string& reader, const char* wait_ms, const char* read_ms)
{
    return {{"event", 905},       {"name", "gateway_request_placed"},
            {"request", "a"},     {"reader", reader},
            {"wait_ms", wait_ms}, {"read_ms", read_ms}};
}

json ended(const char* outcome, const char* tries, const char* prompt_read_ms,
           const char* first_event_ms, const char* taken_ms)
{
    return {{"event", 907},
            {"name", "gateway_request_ended"},
            {"request", "a"},
            {"service", "s"},
            {"priority", "0"},
            {"outcome", outcome},
            {"status", "200"},
            {"tries", tries},
            {"prompt_read_ms", prompt_read_ms},
            {"first_event_ms", first_event_ms},
            {"taken_ms", taken_ms},
            {"target_ms", "500"}};
}

json ended_with_pause(const char* pause_ms)
{
    json end = ended("answered", "1", "300", "400", "900");
    end["longest_pause_ms"] = pause_ms;
    end["pause_target_ms"] = "150";
    return end;
}

struct loss_case
{
    const char* name;
    std::vector<json> records;
    std::uint64_t kind_losses::*count;
    const char* cause; ///< Empty: none.
};

class losses : public testing::TestWithParam<loss_case>
{
};

TEST_P(losses, have_the_cause_that_the_log_shows)
{
    loss_report report;
    for (const json& it : GetParam().records)
        report.add(it);
    ASSERT_EQ(report.kinds().size(), 1U);
    const kind_losses& k = report.kinds().begin()->second;
    EXPECT_EQ(k.requests, 1U);
    EXPECT_EQ(k.*GetParam().count, 1U);
    const std::map<std::string, std::uint64_t> none;
    const std::map<std::string, std::uint64_t> one{{GetParam().cause, 1}};
    EXPECT_EQ(k.causes, GetParam().cause[0] == '\0' ? none : one);
}

const json with_wait = placed("p", "400", "600");
const json without_wait = placed("p", "0", "600");

INSTANTIATE_TEST_SUITE_P(
    logs, losses,
    testing::Values(
        loss_case{"in_time",
                  {with_wait, ended("answered", "1", "300", "400", "900")},
                  &kind_losses::in_time,
                  ""},
        loss_case{"late_by_wait",
                  {with_wait, ended("answered", "1", "700", "800", "900")},
                  &kind_losses::late,
                  "prefill_wait"},
        loss_case{"late_by_length",
                  {without_wait, ended("answered", "1", "700", "800", "900")},
                  &kind_losses::late,
                  "prompt"},
        loss_case{"late_in_decode",
                  {with_wait, ended("answered", "1", "300", "800", "900")},
                  &kind_losses::late,
                  "decode_wait"},
        loss_case{"late_by_pause",
                  {with_wait, ended_with_pause("151")},
                  &kind_losses::late,
                  "pause"},
        loss_case{"in_time_with_short_pauses",
                  {with_wait, ended_with_pause("150")},
                  &kind_losses::in_time,
                  ""},
        loss_case{"late_by_retry",
                  {with_wait, ended("answered", "2", "700", "800", "900")},
                  &kind_losses::late,
                  "retry"},
        loss_case{"late_call",
                  {ended("answered", "1", "0", "0", "900")},
                  &kind_losses::late,
                  "call"},
        loss_case{"refused",
                  {ended("refused: overloaded", "0", "0", "0", "1")},
                  &kind_losses::refused,
                  "overloaded"},
        loss_case{"failed",
                  {ended("failed: lost", "1", "0", "0", "1")},
                  &kind_losses::failed,
                  "lost"},
        loss_case{"left_in_reading",
                  {with_wait, ended("caller_left", "0", "0", "0", "2000")},
                  &kind_losses::left,
                  "prefill"},
        loss_case{"left_before_an_event",
                  {with_wait, ended("caller_left", "0", "300", "0", "2000")},
                  &kind_losses::left,
                  "first_event"}),
    [](const auto& it) { return it.param.name; });

TEST(read_log, skips_what_is_no_record)
{
    std::istringstream in("starting\n"
                          "{\"time\":\n"
                          "1.5 node {\"event\":907,\"name\":\"n\"}\n"
                          "{\"other\":1}\n");
    std::size_t n = 0;
    const log_counts counts = read_log(in, [&](const json&) { ++n; });
    EXPECT_EQ(n, 1U);
    EXPECT_EQ(counts.records, 1U);
    EXPECT_EQ(counts.others, 3U);
}

} // namespace
} // namespace poplar::ctl
