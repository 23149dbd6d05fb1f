/// Child processes of a test: started, stopped, paused and killed by pid.
#pragma once

#include "base/address.hpp"
#include "base/time.hpp"

#include <filesystem>
#include <map>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace poplar::testing_support
{

/// Folder of the built binaries: POPLAR_BIN of the environment.
std::filesystem::path binary_folder();

/// A folder for settings and logs, removed with its content at the end unless
/// the test failed or POPLAR_KEEP is set.
class scratch_folder
{
public:
    scratch_folder();
    ~scratch_folder();
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;

    const std::filesystem::path& path() const
    {
        return path_;
    }

private:
    std::filesystem::path path_;
};

/// One running binary. Killed by the destructor when it still runs.
class child_process
{
public:
    /// Starts `binary --config` with `settings` written to a file in `folder`;
    /// standard error goes to a log file there.
    child_process(const scratch_folder& folder, const std::string& name,
                  const std::string& binary, const std::string& settings);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Waits for the "listening" line; throws when the process ends first or
    /// after 30 s.
    void wait_until_listening();
    ip_address http() const
    {
        return addresses_.at("http");
    }
    ip_address inner() const
    {
        return addresses_.at("inner");
    }
    ip_address address(const std::string& part) const
    {
        return addresses_.at(part);
    }

    void kill();      ///< SIGKILL, and waits.
    void pause();     ///< SIGSTOP
    void proceed();   ///< SIGCONT
    void terminate(); ///< SIGTERM, without waiting.
    /// Waits for the end; returns the exit code, or -1 after `limit` or when a
    /// signal ended it.
    int wait(duration limit);
    bool is_running();
    pid_t pid() const
    {
        return pid_;
    }
    std::string log() const;

private:
    void start(const std::string& binary);
    void parse_listening(const std::string& line);

    std::filesystem::path settings_file_;
    std::filesystem::path log_file_;
    std::map<std::string, ip_address> addresses_;
    pid_t pid_ = -1;
    int output_ = -1;
    int exit_code_ = -1;
};

/// Runs a binary to its end.
struct command_result
{
    int exit_code = -1;
    std::string output; ///< Standard output and standard error.
};
command_result run_command(const std::string& binary,
                           const std::vector<std::string>& arguments);

/// Polls a condition until it holds or `limit` has passed.
template <class Condition>
bool wait_for(Condition condition, duration limit = std::chrono::seconds(30))
{
    const mono_time end = now() + limit;
    while (!condition())
    {
        if (now() > end)
            return condition();
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

} // namespace poplar::testing_support
