/// What the soak records while it runs, and the checks on it.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace poplar::gateway
{

/// Where a fault acts: "u0" to "u2" and "e0" to "e2" are the links to
/// upstreams, "store" is the link to the store, "g0" and so on are gateways.
using fault_place = std::string;

/// Place of the gateway in a request id such as "once-g1-c3-17".
fault_place gateway_of(const std::string& id);

/// Streams are recorded apart: resumable ones may run although refused later.
std::string stream_key(const std::string& id);

/// Random number generator shared by threads.
class shared_random
{
public:
    explicit shared_random(std::uint64_t seed) : random_(seed) {}
    std::uint64_t operator()(std::uint64_t below)
    {
        const std::lock_guard lock(mutex_);
        return random_() % below;
    }

private:
    std::mutex mutex_;
    std::mt19937_64 random_;
};

/// Times at which faults were active, by place.
class fault_log
{
public:
    void begin(const fault_place& at);
    void end(const fault_place& at);
    bool overlaps(const fault_place& at, mono_time from, mono_time to) const;
    /// End of the last fault; mono_time::max() while one is active.
    mono_time calm_since(const fault_place& at) const;

private:
    struct interval
    {
        mono_time from;
        mono_time to;
    };
    mutable std::mutex mutex_;
    std::map<fault_place, std::vector<interval>> intervals_;
};

/// A request whose connection ended, or fell silent, without a whole answer.
struct lost_answer
{
    std::string id;
    std::string bytes;
    mono_time sent;
    mono_time ended;
    bool is_open = false;    ///< The connection was still open.
    bool is_leaving = false; ///< SIGTERM came before the end.
};

/// Records the executions at upstreams and the outcomes reported to callers.
class execution_log
{
public:
    void record_execution(const std::string& id, const fault_place& at);
    /// The upstream ended its answer to this request early.
    void record_break(const std::string& id);
    void record_refusal(const std::string& id);
    void record_success();
    unsigned served() const;
    void record_loss(const lost_answer& lost);
    /// Requests with the prefix "once" must be executed at most once, refused
    /// ones never.
    void check(const fault_log& faults) const;

private:
    void check_loss(const lost_answer& lost, const fault_log& faults) const;

    mutable std::mutex mutex_;
    std::map<std::string, std::vector<fault_place>> executions_;
    std::set<std::string> broken_;
    std::set<std::string> refused_;
    std::vector<lost_answer> lost_;
    unsigned served_ = 0;
};

} // namespace poplar::gateway
