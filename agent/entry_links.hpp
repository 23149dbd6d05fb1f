/// The open connections from entries.
#pragma once

#include "wire/connection.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <cstdint>
#include <string>

namespace poplar::agent
{

/// All members may be called from any thread.
class entry_links
{
public:
    void add(const wire::connection_ptr& c);
    void remove(const wire::connection_ptr& c);
    /// Sends an encoded frame to every entry.
    void broadcast(const std::string& encoded);
    std::size_t size() const;
    std::size_t queued_bytes() const;
    void close_all();

private:
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<std::uint64_t, wire::connection_ptr>
        links_ ABSL_GUARDED_BY(mutex_);
};

} // namespace poplar::agent
