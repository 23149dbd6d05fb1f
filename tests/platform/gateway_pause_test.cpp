// Guards against connections that timers end although their peer is alive.
#include "tests/platform/gateway_fixture.hpp"

namespace poplar::gateway
{
namespace
{

class slow_reader : public gateway_test, public testing::WithParamInterface<int>
{
};

// The kernel ends the connection of a caller that does not read for 1.5 s.
TEST_P(slow_reader, receives_the_whole_answer)
{
    const scripted_upstream u(
        [](const std::string& head) -> scripted_answer
        {
            return {
                whole_answer(200, field_of(head, "Attempt-Id"),
                             std::string(300 << 10, 'x') + "end of answer")};
        });
    add_upstream("i-1", u.address(), "desk");
    start();
    scripted_caller c(gateway_->address());
    c.send(request("/safe/x", "1"));
    std::this_thread::sleep_for(milliseconds(GetParam()));
    EXPECT_TRUE(c.read_until("end of answer").ends_with("end of answer"));
}

INSTANTIATE_TEST_SUITE_P(pauses, slow_reader,
                         testing::Values(1000, 2500, 4000));

struct packet_loss_case
{
    duration answer_after{};
    duration length{}; ///< Of the loss, before the answer.
};

class suspended_machine : public gateway_test,
                          public testing::WithParamInterface<packet_loss_case>
{
};

// The kernel ended the connection after one lost probe.
TEST_P(suspended_machine, answers_after_a_second_without_packets)
{
    const packet_loss_case& c = GetParam();
    const scripted_upstream u(
        [&c](const std::string& head) -> scripted_answer
        {
            return {.bytes = whole_answer(200, field_of(head, "Attempt-Id"),
                                          "end of answer"),
                    .delay = c.answer_after,
                    .packet_loss = c.length};
        });
    add_upstream("i-1", u.address(), "desk");
    json config = configuration_json(1);
    for (json& it : config["routes"])
        it["timeoutMs"] = 8000;
    put("config/main", config);
    start_without_configuration();
    wait_until_ready();
    scripted_caller caller(gateway_->address());
    caller.send("GET /once/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\n"
                "Deadline-Ms: 8000\r\n\r\n");
    EXPECT_EQ(status_of(caller.read_until("end of answer", seconds(8))), "200");
}

INSTANTIATE_TEST_SUITE_P(
    losses, suspended_machine,
    testing::Values(packet_loss_case{milliseconds(1200), milliseconds(1100)},
                    packet_loss_case{milliseconds(2100), milliseconds(1300)},
                    packet_loss_case{milliseconds(4300), milliseconds(1300)},
                    packet_loss_case{milliseconds(4700), milliseconds(1300)}));

class slow_upstream : public gateway_test,
                      public testing::WithParamInterface<int>
{
};

// The kernel ended the connection to an upstream that reads a long request only
// after a pause.
TEST_P(slow_upstream, receives_the_whole_request)
{
    scripted_upstream u(
        [](const std::string& head) -> scripted_answer {
            return {whole_answer(200, field_of(head, "Attempt-Id"),
                                 "end of answer")};
        });
    u.pause_before_reading(milliseconds(GetParam()));
    add_upstream("i-1", u.address(), "desk");
    json c = configuration_json(1);
    c["limits"]["maxBodyBytes"] = 8 << 20;
    for (json& it : c["routes"])
        it["timeoutMs"] = 8000;
    put("config/main", c);
    start_without_configuration();
    wait_until_ready();
    scripted_caller caller(gateway_->address());
    const std::string body(6 << 20, 'x');
    caller.send("POST /once/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\n"
                "Deadline-Ms: 8000\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    EXPECT_EQ(status_of(caller.read_until("end of answer", seconds(8))), "200");
}

INSTANTIATE_TEST_SUITE_P(pauses, slow_upstream,
                         testing::Values(1000, 2500, 4000));

} // namespace
} // namespace poplar::gateway
