#include "tests/system/process.hpp"

#include "base/error.hpp"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <gtest/gtest.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace poplar::testing_support
{

namespace
{

constexpr duration start_limit = std::chrono::seconds(30);

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream in(path);
    std::stringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

[[noreturn]] void execute(const std::string& path,
                          const std::vector<std::string>& arguments)
{
    std::vector<char*> argv;
    argv.push_back(const_cast<char*>(path.c_str()));
    for (const std::string& it : arguments)
        argv.push_back(const_cast<char*>(it.c_str()));
    argv.push_back(nullptr);
    execv(path.c_str(), argv.data());
    _exit(127);
}

/// Waits until the descriptor has bytes; false after `limit`.
bool wait_readable(int fd, duration limit)
{
    pollfd p{fd, POLLIN, 0};
    return poll(&p, 1, static_cast<int>(to_milliseconds(limit))) > 0;
}

} // namespace

std::filesystem::path binary_folder()
{
    const char* folder = std::getenv("POPLAR_BIN");
    if (!folder)
        throw error("POPLAR_BIN is not set");
    return folder;
}

scratch_folder::scratch_folder()
{
    std::string name =
        (std::filesystem::temp_directory_path() / "poplar-XXXXXX").string();
    if (!mkdtemp(name.data()))
        throw system_failure("mkdtemp", errno);
    path_ = name;
}

scratch_folder::~scratch_folder()
{
    const bool keep = testing::Test::HasFailure() || std::getenv("POPLAR_KEEP");
    if (keep)
        return;
    std::error_code ec;
    std::filesystem::remove_all(path_, ec);
}

child_process::child_process(const scratch_folder& folder,
                             const std::string& name, const std::string& binary,
                             const std::string& settings)
    : settings_file_(folder.path() / (name + ".toml")),
      log_file_(folder.path() / (name + ".log"))
{
    std::ofstream(settings_file_) << settings;
    start(binary);
}

child_process::~child_process()
{
    if (is_running())
        kill();
    if (output_ >= 0)
        close(output_);
}

void child_process::start(const std::string& binary)
{
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0)
        throw system_failure("pipe2", errno);
    const std::string path = (binary_folder() / binary).string();
    const std::vector<std::string> arguments{"--config",
                                             settings_file_.string()};
    const int log = open(log_file_.c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    pid_ = fork();
    if (pid_ < 0)
        throw system_failure("fork", errno);
    if (pid_ == 0)
    {
        // A test that is killed leaves no processes behind.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(ends[1], STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execute(path, arguments);
    }
    close(ends[1]);
    close(log);
    output_ = ends[0];
}

void child_process::wait_until_listening()
{
    std::string line;
    const mono_time limit = now() + start_limit;
    while (line.find('\n') == std::string::npos)
    {
        char buf[512];
        const bool is_late =
            now() > limit || !wait_readable(output_, limit - now());
        const ssize_t n = is_late ? 0 : read(output_, buf, sizeof buf);
        if (n <= 0)
            throw error("no listening line: " + line + log());
        line.append(buf, static_cast<std::size_t>(n));
    }
    parse_listening(line.substr(0, line.find('\n')));
}

void child_process::parse_listening(const std::string& line)
{
    std::istringstream words(line);
    std::string word;
    while (words >> word)
    {
        const auto equals = word.find('=');
        if (equals != std::string::npos)
            addresses_[word.substr(0, equals)] =
                parse_ip_address(word.substr(equals + 1));
    }
}

void child_process::kill()
{
    if (!is_running())
        return;
    ::kill(pid_, SIGKILL);
    wait(std::chrono::seconds(30));
}

void child_process::pause()
{
    ::kill(pid_, SIGSTOP);
}

void child_process::proceed()
{
    ::kill(pid_, SIGCONT);
}

void child_process::terminate()
{
    ::kill(pid_, SIGTERM);
}

int child_process::wait(duration limit)
{
    wait_for([this] { return !is_running(); }, limit);
    return exit_code_;
}

bool child_process::is_running()
{
    if (pid_ < 0)
        return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_)
        return true;
    pid_ = -1;
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return false;
}

std::string child_process::log() const
{
    return read_file(log_file_);
}

command_result run_command(const std::string& binary,
                           const std::vector<std::string>& arguments)
{
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0)
        throw system_failure("pipe2", errno);
    const std::string path = (binary_folder() / binary).string();
    const pid_t pid = fork();
    if (pid < 0)
        throw system_failure("fork", errno);
    if (pid == 0)
    {
        dup2(ends[1], STDOUT_FILENO);
        dup2(ends[1], STDERR_FILENO);
        execute(path, arguments);
    }
    close(ends[1]);
    command_result result;
    char buf[4096];
    for (ssize_t n = 0; (n = read(ends[0], buf, sizeof buf)) > 0;)
        result.output.append(buf, static_cast<std::size_t>(n));
    close(ends[0]);
    int status = 0;
    waitpid(pid, &status, 0);
    result.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

} // namespace poplar::testing_support
