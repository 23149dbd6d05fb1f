#include "gateway/loop_guard.hpp"

#include "observe/log.hpp"

namespace poplar::gateway
{

namespace
{

void log_handler_failure(const char* where, const std::exception& failure)
{
    observe::log(observe::event::gateway_handler_failed,
                 {{"where", where}, {"reason", failure.what()}});
}

} // namespace

void run_loop(boost::asio::io_context& loop)
{
    bool is_running = true;
    while (is_running)
        try
        {
            loop.run();
            is_running = false;
        }
        catch (const std::exception& ec)
        {
            log_handler_failure("handler", ec);
        }
}

void run_step(const char* name, const std::function<void()>& step)
{
    try
    {
        step();
    }
    catch (const std::exception& ec)
    {
        log_handler_failure(name, ec);
    }
}

void log_failure::operator()(const std::exception_ptr& failure) const
{
    if (failure)
        run_step(coroutine_, [&] { std::rethrow_exception(failure); });
}

} // namespace poplar::gateway
