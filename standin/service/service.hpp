/// Stand-in for a plain service: echoes calls and counts them by key.
#pragma once

#include "base/time.hpp"
#include "net/http_server.hpp"
#include "settings/reader.hpp"
#include "standin/common/fault_gate.hpp"

#include <absl/synchronization/mutex.h>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

namespace poplar::standin
{

struct service_settings
{
    ip_address listen;
    std::string name; ///< Returned in each answer.
    duration delay{}; ///< Between carrying a call out and answering it.
    unsigned status = 200;
};

/// Throws settings_error.
service_settings parse_service_settings(settings::reader& all);

class service
{
public:
    explicit service(service_settings settings);
    ~service();
    service(const service&) = delete;
    service& operator=(const service&) = delete;

    void handle(net::http_request request, net::responder_ptr answer);

private:
    struct late_answer
    {
        net::responder_ptr answer;
        net::http_response response;
        bool is_lost = false; ///< The connection is closed instead.
    };

    void execute(const net::http_request& request,
                 const net::responder_ptr& answer);
    net::http_response echo(const net::http_request& request) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void set_faults(const nlohmann::json& body,
                    const net::responder_ptr& answer);
    void give_counters(const net::responder_ptr& answer) const;
    void run();
    std::vector<late_answer> take_due() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const service_settings settings_;
    fault_gate gate_;
    mutable absl::Mutex mutex_;
    absl::CondVar changed_;
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    duration delay_ ABSL_GUARDED_BY(mutex_);
    unsigned status_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t close_next_ ABSL_GUARDED_BY(mutex_) = 0;
    std::uint64_t calls_ ABSL_GUARDED_BY(mutex_) = 0;
    /// Executions by Idempotency-Key; the empty key counts calls without one.
    std::map<std::string, std::uint64_t> executions_ ABSL_GUARDED_BY(mutex_);
    std::multimap<mono_time, late_answer> late_ ABSL_GUARDED_BY(mutex_);
    std::thread thread_;
};

} // namespace poplar::standin
