// Guards against requests lost or handled by an old configuration in a start, a
// change of the configuration or of the settings, and a shutdown.
#include "tests/platform/gateway_fixture.hpp"

namespace poplar::gateway
{
namespace
{

TEST_F(gateway_test, answers_503_without_a_configuration)
{
    start_without_configuration();
    EXPECT_EQ(status_line(gateway_->ready_address(), "/ready"), "503");
    const std::string answer = fetch(request("/safe/x", "1"), "\r\n\r\n");
    EXPECT_EQ(status_of(answer), "503");
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
}

TEST_F(gateway_test, never_goes_back_to_an_older_configuration)
{
    scripted_upstream u(
        [](const std::string& head) -> scripted_answer
        { return {whole_answer(200, field_of(head, "Attempt-Id"), "x")}; });
    add_upstream("i-1", u.address(), "desk");
    start(5);
    json older = configuration_json(4);
    older["routes"].erase(0);
    put("config/main", older);
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(status_of(fetch(request("/safe/x", "1"), "\r\n\r\n")), "200");
}

TEST_F(gateway_test, applies_a_new_configuration_at_once)
{
    scripted_upstream u(
        [](const std::string& head) -> scripted_answer
        { return {whole_answer(200, field_of(head, "Attempt-Id"), "x")}; });
    add_upstream("i-1", u.address(), "desk");
    start(5);
    json newer = configuration_json(9);
    newer["routes"].erase(0);
    put("config/main", newer);
    const mono_time until = now() + seconds(2);
    std::string status;
    while (now() < until && status != "404")
        status = status_of(fetch(request("/safe/x", "1"), "\r\n\r\n"));
    EXPECT_EQ(status, "404");
}

// A request that came long after SIGTERM was taken and cut at the end of the
// shutdown (hunt, mix --seed 965339727917).
TEST_F(gateway_test, finishes_open_requests_and_refuses_late_ones)
{
    scripted_upstream u(
        [](const std::string& head) -> scripted_answer
        {
            return {.bytes = whole_answer(200, field_of(head, "Attempt-Id"),
                                          "end of answer"),
                    .delay = milliseconds(800)};
        });
    add_upstream("i-1", u.address(), "desk");
    start();
    scripted_caller open(gateway_->address());
    scripted_caller late(gateway_->address());
    open.send(request("/once/x", "1"));
    while (u.heads().empty())
        std::this_thread::sleep_for(milliseconds(5));
    std::thread shutdown([this] { gateway_->drain(); });
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_EQ(status_line(gateway_->ready_address(), "/ready"), "503");
    std::this_thread::sleep_for(milliseconds(400));
    late.send(request("/once/x", "2"));
    const std::string refusal = late.read_until("\r\n\r\n");
    EXPECT_EQ(status_of(refusal), "503");
    EXPECT_NE(refusal.find("Connection: close"), std::string::npos);
    const std::string answer = open.read_until("end of answer");
    EXPECT_EQ(status_of(answer), "200");
    shutdown.join();
    EXPECT_EQ(u.heads().size(), 1U);
}

TEST_F(gateway_test, takes_over_changed_limits_while_running)
{
    scripted_upstream u(
        [](const std::string& head) -> scripted_answer
        { return {whole_answer(200, field_of(head, "Attempt-Id"), "x")}; });
    add_upstream("i-1", u.address(), "desk");
    start();
    gateway_settings changed;
    changed.limits.max_open_requests = 0;
    gateway_->apply(changed);
    const std::string answer = fetch(request("/safe/x", "1"), "\r\n\r\n");
    EXPECT_EQ(status_of(answer), "503");
    EXPECT_TRUE(u.heads().empty());
}

TEST_F(gateway_test, serves_metrics)
{
    start_without_configuration();
    scripted_caller c(gateway_->admin_address());
    c.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_NE(c.read_until("poplar_gateway_open_requests")
                  .find("poplar_gateway_open_requests"),
              std::string::npos);
}

} // namespace
} // namespace poplar::gateway
