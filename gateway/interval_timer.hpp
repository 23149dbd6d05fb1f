/// Timer that calls a handler at intervals which the handler chooses.
#pragma once

#include "base/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace poplar::gateway
{

/// Used on the loop's thread only. The handler is not called after the timer
/// has been destroyed.
class interval_timer
{
public:
    /// `on_expiry` returns the time until its next call.
    interval_timer(boost::asio::io_context& loop,
                   std::function<duration()> on_expiry)
        : state_(std::make_shared<state>(loop, std::move(on_expiry)))
    {
    }
    ~interval_timer()
    {
        state_->on_expiry = nullptr;
        state_->timer.cancel();
    }
    interval_timer(const interval_timer&) = delete;
    interval_timer& operator=(const interval_timer&) = delete;

    /// Calls the handler after `delay`; does nothing once started.
    void start(duration delay)
    {
        if (!state_->is_started)
            wait(state_, delay);
    }

private:
    struct state
    {
        state(boost::asio::io_context& loop, std::function<duration()> f)
            : timer(loop), on_expiry(std::move(f))
        {
        }
        boost::asio::steady_timer timer;
        std::function<duration()> on_expiry;
        bool is_started = false;
    };

    static void wait(const std::shared_ptr<state>& s, duration delay)
    {
        s->is_started = true;
        s->timer.expires_after(delay);
        s->timer.async_wait(
            [s](const boost::system::error_code&)
            {
                if (s->on_expiry)
                    wait(s, s->on_expiry());
            });
    }

    std::shared_ptr<state> state_;
};

} // namespace poplar::gateway
