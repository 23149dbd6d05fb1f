#include "daemon/daemon.hpp"

#include "base/error.hpp"
#include "observe/log.hpp"
#include "observe/metrics.hpp"

#include <absl/synchronization/mutex.h>
#include <cerrno>
#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>

namespace poplar::daemon
{

namespace
{

constexpr const char* version_text = "0.1.0";

sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

struct command_line
{
    std::string config;
    bool check_config = false;
};

command_line parse_command_line(const program& p, int argc, char** argv)
{
    TCLAP::CmdLine line(p.name + ": " + p.description, ' ', version_text);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> config("c", "config", "settings file (TOML)",
                                        true, "", "FILE", line);
    TCLAP::SwitchArg check("", "check-config",
                           "check the settings file and exit", line);
    line.parse(argc, argv);
    return {config.getValue(), check.getValue()};
}

observe::log_options parse_log_options(settings::reader& all)
{
    settings::reader log = all.table("log");
    const std::string level = log.text("level", "info");
    try
    {
        return {observe::parse_severity(level)};
    }
    catch (const parse_error& ec)
    {
        log.fail("level", ec.what());
    }
    return {};
}

exit_code run_checked(const program& p, const command_line& line)
{
    settings::reader all = settings::reader::from_file(line.config);
    observe::log_options options = parse_log_options(all);
    options.output = p.log_to;
    if (line.check_config)
    {
        p.check(all);
        std::cout << line.config << ": no faults\n";
        return exit_code::success;
    }
    stop_signal stop;
    observe::start_log(p.name, options);
    return p.serve(all, stop);
}

exit_code run_guarded(const program& p, const command_line& line)
{
    try
    {
        return run_checked(p, line);
    }
    catch (const settings::settings_error& ec)
    {
        for (const settings::fault& f : ec.faults())
            std::cerr << to_string(f) << "\n";
        return exit_code::bad_settings;
    }
    catch (const system_failure& ec)
    {
        std::cerr << p.name << ": " << ec.what() << "\n";
        return exit_code::cannot_listen;
    }
    catch (const std::exception& ec)
    {
        observe::log(observe::event::fatal, {{"reason", ec.what()}});
        std::cerr << p.name << ": " << ec.what() << "\n";
        return exit_code::failure;
    }
}

} // namespace

stop_signal::stop_signal()
{
    const sigset_t set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void stop_signal::wait()
{
    const sigset_t set = stop_signals();
    int number = 0;
    sigwait(&set, &number);
}

bool stop_signal::wait_for(duration limit)
{
    const sigset_t set = stop_signals();
    const auto s = std::chrono::duration_cast<std::chrono::seconds>(limit);
    const auto rest = std::chrono::nanoseconds(limit - s);
    const timespec t{s.count(), rest.count()};
    return sigtimedwait(&set, nullptr, &t) > 0;
}

int run(const program& p, int argc, char** argv)
{
    command_line line;
    try
    {
        line = parse_command_line(p, argc, argv);
    }
    catch (const TCLAP::ExitException& ec)
    {
        return ec.getExitStatus();
    }
    catch (const TCLAP::ArgException& ec)
    {
        std::cerr << p.name << ": " << ec.error() << " " << ec.argId() << "\n";
        return static_cast<int>(exit_code::usage);
    }
    return static_cast<int>(run_guarded(p, line));
}

void print_listening(const std::string& name, const ip_address& http,
                     const ip_address& inner, const ip_address& admin)
{
    std::cout << "listening " << name;
    if (!http.empty())
        std::cout << " http=" << to_string(http);
    if (!inner.empty())
        std::cout << " inner=" << to_string(inner);
    if (!admin.empty())
        std::cout << " admin=" << to_string(admin);
    std::cout << std::endl;
}

struct admin_server::state
{
    mutable absl::Mutex mutex;
    bool is_ready ABSL_GUARDED_BY(mutex) = false;
    std::string reason ABSL_GUARDED_BY(mutex) = "starting";
    const net::http_handler other;

    explicit state(net::http_handler handler) : other(std::move(handler)) {}

    net::http_response readiness() const
    {
        absl::MutexLock lock(&mutex);
        return {is_ready ? 200U : 503U, {}, is_ready ? "ready\n" : reason};
    }

    void handle(net::http_request request, const net::responder_ptr& answer)
    {
        if (request.path == "/healthz")
            return answer->respond({200, {}, "ok\n"});
        if (request.path == "/readyz")
            return answer->respond(readiness());
        if (request.path == "/metrics")
            return answer->respond(
                {200,
                 {{"Content-Type", "text/plain; version=0.0.4"}},
                 observe::metrics_text()});
        if (other)
            return other(std::move(request), answer);
        answer->respond({404, {}, "not found\n"});
    }
};

admin_server::admin_server(const ip_address& at, net::http_handler other)
    : state_(std::make_shared<state>(std::move(other))),
      server_({at, 1}, [state = state_](net::http_request request,
                                        const net::responder_ptr& answer)
              { state->handle(std::move(request), answer); })
{
}

void admin_server::set_ready(bool ready, const std::string& reason)
{
    bool changed = false;
    {
        absl::MutexLock lock(&state_->mutex);
        changed = state_->is_ready != ready;
        state_->is_ready = ready;
        state_->reason = reason;
    }
    if (changed)
        observe::log(ready ? observe::event::ready : observe::event::not_ready,
                     {{"reason", reason}});
}

bool admin_server::is_ready() const
{
    absl::MutexLock lock(&state_->mutex);
    return state_->is_ready;
}

ip_address admin_server::address() const
{
    return server_.address();
}

} // namespace poplar::daemon
