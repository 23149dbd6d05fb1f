/// A whole system of real processes on loopback: stand-ins, agents, entries.
#pragma once

#include "net/http_client.hpp"
#include "tests/system/process.hpp"
#include "tests/system/relay.hpp"

#include <absl/synchronization/mutex.h>
#include <cstdint>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace poplar::testing_support
{

struct cluster_options
{
    unsigned entries = 2;
    unsigned engines = 3;
    unsigned services = 2;
    bool checks_fencing = true; ///< Of engines and their agents.
    /// Agents are reached through relays; the others see the relay's address.
    bool relay_agents = false;
    /// Each agent and entry reaches the platform through a relay of its own.
    bool relay_platform = false;
    std::string engine_settings;  ///< Added to each engine's settings.
    std::string agent_settings;   ///< Added to each agent's settings.
    std::string entry_settings;   ///< Added to each entry's settings.
    std::string service_settings; ///< Added to each service's settings.
    std::string group_settings;   ///< Added to the group in the sheet.
    std::string sheet_tail;       ///< Added at the end of the sheet.
};

/// An upstream with the agent beside it.
struct upstream_slot
{
    std::string name;
    std::string kind; ///< "engine" or "service".
    unsigned lock_port = 0;
    std::unique_ptr<child_process> upstream;
    std::unique_ptr<child_process> agent;
    std::unique_ptr<relay> agent_relay;
    std::unique_ptr<relay> platform_relay;
};

/// Address that callers on other threads read while its process is restarted.
class published_address
{
public:
    void set(const ip_address& to)
    {
        const std::lock_guard lock(mutex_);
        address_ = to;
    }
    ip_address get() const
    {
        const std::lock_guard lock(mutex_);
        return address_;
    }

private:
    mutable std::mutex mutex_;
    ip_address address_;
};

struct entry_slot
{
    std::string name;
    std::unique_ptr<child_process> process;
    std::unique_ptr<published_address> http =
        std::make_unique<published_address>();
    std::unique_ptr<relay> platform_relay;
};

class cluster
{
public:
    explicit cluster(cluster_options options);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    std::vector<upstream_slot> engines;
    std::vector<upstream_slot> services;
    std::vector<entry_slot> entries;
    std::unique_ptr<child_process> platform;

    /// Starts another agent process beside the upstream; the instance list
    /// names its address. The former one is not touched.
    std::unique_ptr<child_process> replace_agent(upstream_slot& slot);
    void start_entry(entry_slot& slot);
    /// Starts the upstream again at the address that its agent knows.
    void restart_upstream(upstream_slot& slot);
    void list_instance(const upstream_slot& slot, const std::string& state);
    void list_entry(const entry_slot& slot, const std::string& state);

    /// Text of the sheet with these instances drained.
    std::string sheet_text(const std::vector<std::string>& drained,
                           const std::string& group_extra = "") const;
    /// Runs poplarctl apply; returns its result.
    command_result apply(const std::string& text,
                         const std::string& operator_name = "test");
    command_result ctl(std::vector<std::string> arguments);

    void platform_faults(const nlohmann::json& faults);
    nlohmann::json get_json(const ip_address& to, const std::string& path);
    nlohmann::json counters(const upstream_slot& slot);
    void upstream_faults(const upstream_slot& slot,
                         const nlohmann::json& faults);
    /// Waits until every entry is ready and uses every upstream.
    bool wait_until_usable();
    /// Number of an entry's instances that may get new work.
    unsigned usable_at(const entry_slot& slot);
    nlohmann::json entry_status(const entry_slot& slot);
    nlohmann::json agent_status(const upstream_slot& slot);

    const scratch_folder& folder() const
    {
        return folder_;
    }
    net::http_client& client()
    {
        return client_;
    }

private:
    void start_platform();
    void start_upstream(upstream_slot& slot, const ip_address& at);
    void start_agent(upstream_slot& slot);
    std::unique_ptr<child_process> make_agent(upstream_slot& slot);
    std::string domain_of(const std::string& name) const;
    ip_address platform_for(const std::unique_ptr<relay>& r) const;
    net::client_result post(const ip_address& to, const std::string& method,
                            const std::string& path,
                            const nlohmann::json& body);

    cluster_options options_;
    scratch_folder folder_;
    net::http_client client_;
    unsigned starts_ = 0;
};

/// A chat request and what became of it.
struct chat_result
{
    bool has_ended = false;
    net::client_failure failure = net::client_failure::none;
    unsigned status = 0;
    std::string text;       ///< Content of all events, or of the answer.
    bool has_done = false;  ///< The stream ended with [DONE].
    std::string error_type; ///< Of a typed error.
    std::string ran;        ///< Poplar-Ran.
    std::string request_id; ///< Poplar-Request-Id.
    std::string retry_after;
    mono_time first_text;
    mono_time ended;
};

struct chat_request
{
    std::string prompt = "write a summary";
    unsigned max_tokens = 50;
    bool stream = true;
    std::string tenant = "consorzio";
    std::string rank = "urgent";
    duration deadline = std::chrono::seconds(60);
};

/// Sends chat requests in the background and collects their answers.
class caller
{
public:
    explicit caller(cluster& c) : cluster_(c) {}

    using handle = std::size_t;
    handle send(const entry_slot& to, const chat_request& request);
    /// Waits for the end; fails the test after 60 s.
    chat_result wait(handle h);
    chat_result peek(handle h) const;
    void cancel(handle h);

private:
    struct open_chat;
    cluster& cluster_;
    std::vector<std::shared_ptr<open_chat>> all_;
};

/// The text that the stand-in engine gives for the whole answer.
std::string expected_text(const chat_request& request);

/// A call to a plain service through an entry.
struct service_result
{
    net::client_failure failure = net::client_failure::none;
    unsigned status = 0;
    std::string body;
    std::string ran;
    std::string retry_after;
};
service_result call_service(cluster& c, const entry_slot& to,
                            const std::string& method, const std::string& path,
                            const std::string& key, const std::string& body,
                            duration deadline = std::chrono::seconds(10));

} // namespace poplar::testing_support
