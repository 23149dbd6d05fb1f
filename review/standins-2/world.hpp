/// Engines, services, callers and the record of one run of a case.
#pragma once

#include "review/standins-2/store.hpp"

#include <atomic>
#include <fstream>
#include <memory>
#include <set>

namespace review
{

/// Lines with the time since the start of the run.
class record
{
public:
    explicit record(const std::string& path) : out_(path) {}
    void add(const std::string& line);

private:
    std::mutex mutex_;
    std::ofstream out_;
};

class world;

/// A worker. It checks for whom a request is and in which stage it is itself.
class worker
{
public:
    worker(world& w, std::string id, nlohmann::json entry);

    const std::string& id() const
    {
        return id_;
    }
    std::string stage();
    void publish();
    /// Answers a request of a caller in place of `serve_request`; false leaves
    /// it to that.
    std::function<bool(worker&, connection&, const message&)> special;
    std::atomic<unsigned> served = 0;
    /// Events of a stream and the time before each of them.
    int event_count = 5;
    int event_pause_ms = 2;

    /// Time of work on a request that is no stream.
    int work_ms = 100;

    std::string stream_head(const message& m) const;
    static std::string event_chunk(std::uint64_t id);
    std::string plain_answer(const message& m, const std::string& text) const;
    bool send_events(connection& c, std::uint64_t first) const;

private:
    void serve(connection& c);
    bool handle(connection& c, const message& m);
    bool handle_request(connection& c, const message& m);
    bool serve_stream(connection& c, const message& m);
    int read_prompt_ms(const message& m, int factor);
    std::string report();
    std::string take_order(const message& m);

    world& world_;
    const std::string id_;
    std::mutex mutex_;
    nlohmann::json entry_;
    std::uint64_t orders_ = 0;
    std::string next_stage_;
    std::int64_t changes_at_ = 0;
    std::set<std::string> cached_; ///< Parts of prompts.
    std::unique_ptr<listener> listener_;
};

/// What the script tells of a gateway.
struct gateway_process
{
    int pid = 0;
    std::uint16_t port = 0;
};

class world
{
public:
    world(const std::string& folder, bool has_trouble);

    /// Starts the workers that the scenario describes and publishes the
    /// configuration.
    void start();
    /// Waits until the script has started the gateways.
    void wait_for_gateways();
    /// Sends one request and returns the bytes of its answer.
    std::string call(const std::string& head, int limit_ms = 10'000) const;
    std::string call(std::size_t gateway, const std::string& head,
                     int limit_ms) const;
    /// Head of an ordinary request, with a new id.
    std::string stream_request(const std::string& parts = "",
                               const std::string& counts = "17020,17");
    std::string plain_request(const std::string& fields = "");
    std::string plain_request_of(const std::string& id,
                                 const std::string& fields) const;
    std::string next_id();
    /// True while the process of a gateway runs.
    bool is_running(std::size_t gateway = 0) const;
    std::size_t resident_mib(std::size_t gateway = 0) const;
    /// Kills the gateway's process, as the platform does when the process
    /// exceeds the memory of its machine.
    void kill_gateway();
    /// Whether a worker has begun to work on the request.
    bool has_begun(const std::string& id);
    void note_begun(const std::string& id);
    /// Repeats ordinary requests until one stream was answered completely.
    bool wait_until_served();
    /// Whether the memory of the gateway has exceeded that of its machine;
    /// records each new maximum.
    bool is_memory_exceeded();

    std::vector<std::unique_ptr<worker>> engines;
    std::vector<std::unique_ptr<worker>> desks;
    std::vector<gateway_process> gateways;
    nlohmann::json scenario;
    const std::string folder;
    const bool has_trouble;
    record log;
    object_store store;

private:
    std::atomic<unsigned> last_id_ = 0;
    std::size_t most_memory_ = 0;
    std::mutex mutex_;
    std::set<std::string> begun_;
};

/// Callers that send ordinary requests, one after the other, each on a
/// connection of its own that it keeps.
class steady_callers
{
public:
    explicit steady_callers(world& w);
    ~steady_callers();
    steady_callers(const steady_callers&) = delete;
    steady_callers& operator=(const steady_callers&) = delete;

    /// Ends the callers and records what they got. Returns the number of
    /// requests on kept connections that a worker had begun and that ended
    /// without an answer.
    int finish();

private:
    void run(std::size_t index);
    /// False once the connection has ended.
    bool exchange(connection& c, unsigned answered_before);

    world& world_;
    std::atomic<bool> is_over_ = false;
    std::atomic<int> answered_ = 0;
    std::atomic<int> lost_ = 0;
    std::vector<std::thread> threads_;
};

/// More requests that are lost in this way break the rule.
inline constexpr int most_lost = 3;

/// The cases; each returns the exit code of its run.
int play_line(world& w);
int play_parts(world& w);
int play_heads(world& w);

} // namespace review
