#include "agent/engine_poller.hpp"

#include "observe/log.hpp"

namespace poplar::agent
{

namespace
{

/// One state read without an answer may only be slow.
constexpr unsigned failures_until_unreachable = 2;
constexpr unsigned status_ok = 200;

bool is_ok(const net::client_result& result)
{
    return result.failure == net::client_failure::none &&
           result.response.status == status_ok;
}

void log_unreadable(const char* what, const std::string& reason)
{
    observe::log(observe::event::engine_answer_unreadable,
                 {{"what", what}, {"reason", reason}});
}

} // namespace

engine_poller::engine_poller(net::http_client& client, ip_address engine,
                             poll_options options, poll_hooks hooks)
    : client_(client), engine_(std::move(engine)), options_(options),
      hooks_(std::move(hooks))
{
}

void engine_poller::tick(mono_time t)
{
    std::uint64_t after = 0;
    {
        absl::MutexLock lock(&mutex_);
        if (pending_ > 0 || t < next_)
            return;
        next_ = t + options_.interval;
        pending_ = 3;
        after = cache_after_;
    }
    const std::uint64_t read = hooks_.begin_read();
    fetch("/v1/state", [read](engine_poller& self, const auto& result)
          { self.take_state(read, result); });
    fetch("/v1/load", [](engine_poller& self, const auto& result)
          { self.take_load(result); });
    fetch("/v1/cache_events?after=" + std::to_string(after),
          [after](engine_poller& self, const auto& result)
          { self.take_cache(after, result); });
}

void engine_poller::fetch(std::string path, result_hook take)
{
    net::client_request r;
    r.to = engine_;
    r.path = std::move(path);
    r.timeout = options_.timeout;
    net::client_hooks hooks;
    hooks.done = [self = weak_from_this(),
                  take = std::move(take)](const net::client_result& result)
    {
        const auto poller = self.lock();
        if (!poller)
            return;
        take(*poller, result);
        absl::MutexLock lock(&poller->mutex_);
        --poller->pending_;
    };
    client_.start(std::move(r), std::move(hooks));
}

void engine_poller::take_state(std::uint64_t read,
                               const net::client_result& result)
{
    if (!is_ok(result))
        return report_failed(read, result.failure ==
                                       net::client_failure::not_connected);
    try
    {
        const engine_state state = parse_engine_state(result.response.body);
        {
            absl::MutexLock lock(&mutex_);
            failed_in_row_ = 0;
        }
        hooks_.state(read, state);
    }
    catch (const parse_error& ec)
    {
        log_unreadable("state", ec.what());
        report_failed(read, false);
    }
}

void engine_poller::report_failed(std::uint64_t read, bool is_certain)
{
    {
        absl::MutexLock lock(&mutex_);
        ++failed_in_row_;
        if (!is_certain && failed_in_row_ < failures_until_unreachable)
            return;
    }
    hooks_.unreachable(read);
}

void engine_poller::take_load(const net::client_result& result)
{
    if (!is_ok(result))
        return;
    try
    {
        hooks_.load(parse_load(result.response.body));
    }
    catch (const parse_error& ec)
    {
        log_unreadable("load", ec.what());
    }
}

void engine_poller::take_cache(std::uint64_t after,
                               const net::client_result& result)
{
    if (!is_ok(result))
        return;
    try
    {
        const cache_changes changes =
            parse_cache_changes(result.response.body, after);
        {
            absl::MutexLock lock(&mutex_);
            cache_after_ = changes.next;
        }
        hooks_.cache(changes);
    }
    catch (const parse_error& ec)
    {
        log_unreadable("cache_events", ec.what());
    }
}

} // namespace poplar::agent
