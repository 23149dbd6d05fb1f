/// Stand-in for the rate-limited weight store.
#pragma once

#include "base/time.hpp"
#include "net/http_server.hpp"
#include "settings/reader.hpp"

#include <absl/synchronization/mutex.h>

namespace poplar::standin
{

struct weight_settings
{
    ip_address listen;
    double loads_per_s = 0; ///< Above: 429 with Retry-After.
    std::size_t bytes = 0;  ///< Size of each answer.
};

/// Throws settings_error.
weight_settings parse_weight_settings(settings::reader& all);

class weight_store
{
public:
    explicit weight_store(weight_settings settings);

    void handle(const net::http_request& request,
                const net::responder_ptr& answer);

private:
    /// Takes one load from the token bucket; false when it is empty.
    bool take_load();
    void give_weights(const net::responder_ptr& answer);
    void give_counters(const net::responder_ptr& answer) const;

    const weight_settings settings_;
    mutable absl::Mutex mutex_;
    double loads_left_ ABSL_GUARDED_BY(mutex_);
    mono_time filled_ ABSL_GUARDED_BY(mutex_) = now();
    std::uint64_t loads_ ABSL_GUARDED_BY(mutex_) = 0;
    std::uint64_t refused_ ABSL_GUARDED_BY(mutex_) = 0;
};

} // namespace poplar::standin
