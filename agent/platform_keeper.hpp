/// Holds the slot on the platform and reads the assignment once at start.
#pragma once

#include "agent/assignment.hpp"
#include "agent/slot.hpp"
#include "base/time.hpp"
#include "observe/log.hpp"
#include "store/object_store.hpp"

#include <absl/synchronization/mutex.h>
#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace poplar::agent
{

/// Called on the keeper's thread.
struct keeper_hooks
{
    /// Incarnation that is certainly held, or nothing.
    std::function<void(std::optional<agent_incarnation>)> held;
    /// Another process has taken the slot.
    std::function<void(agent_incarnation)> superseded;
    /// assignments/<group> was read; nothing: none for this instance.
    std::function<void(std::optional<assignment>)> assigned;
};

struct keeper_options
{
    instance_id instance;
    group_id group;
    ip_address address; ///< Inner-protocol address of this agent.
    duration check_interval = std::chrono::seconds(2);
    /// After a failed call; doubles up to longest_retry_interval, so that many
    /// agents do not keep the platform from coming back.
    duration retry_interval = std::chrono::milliseconds(500);
    duration longest_retry_interval = std::chrono::seconds(4);
};

/// Its thread makes the blocking calls to the platform.
class platform_keeper
{
public:
    /// `store` must outlive the keeper.
    platform_keeper(store::object_store& store, keeper_options options,
                    keeper_hooks hooks);
    ~platform_keeper();
    platform_keeper(const platform_keeper&) = delete;
    platform_keeper& operator=(const platform_keeper&) = delete;

private:
    void run();
    /// False when a call failed or the slot is lost.
    bool hold_slot();
    bool read_assignment();
    /// Logs the first of several failures.
    void log_failure(observe::event what, const error& ec);
    bool is_stopped_within(duration d);

    store::object_store& store_;
    const keeper_options options_;
    const keeper_hooks hooks_;
    const std::string process_;
    std::optional<agent_incarnation> incarnation_;
    bool is_superseded_ = false;
    bool has_assignment_ = false;
    bool was_well_ = true;
    absl::Mutex mutex_;
    bool is_stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::thread thread_;
};

/// This instance's part of the object assignments/<group>; throws parse_error.
std::optional<assignment> find_part(const store::object& o,
                                    const instance_id& instance);

} // namespace poplar::agent
