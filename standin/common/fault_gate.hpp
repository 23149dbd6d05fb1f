/// Holds requests back while a stand-in plays a frozen process.
#pragma once

#include "net/http_server.hpp"

#include <absl/synchronization/mutex.h>
#include <vector>

namespace poplar::standin
{

class fault_gate
{
public:
    explicit fault_gate(net::http_handler handler);

    /// Passes the request on, or keeps it without an answer while frozen.
    void handle(net::http_request request, net::responder_ptr answer);
    /// Thawing passes on what was kept, as a process that goes on would.
    void set_frozen(bool frozen);
    bool is_frozen() const;

private:
    struct kept_request
    {
        net::http_request request;
        net::responder_ptr answer;
    };

    const net::http_handler handler_;
    mutable absl::Mutex mutex_;
    bool frozen_ ABSL_GUARDED_BY(mutex_) = false;
    std::vector<kept_request> kept_ ABSL_GUARDED_BY(mutex_);
};

} // namespace poplar::standin
