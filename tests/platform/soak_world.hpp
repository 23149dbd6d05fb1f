/// The processes, links, upstreams and store of a soak, and the faults on them.
#pragma once

#include "tests/platform/object_server.hpp"
#include "tests/platform/scripted_upstream.hpp"
#include "tests/platform/soak_plan.hpp"
#include "tests/platform/soak_records.hpp"
#include "tests/system/process.hpp"
#include "tests/system/relay.hpp"

#include <atomic>
#include <nlohmann/json.hpp>

namespace poplar::gateway
{

constexpr unsigned events_in_stream = 6;

/// An upstream behind a relay that injects connection faults.
struct relayed_upstream
{
    explicit relayed_upstream(scripted_upstream::script script)
        : upstream(std::move(script)), link(upstream.address())
    {
    }
    scripted_upstream upstream;
    testing_support::relay link;
};

/// One run of a gateway process.
using incarnation = unsigned;

struct gateway_slot
{
    std::unique_ptr<testing_support::child_process> process;
    ip_address address;
    incarnation number = 0;
    mono_time started_at{};
    /// Of the last SIGTERM.
    mono_time terminated_at{};
    bool is_ending = false;
    /// Number of added routes that `informed` has had time to see.
    unsigned known_routes = 0;
    incarnation informed = 0;
};

/// An upstream that leaves in the course of the soak; it serves on.
struct leaving_upstream
{
    std::string id;
    std::unique_ptr<scripted_upstream> upstream;
    std::string state = "ready"; ///< Or "draining" or "removed".
    /// When the store had its state last; mono_time::max() while it has not.
    mono_time written_at{};
    /// For each gateway the incarnation that has had time to see it leave.
    std::vector<incarnation> informed;
    mono_time last_informed_at{}; ///< When `informed` changed last.
};

class soak_world
{
public:
    soak_world(std::uint64_t seed, std::size_t gateway_count);
    ~soak_world();

    void inject(const planned_fault& f);
    void clear_faults();
    /// Restarts ended gateways and writes what a restored store lacks.
    void step();
    void wait(duration d);
    /// Restores the store with callers at work and no other fault than SIGTERM.
    void restore_in_calm(const planned_fault& f);

    struct route_to_gateway
    {
        ip_address address;
        incarnation number = 0;
    };
    route_to_gateway gateway_at(std::size_t i);
    /// Number of added routes that the process must serve.
    unsigned known_routes(std::size_t i, incarnation number);
    /// True from SIGTERM until a second after the time to drain.
    bool was_terminated(std::size_t i, mono_time t);
    unsigned added_routes() const
    {
        return added_routes_;
    }
    std::size_t gateway_count() const
    {
        return gateways_.size();
    }

    shared_random random; ///< For everything but the faults.
    execution_log executions;
    fault_log faults;

private:
    using json = nlohmann::json;

    scripted_answer call(const std::string& head, const fault_place& at);
    scripted_answer stream(const std::string& head, const fault_place& at);
    scripted_answer serve_leaving(const std::string& head, std::size_t n);
    json configuration() const;
    bool put(const std::string& key, const json& value);
    bool put_configuration();
    void set_store_down(bool is_down);
    bool register_upstream(const std::string& id, const ip_address& at,
                           bool is_engine, const std::string& state);
    void register_all();
    bool write_leaving(leaving_upstream& u);
    void add_leaving();
    void start_gateway(std::size_t i);
    void restart_ended();
    void note_what_is_known(std::size_t i);
    void change_limits();
    std::pair<fault_place, testing_support::relay*> link_at(unsigned target);
    void inject_on_link(const planned_fault& f);
    void inject_on_gateway(const planned_fault& f);
    void inject_on_store(const planned_fault& f);
    void leave(const planned_fault& f);
    void put_odd_entry(const planned_fault& f);
    void restore_store(const planned_fault& f);
    void write_again();

    shared_random limit_random_;
    /// Requests per second, for an upstream and an engine each; 0: no limit.
    std::array<std::atomic<unsigned>, 3> limits_{};
    store::memory_store store_;
    platform::object_server server_{store_};
    std::unique_ptr<testing_support::relay> store_link_;
    std::vector<std::unique_ptr<relayed_upstream>> upstreams_;
    std::vector<std::unique_ptr<relayed_upstream>> engines_;
    testing_support::scratch_folder folder_;
    std::set<fault_place> dropping_; ///< Links that drop bytes.
    std::mutex mutex_;               ///< For `gateways_` and `leaving_`.
    std::vector<gateway_slot> gateways_;
    std::vector<std::unique_ptr<leaving_upstream>> leaving_;
    std::vector<store::memory_store::copy> copies_;
    incarnation starts_ = 0;
    int version_ = 0;
    unsigned added_routes_ = 0;
    unsigned written_routes_ = 0;
    /// When the store had `written_routes_`; mono_time::max() while it has not.
    mono_time routes_written_at_{};
    mono_time write_again_at_ = mono_time::max();
    bool is_store_down_ = false;
};

} // namespace poplar::gateway
