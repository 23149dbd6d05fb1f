// Guards against an exception that ends the whole process: one in a handler
// that runs outside of a coroutine ended the thread of the gateway's loop.
#include "gateway/connections.hpp"
#include "gateway/engine_control.hpp"
#include "gateway/interval_timer.hpp"
#include "gateway/loop_guard.hpp"
#include "store/memory_store.hpp"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>
#include <stdexcept>
#include <thread>

namespace poplar::gateway
{
namespace
{

using std::chrono::milliseconds;

[[noreturn]] void fail()
{
    throw std::length_error("too long");
}

asio::awaitable<void> fail_at_once()
{
    fail();
    co_return;
}

struct handler_case
{
    const char* name;
    /// Starts a handler that throws.
    std::function<void(asio::io_context&)> start;
};

class throwing_handler : public testing::TestWithParam<handler_case>
{
};

TEST_P(throwing_handler, leaves_the_loop_running)
{
    asio::io_context loop;
    GetParam().start(loop);
    bool is_called = false;
    asio::steady_timer later(loop, milliseconds(20));
    later.async_wait([&](const error_code&) { is_called = true; });
    run_loop(loop);
    EXPECT_TRUE(is_called);
}

INSTANTIATE_TEST_SUITE_P(
    kinds, throwing_handler,
    testing::Values(handler_case{"posted",
                                 [](asio::io_context& loop)
                                 {
                                     asio::post(loop, fail);
                                 }},
                    handler_case{"posted_twice",
                                 [](asio::io_context& loop)
                                 {
                                     asio::post(loop, fail);
                                     asio::post(loop, fail);
                                 }},
                    handler_case{
                        "timer",
                        [](asio::io_context& loop)
                        {
                            const auto timer =
                                std::make_shared<asio::steady_timer>(loop);
                            timer->async_wait([timer](const error_code&)
                                              { fail(); });
                        }},
                    handler_case{"coroutine",
                                 [](asio::io_context& loop)
                                 {
                                     asio::co_spawn(loop, fail_at_once(),
                                                    log_failure("test"));
                                 }}),
    [](const auto& it) { return it.param.name; });

TEST(loop_guard, repeats_a_step_that_threw)
{
    int steps = 0;
    for (int i = 0; i < 2; ++i)
        run_step("test",
                 [&]
                 {
                     ++steps;
                     fail();
                 });
    EXPECT_EQ(steps, 2);
}

// An exception other than a failure of the store ended the process.
TEST(loop_guard, engine_control_goes_on_after_an_exception)
{
    store::memory_store store;
    std::atomic<int> calls = 0;
    engine_control_options options;
    options.instance = instance_id("g");
    options.peer = {"127.0.0.1", 1};
    const engine_control control(store, options,
                                 [&]() -> std::map<service_id, service_snapshot>
                                 {
                                     ++calls;
                                     fail();
                                 });
    const mono_time limit = now() + std::chrono::seconds(20);
    while (calls < 2 && now() < limit)
        std::this_thread::sleep_for(milliseconds(5));
    EXPECT_GE(calls, 2);
}

TEST(loop_guard, ends_when_the_loop_is_stopped)
{
    asio::io_context loop;
    const auto work = asio::make_work_guard(loop);
    asio::post(loop, [&] { loop.stop(); });
    run_loop(loop);
    EXPECT_TRUE(loop.stopped());
}

} // namespace
} // namespace poplar::gateway
