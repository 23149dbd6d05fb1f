// Guards against orders that a gateway sends to engines after SIGTERM: each
// engine that did not answer delayed the end of the process by a second.
#include "tests/platform/gateway_fixture.hpp"

namespace poplar::gateway
{
namespace
{

struct silent_call_case
{
    const char* name;
    const char* path; ///< Path of the calls that engines do not answer.
};

class silent_engines : public gateway_test,
                       public testing::WithParamInterface<silent_call_case>
{
protected:
    /// Longer than the gateway's timeout of a call to an engine.
    static constexpr duration unanswered = seconds(4);

    static bool is_silent_call(const std::string& head)
    {
        const auto path = head.find(' ') + 1;
        return head.substr(path).starts_with(GetParam().path);
    }

    static scripted_answer answer(const std::string& head)
    {
        if (is_silent_call(head))
            return {.bytes = "", .delay = unanswered};
        if (head.starts_with("GET /report"))
            return {whole_answer(200, "", R"({"stage":"decode","seq":0})")};
        return {whole_answer(404, "", "")};
    }

    static std::size_t silent_calls(const scripted_upstream& u)
    {
        return std::size_t(std::ranges::count_if(u.heads(), is_silent_call));
    }
};

// All engines are decode engines, so that most of them are to be changed.
TEST_P(silent_engines, get_no_order_after_the_stop_of_the_gateway)
{
    constexpr int engines = 6;
    scripted_upstream u(answer);
    for (int i = 0; i < engines; ++i)
        add_upstream("i-" + std::to_string(i), u.address(), "writers",
                     "decode");
    start();
    const mono_time limit = now() + seconds(20);
    while (silent_calls(u) == 0 && now() < limit)
        std::this_thread::sleep_for(milliseconds(5));
    ASSERT_EQ(silent_calls(u), 1U);
    gateway_->drain();
    // Joins the thread that sends the orders.
    gateway_.reset();
    EXPECT_EQ(silent_calls(u), 1U);
}

INSTANTIATE_TEST_SUITE_P(calls, silent_engines,
                         testing::Values(silent_call_case{"reports", "/report"},
                                         silent_call_case{"orders", "/order"}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::gateway
