/// An object store in memory with the rules of the platform's API, for tests.
#pragma once

#include "store/object_store.hpp"

#include <absl/synchronization/mutex.h>
#include <cstdint>
#include <map>

namespace poplar::store
{

/// What the next calls do wrong.
struct store_faults
{
    bool outage = false; ///< Every call fails with unavailable.
    /// This many writes take effect and then fail with unknown_outcome.
    unsigned lose_answers = 0;
    /// This many writes fail with unknown_outcome without effect.
    unsigned lose_requests = 0;
};

class memory_store : public object_store
{
    /// Removed objects stay with an empty value so that watches see them.
    struct stored
    {
        std::uint64_t revision = 0;
        std::string value;
        bool removed = false;
    };

public:
    /// Contents at a moment.
    struct copy
    {
        std::map<object_key, stored> objects;
        std::uint64_t revision = 0;
    };

    object get(const object_key& key) override;
    put_result put(const object_key& key, const std::string& value,
                   object_version expected) override;
    put_result remove(const object_key& key, object_version expected) override;
    object_list list(const std::string& prefix) override;
    object_list watch(const std::string& prefix, object_version after,
                      duration timeout) override;
    std::vector<instance_record> instances() override;
    void stop_watches() override;
    store_era era() const override;

    copy make_copy() const;
    /// Drops what was written since the copy was made. Revisions since then are
    /// given out again, in a new era.
    void restore(const copy& earlier);
    void set_faults(store_faults faults);
    void set_instances(std::vector<instance_record> records);
    std::uint64_t writes() const;

private:
    put_result write(const object_key& key, const std::string* value,
                     object_version expected);
    void check_available() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    object_list changes(const std::string& prefix, object_version after) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    object_version version_of(const stored& at) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    mutable absl::Mutex mutex_;
    std::map<object_key, stored> objects_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t revision_ ABSL_GUARDED_BY(mutex_) = 0;
    store_era era_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t writes_ ABSL_GUARDED_BY(mutex_) = 0;
    store_faults faults_ ABSL_GUARDED_BY(mutex_);
    bool watches_stopped_ ABSL_GUARDED_BY(mutex_) = false;
    std::vector<instance_record> instances_ ABSL_GUARDED_BY(mutex_);
};

} // namespace poplar::store
