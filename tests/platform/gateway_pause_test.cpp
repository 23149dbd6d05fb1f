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

} // namespace
} // namespace poplar::gateway
