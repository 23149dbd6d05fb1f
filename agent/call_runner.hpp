/// Sends calls to a plain service and says honestly how they ended.
#pragma once

#include "agent/settings.hpp"
#include "ledger/ledger.hpp"
#include "net/http_client.hpp"
#include "wire/generated/inner_generated.h"

#include <atomic>
#include <functional>
#include <memory>

namespace poplar::agent
{

using call_result_hook = std::function<void(fb::call_resultT)>;

/// All members may be called from any thread.
class call_runner : public std::enable_shared_from_this<call_runner>
{
public:
    call_runner(net::http_client& client, ip_address service,
                call_options options);

    /// A call that may be repeated.
    void run(const fb::callT& call, call_result_hook done);
    /// A call that the ledger has recorded; sent once.
    void run_once(const ledger::call& call,
                  std::function<void(ledger::run_result)> done);
    std::size_t open_calls() const
    {
        return open_;
    }

private:
    void start(net::client_request request,
               std::function<void(const net::client_result&)> done);

    net::http_client& client_;
    const ip_address service_;
    const call_options options_;
    std::atomic<std::size_t> open_{0};
};

fb::call_resultT refused_call(fb::refusal why, const std::string& message);

/// The ledger's call for a message; `service` names the whole ledger.
ledger::call to_ledger_call(const fb::callT& call, const service_id& service);
fb::call_resultT to_call_result(const ledger::call_answer& answer);

/// Outcome reports between agents.
fb::outcome_reportT to_wire(const ledger::call_record& record);
ledger::call_record from_wire(const fb::outcome_reportT& report);

} // namespace poplar::agent
