/// What every long-running binary shares: command line, signals, exit codes
/// and the admin HTTP server.
#pragma once

#include "base/address.hpp"
#include "net/http_server.hpp"
#include "observe/log.hpp"
#include "settings/reader.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace poplar::daemon
{

enum class exit_code : int
{
    success = 0,
    failure = 1,      ///< Unexpected failure, see the log.
    usage = 2,        ///< Wrong command line.
    bad_settings = 3, ///< The settings file has faults.
    cannot_listen = 4 ///< An address cannot be bound.
};

/// SIGTERM and SIGINT, taken synchronously.
class stop_signal
{
public:
    /// Blocks the signals; construct it before any thread is started.
    stop_signal();

    /// Waits until a signal arrives.
    void wait();
    /// Waits at most `limit`; true when a signal arrived.
    bool wait_for(duration limit);
};

struct program
{
    std::string name;
    std::string description;
    /// Parses all settings and calls finish(); throws settings_error.
    std::function<void(settings::reader&)> check;
    /// Runs until the signal; throws settings_error or system_failure.
    std::function<exit_code(settings::reader&, stop_signal&)> serve;
    observe::log_output log_to = observe::log_output::standard_error;
};

/// Handles --config FILE, --check-config, --version and --help, starts the
/// log from the settings [log] level, runs `serve`, and maps failures to exit
/// codes.
int run(const program& p, int argc, char** argv);

/// Prints the line "listening NAME http=... inner=... admin=..."; parts whose
/// address is empty are left out.
void print_listening(const std::string& name, const ip_address& http,
                     const ip_address& inner, const ip_address& admin = {});

/// Serves /healthz, /readyz and /metrics, and other paths through a hook.
class admin_server
{
public:
    admin_server(const ip_address& at, net::http_handler other);

    /// Answer of /readyz: 200 when ready, else 503 with the reason.
    void set_ready(bool ready, const std::string& reason);
    bool is_ready() const;
    ip_address address() const;

private:
    struct state;
    std::shared_ptr<state> state_;
    net::http_server server_;
};

} // namespace poplar::daemon
