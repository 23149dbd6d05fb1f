/// The HTTP interface of the stand-in platform.
#pragma once

#include "net/http_server.hpp"
#include "standin/platform/instances.hpp"
#include "standin/platform/objects.hpp"
#include "standin/platform/settings.hpp"
#include "standin/platform/timer.hpp"
#include "standin/platform/token_bucket.hpp"

#include <absl/synchronization/mutex.h>
#include <cstdint>
#include <map>
#include <vector>

namespace poplar::standin_platform
{

struct call_counters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;         ///< Asked for; refused ones are included.
    std::uint64_t written = 0;        ///< Took effect.
    std::uint64_t watches = 0;        ///< Also counted in `reads`.
    std::uint64_t instance_lists = 0; ///< Also counted in `reads`.
    std::uint64_t conflicts = 0;
    std::uint64_t rate_limited = 0;
    std::uint64_t refused_in_outage = 0;
    std::uint64_t lost_answers = 0;
};

/// All members may be called from any thread.
class platform_api
{
public:
    explicit platform_api(const platform_settings& settings);

    void handle(const net::http_request& request,
                const net::responder_ptr& answer);

private:
    /// An answer that is ready to be sent.
    struct reply
    {
        net::responder_ptr to;
        net::http_response response;
        bool lost = false; ///< Break the connection instead.
    };
    using replies = std::vector<reply>;

    struct waiting_watch
    {
        net::responder_ptr answer;
        std::string prefix;
        std::uint64_t after;
    };

    replies dispatch(const net::http_request& request,
                     const net::responder_ptr& answer)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    replies platform_call(const net::http_request& request,
                          const net::responder_ptr& answer)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    replies write_object(const net::http_request& request,
                         const std::string& key,
                         const net::responder_ptr& answer)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    replies watch(const net::http_request& request,
                  const net::responder_ptr& answer)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    net::http_response read_object(const std::string& key) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    net::http_response set_instance(const net::http_request& request)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    replies set_faults(const std::string& body,
                       const net::responder_ptr& answer)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    net::http_response counters() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void answer_watches(const std::string& key, replies& out)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void end_watch(std::uint64_t number);
    void send(replies out);
    /// Adds the era of the store to all answers; none names era 0.
    void add_era(replies& out) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Goes back to the copy, or to an empty store if none was made.
    void restore(replies& out) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    absl::Mutex mutex_;
    object_table objects_ ABSL_GUARDED_BY(mutex_);
    object_table copy_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t era_ ABSL_GUARDED_BY(mutex_) = 0;
    lagging_instances instances_ ABSL_GUARDED_BY(mutex_);
    fault_settings faults_ ABSL_GUARDED_BY(mutex_);
    token_bucket read_bucket_ ABSL_GUARDED_BY(mutex_);
    token_bucket write_bucket_ ABSL_GUARDED_BY(mutex_);
    call_counters counters_ ABSL_GUARDED_BY(mutex_);
    std::map<std::uint64_t, waiting_watch> watches_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t last_watch_ ABSL_GUARDED_BY(mutex_) = 0;
    timer later_; ///< Last: its functions use the other members.
};

} // namespace poplar::standin_platform
