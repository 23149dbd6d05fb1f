/// What happens to an exception that nothing catches: it is logged, and the
/// process goes on.
#pragma once

#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>

namespace poplar::gateway
{

/// Runs the handlers of the loop until it is stopped or has no more work. An
/// exception ends only the handler that throws it.
void run_loop(boost::asio::io_context& loop);

/// Calls `step` and logs an exception, which would otherwise end a coroutine
/// that repeats the step for good.
void run_step(const char* name, const std::function<void()>& step);

/// Completion handler of a coroutine that nothing waits for.
class log_failure
{
public:
    explicit log_failure(const char* coroutine) : coroutine_(coroutine) {}

    void operator()(const std::exception_ptr& failure) const;

private:
    const char* coroutine_;
};

} // namespace poplar::gateway
