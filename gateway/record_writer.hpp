/// Writes small records to the object store that are to outlive the process.
#pragma once

#include "store/object_store.hpp"

#include <absl/synchronization/mutex.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>

namespace poplar::gateway
{

/// What to do with a record.
struct record_change
{
    enum class action
    {
        keep,
        write,
        remove
    };

    action what = action::keep;
    std::string value; ///< To be written.
};

/// Makes changes on a thread of its own, and makes them again while the store
/// fails or another process writes the same record. Of changes that wait for
/// one record only the last is made.
class record_writer
{
public:
    /// Called on the writer's thread with the present record, which may not
    /// exist; must not throw.
    using change_function = std::function<record_change(const store::object&)>;

    explicit record_writer(store::object_store& store);
    /// Drops the changes that are not made yet.
    ~record_writer();
    record_writer(const record_writer&) = delete;
    record_writer& operator=(const record_writer&) = delete;

    /// Dropped if too many records wait.
    void change(const object_key& key, change_function f);

private:
    struct pending_change
    {
        std::uint64_t number = 0; ///< Rises with each call of `change`.
        change_function apply;
    };

    void run();
    /// Waits for a change; empty when the thread is to end.
    std::optional<std::pair<object_key, pending_change>> next();
    /// False if another process has written the record meanwhile.
    bool make(const object_key& key, const change_function& f);
    void finish(const object_key& key, std::uint64_t number);
    void pause_after_failure(unsigned failures);

    store::object_store& store_;
    absl::Mutex mutex_;
    bool is_stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::uint64_t number_ ABSL_GUARDED_BY(mutex_) = 0;
    std::map<object_key, pending_change> pending_ ABSL_GUARDED_BY(mutex_);
    std::thread thread_;
};

} // namespace poplar::gateway
