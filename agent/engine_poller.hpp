/// Reads the engine's state, load and cache events at a regular interval.
#pragma once

#include "agent/engine_api.hpp"
#include "agent/settings.hpp"
#include "net/http_client.hpp"

#include <absl/synchronization/mutex.h>
#include <functional>
#include <memory>
#include <string>

namespace poplar::agent
{

/// Called on the HTTP client's thread.
struct poll_hooks
{
    /// Number of a state read that begins.
    std::function<std::uint64_t()> begin_read;
    std::function<void(std::uint64_t read, const engine_state&)> state;
    std::function<void(std::uint64_t read)> unreachable;
    std::function<void(const engine_load&)> load;
    std::function<void(const cache_changes&)> cache;
};

/// All members may be called from any thread.
class engine_poller : public std::enable_shared_from_this<engine_poller>
{
public:
    engine_poller(net::http_client& client, ip_address engine,
                  poll_options options, poll_hooks hooks);

    /// Starts a round of reads when one is due and the last has ended.
    void tick(mono_time t);

private:
    using result_hook =
        std::function<void(engine_poller&, const net::client_result&)>;

    void fetch(std::string path, result_hook take);
    void take_state(std::uint64_t read, const net::client_result& result);
    void take_load(const net::client_result& result);
    void take_cache(std::uint64_t after, const net::client_result& result);
    void report_failed(std::uint64_t read, bool is_certain);

    net::http_client& client_;
    const ip_address engine_;
    const poll_options options_;
    const poll_hooks hooks_;

    absl::Mutex mutex_;
    mono_time next_ ABSL_GUARDED_BY(mutex_);
    unsigned pending_ ABSL_GUARDED_BY(mutex_) = 0;
    std::uint64_t cache_after_ ABSL_GUARDED_BY(mutex_) = 0;
    unsigned failed_in_row_ ABSL_GUARDED_BY(mutex_) = 0;
};

} // namespace poplar::agent
