#include "store/memory_store.hpp"

namespace poplar::store
{

void memory_store::check_available() const
{
    if (faults_.outage)
        throw store_error(store_failure::unavailable, "outage");
}

object memory_store::get(const object_key& key)
{
    absl::MutexLock lock(&mutex_);
    check_available();
    auto it = objects_.find(key);
    if (it == objects_.end() || it->second.removed)
        return {key, object_version(), ""};
    return {key, version_of(it->second), it->second.value};
}

object_version memory_store::version_of(const stored& at) const
{
    return at.removed || at.revision == 0 ? object_version()
                                          : make_version(era_, at.revision);
}

put_result memory_store::write(const object_key& key, const std::string* value,
                               object_version expected)
{
    absl::MutexLock lock(&mutex_);
    check_available();
    if (value && value->size() > max_value_bytes)
        throw store_error(store_failure::too_large, key.value);
    if (faults_.lose_requests > 0)
    {
        --faults_.lose_requests;
        throw store_error(store_failure::unknown_outcome, "request lost");
    }
    stored& at = objects_[key];
    const object_version current = version_of(at);
    if (current != expected)
        return {put_status::conflict, current};
    ++writes_;
    const bool is_change =
        !value || current == object_version() || at.value != *value;
    if (is_change)
        at = {++revision_, value ? *value : "", value == nullptr};
    if (faults_.lose_answers > 0)
    {
        --faults_.lose_answers;
        throw store_error(store_failure::unknown_outcome, "answer lost");
    }
    return {put_status::written, make_version(era_, at.revision)};
}

put_result memory_store::put(const object_key& key, const std::string& value,
                             object_version expected)
{
    return write(key, &value, expected);
}

put_result memory_store::remove(const object_key& key, object_version expected)
{
    return write(key, nullptr, expected);
}

object_list memory_store::changes(const std::string& prefix,
                                  object_version after) const
{
    object_list result{make_version(era_, revision_), {}, {}};
    for (const auto& [key, at] : objects_)
        if (key.value.starts_with(prefix) && at.revision > revision_of(after))
            result.objects.push_back({key, version_of(at), at.value});
    return result;
}

object_list memory_store::list(const std::string& prefix)
{
    absl::MutexLock lock(&mutex_);
    check_available();
    object_list result = changes(prefix, object_version());
    std::erase_if(result.objects,
                  [](const object& o) { return o.version.value == 0; });
    return result;
}

object_list memory_store::watch(const std::string& prefix, object_version after,
                                duration timeout)
{
    absl::MutexLock lock(&mutex_);
    auto has_news = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        return watches_stopped_ || faults_.outage || era_ != era_of(after) ||
               !changes(prefix, after).objects.empty();
    };
    mutex_.AwaitWithTimeout(absl::Condition(&has_news),
                            absl::Microseconds(timeout.count()));
    if (watches_stopped_)
        throw watches_stopped();
    check_available();
    if (era_ != era_of(after) || revision_of(after) > revision_)
        throw store_error(store_failure::compacted, "the store was restored");
    return changes(prefix, after);
}

store_era memory_store::era() const
{
    absl::MutexLock lock(&mutex_);
    return era_;
}

memory_store::copy memory_store::make_copy() const
{
    absl::MutexLock lock(&mutex_);
    return {objects_, revision_};
}

void memory_store::restore(const copy& earlier)
{
    absl::MutexLock lock(&mutex_);
    objects_ = earlier.objects;
    revision_ = earlier.revision;
    era_ = store_era(era_.value + 1);
}

std::vector<instance_record> memory_store::instances()
{
    absl::MutexLock lock(&mutex_);
    check_available();
    return instances_;
}

void memory_store::stop_watches()
{
    absl::MutexLock lock(&mutex_);
    watches_stopped_ = true;
}

void memory_store::set_faults(store_faults faults)
{
    absl::MutexLock lock(&mutex_);
    faults_ = faults;
}

void memory_store::set_instances(std::vector<instance_record> records)
{
    absl::MutexLock lock(&mutex_);
    instances_ = std::move(records);
}

std::uint64_t memory_store::writes() const
{
    absl::MutexLock lock(&mutex_);
    return writes_;
}

} // namespace poplar::store
