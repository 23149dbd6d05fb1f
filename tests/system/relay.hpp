/// A TCP relay on loopback that a test can cut, delay or make silent.
#pragma once

#include "base/address.hpp"
#include "base/time.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace poplar::testing_support
{

/// What happens to bytes in each direction; connections stay open.
struct relay_faults
{
    bool drop_to_target = false; ///< Bytes towards the target vanish.
    bool drop_to_client = false;
    duration delay{}; ///< Of every piece of bytes, in both directions.
};

/// Bytes received so far from each side, over all connections.
struct relay_traffic
{
    std::uint64_t from_client = 0;
    std::uint64_t from_target = 0;
};

class relay
{
public:
    explicit relay(const ip_address& target);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    ip_address address() const
    {
        return address_;
    }
    /// Connections made after the call get `faults` as well, unless only
    /// connections that are open now are to go silent.
    void set_faults(relay_faults faults);
    /// Makes the connections that are open now silent for good, in both
    /// directions, without closing them. New ones work.
    void silence_open_connections();
    /// Closes the open connections; refuses new ones while `refuse` is set.
    void cut(bool refuse);
    void set_target(const ip_address& target);
    relay_traffic traffic() const
    {
        return {from_client_, from_target_};
    }

private:
    struct session;
    void accept_loop();
    void serve(const std::shared_ptr<session>& s);
    void pump(session& s, bool to_target);
    relay_faults faults() const;

    ip_address address_;
    int listener_ = -1;
    std::atomic<bool> is_stopping_{false};
    std::atomic<bool> is_refusing_{false};
    std::atomic<std::uint64_t> from_client_{0};
    std::atomic<std::uint64_t> from_target_{0};
    mutable std::mutex mutex_;
    ip_address target_;
    relay_faults faults_;
    std::vector<std::shared_ptr<session>> sessions_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace poplar::testing_support
