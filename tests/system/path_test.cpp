// Guards against a path from caller to upstream that does not work as a whole
// with real processes.
#include "tests/system/cluster.hpp"

#include <gtest/gtest.h>

namespace poplar::testing_support
{
namespace
{

TEST(path, a_streamed_request_is_served_whole)
{
    cluster c({.entries = 1, .engines = 1, .services = 0});
    ASSERT_TRUE(c.wait_until_usable());
    caller callers(c);
    const chat_request request;
    const chat_result r = callers.wait(callers.send(c.entries[0], request));
    EXPECT_EQ(r.status, 200U);
    EXPECT_TRUE(r.has_done);
    EXPECT_EQ(r.text, expected_text(request));
}

TEST(path, a_whole_answer_and_a_service_call_are_served)
{
    cluster c({.entries = 1, .engines = 1, .services = 1});
    ASSERT_TRUE(c.wait_until_usable());
    caller callers(c);
    chat_request request;
    request.stream = false;
    const chat_result r = callers.wait(callers.send(c.entries[0], request));
    EXPECT_EQ(r.status, 200U);
    EXPECT_EQ(r.text, expected_text(request));
    EXPECT_EQ(
        call_service(c, c.entries[0], "GET", "/availability", "", "").status,
        200U);
    const service_result booked =
        call_service(c, c.entries[0], "POST", "/bookings", "k1", "barn 7");
    EXPECT_EQ(booked.status, 200U) << booked.body;
    EXPECT_EQ(booked.ran, "yes");
    EXPECT_EQ(c.counters(c.services[0])["executions"]["k1"], 1);
}

} // namespace
} // namespace poplar::testing_support
