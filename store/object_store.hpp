/// The platform's object API as the rest of the code sees it.
#pragma once

#include "base/address.hpp"
#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplar::store
{

constexpr std::size_t max_value_bytes = std::size_t(1) << 20;

struct object
{
    object_key key;
    object_version version; ///< 0: the object does not exist.
    std::string value;
};

/// A row of an answer that cannot be read; the other rows are in use.
struct unreadable_entry
{
    std::string name; ///< Empty when the name cannot be read either.
    std::string reason;
};

struct object_list
{
    object_version revision; ///< Pass it to watch.
    std::vector<object> objects;
    std::vector<unreadable_entry> unreadable;
};

enum class store_failure
{
    unavailable,     ///< Certainly without effect (refused before the write).
    rate_limited,    ///< Certainly without effect.
    unknown_outcome, ///< The answer was lost: a write may have taken effect.
    too_large,
    compacted, ///< The watch revision is not to be had: list again.
    invalid
};

/// A call to the platform failed.
class store_error : public error
{
public:
    store_error(store_failure failure, const std::string& detail);

    store_failure failure() const
    {
        return failure_;
    }

private:
    store_failure failure_;
};

/// Thrown by watches after object_store::stop_watches; not a store_error,
/// since the platform did not fail.
class watches_stopped : public error
{
public:
    watches_stopped() : error("watches were stopped") {}
};

enum class put_status
{
    written,
    conflict ///< Another version is current; nothing was written.
};

struct put_result
{
    put_status status = put_status::written;
    object_version version; ///< New version, or the current one on conflict.
};

enum class instance_kind
{
    entry,
    engine,
    service
};

enum class instance_state
{
    live,
    leaving
};

/// A row of the platform's lagging instance list.
struct instance_record
{
    instance_id instance;
    instance_kind kind = instance_kind::engine;
    group_id group;
    region_id region;
    failure_domain_id failure_domain;
    ip_address address; ///< Inner-protocol address of the entry or agent.
    instance_state state = instance_state::live;
};

/// Blocking calls; all may be called from several threads and throw
/// store_error. Tests give an implementation in memory.
class object_store
{
public:
    virtual ~object_store() = default;

    /// Version 0 and an empty value when the object does not exist.
    virtual object get(const object_key& key) = 0;
    /// Writes only when the current version is `expected` (0: not existing).
    virtual put_result put(const object_key& key, const std::string& value,
                           object_version expected) = 0;
    virtual put_result remove(const object_key& key,
                              object_version expected) = 0;
    virtual object_list list(const std::string& prefix) = 0;
    /// Waits for changes after `after` for at most `timeout`. Objects with
    /// version 0 were removed. Several changes of one object come in the order
    /// in which they were made. An empty list means the time has passed. Fails
    /// with `compacted` when the store has been restored since `after`.
    virtual object_list watch(const std::string& prefix, object_version after,
                              duration timeout) = 0;
    virtual std::vector<instance_record> instances() = 0;
    /// The era that the last answer named; 0 for a store that names none.
    virtual store_era era() const
    {
        return {};
    }
    /// Makes the watches that wait, and all later ones, throw watches_stopped
    /// at once, so that a process need not wait for them when it shuts down.
    /// The other calls go on working.
    virtual void stop_watches() {}
};

std::string to_string(store_failure failure);
std::string to_string(instance_kind kind);
std::string to_string(instance_state state);

struct http_store_options
{
    ip_address address;
    duration timeout = std::chrono::seconds(2); ///< For one call.
    /// Time beyond the wait of a watch in which its answer has to begin.
    /// Shorter than that of other calls, since it delays changes when a
    /// connection has gone silent.
    duration watch_margin = std::chrono::seconds(1);
};

/// The object API over HTTP.
std::unique_ptr<object_store> make_http_store(http_store_options options);

} // namespace poplar::store
