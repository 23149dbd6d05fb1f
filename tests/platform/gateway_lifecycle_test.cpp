// Guards against requests that are lost or handled by an outdated configuration
// during startup, a change of configuration or settings, or shutdown.
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
    const mono_time deadline = now() + seconds(2);
    std::string status;
    while (now() < deadline && status != "404")
        status = status_of(fetch(request("/safe/x", "1"), "\r\n\r\n"));
    EXPECT_EQ(status, "404");
}

// A kept connection was closed after the idle timeout of the configuration in
// force when it became idle, although a later one allowed a longer time.
TEST_F(gateway_test, keeps_idle_connections_by_the_timeout_in_force)
{
    scripted_upstream u(
        [](const std::string& head) -> scripted_answer
        { return {whole_answer(200, field_of(head, "Attempt-Id"), "x")}; });
    add_upstream("i-1", u.address(), "desk");
    json configuration = configuration_json(1);
    configuration["limits"]["idleTimeoutMs"] = 800;
    put("config/main", configuration);
    start_without_configuration();
    wait_until_ready();
    scripted_caller c(gateway_->address());
    c.send(request("/once/x", "1"));
    EXPECT_EQ(status_of(c.read_until("\r\n\r\nx")), "200");
    std::this_thread::sleep_for(milliseconds(100));
    put("config/main", configuration_json(2));
    std::this_thread::sleep_for(milliseconds(1500));
    c.send(request("/once/x", "2"));
    EXPECT_EQ(status_of(c.read_until("\r\n\r\nx")), "200");
}

// A request that arrived long after SIGTERM was accepted and then aborted at
// the end of the shutdown (hunt, mix --seed 965339727917).
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

// A request whose header had been received, but not its body, was aborted
// without an answer when no other request was open.
TEST_F(gateway_test, answers_a_request_that_is_being_read_when_it_ends)
{
    scripted_upstream u(
        [](const std::string& head) -> scripted_answer
        { return {whole_answer(200, field_of(head, "Attempt-Id"), "x")}; });
    add_upstream("i-1", u.address(), "desk");
    start();
    scripted_caller slow(gateway_->address());
    slow.send("POST /once/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\n"
              "Deadline-Ms: 3000\r\nContent-Length: 20\r\n\r\n0123456789");
    std::this_thread::sleep_for(milliseconds(50));
    std::thread shutdown(
        [this]
        {
            gateway_->drain();
            gateway_.reset();
        });
    std::this_thread::sleep_for(milliseconds(700));
    slow.send("0123456789");
    const std::string answer = slow.read_until("\r\n\r\n");
    EXPECT_EQ(status_of(answer), "503");
    shutdown.join();
    EXPECT_TRUE(u.heads().empty());
}

// Requests that arrived just before the end of the shutdown were accepted and
// then aborted without an answer. Callers open connections here until they are
// refused.
TEST_F(gateway_test, answers_all_requests_of_a_burst_while_it_ends)
{
    scripted_upstream u(
        [](const std::string& head) -> scripted_answer
        { return {whole_answer(200, field_of(head, "Attempt-Id"), "x")}; });
    add_upstream("i-1", u.address(), "desk");
    start();
    const ip_address at = gateway_->address();
    std::atomic<unsigned> answered = 0;
    std::atomic<unsigned> cut = 0;
    std::vector<std::thread> callers;
    callers.reserve(8);
    for (int i = 0; i < 8; ++i)
        callers.emplace_back(
            [&, i]
            {
                for (int n = 0; n < 2000; ++n)
                    try
                    {
                        scripted_caller c(at);
                        c.send(
                            request("/once/x", std::to_string(i * 10000 + n)));
                        const std::string text = c.read_until("\r\n\r\n");
                        if (status_of(text) == "none" && !text.empty())
                            ++cut;
                        else if (!text.empty())
                            ++answered;
                    }
                    catch (const std::exception&)
                    {
                        return; // Connections are refused now.
                    }
            });
    std::this_thread::sleep_for(milliseconds(100));
    gateway_->drain();
    gateway_.reset();
    for (std::thread& it : callers)
        it.join();
    EXPECT_GT(answered, 100U);
    EXPECT_EQ(cut, 0U);
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
