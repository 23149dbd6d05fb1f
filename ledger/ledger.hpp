/// At-most-once execution of the non-idempotent calls of one service at one
/// agent: runs the shard machines over the platform's object store.
#pragma once

#include "ledger/shard_machine.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace poplar::ledger
{

/// A call as it arrived.
struct call
{
    call_key key;
    std::string method;
    std::string target; ///< Path with query, as sent to the upstream.
    std::vector<net::header> headers;
    std::string body;
    bool take_over = false; ///< Displace an owner that cannot be reached.
    duration time_left{};   ///< Until the caller's deadline.
};

/// Sends a call to the upstream, once and without any retry, and reports the
/// result through the second argument, from any thread. Must not block.
using run_hook =
    std::function<void(const call&, std::function<void(run_result)>)>;
/// Tells the agent at an address how a call of a moved shard ended.
using forward_hook =
    std::function<void(const std::string& address, const call_record&)>;
using answer_hook = std::function<void(call_answer)>;

struct ledger_options
{
    service_id service;
    shard_options shard;
    /// Conditional updates a second, so that one process cannot use up the
    /// platform's several hundred.
    unsigned max_writes_per_second = 50;
    /// Store operations at the same time; each blocks one thread.
    unsigned threads = 4;
    run_hook run;
    forward_hook forward;
};

/// All members may be called from any thread; hooks come from its threads.
class service_ledger
{
public:
    /// `store` must outlive the ledger.
    service_ledger(store::object_store& store, ledger_options options);
    ~service_ledger(); ///< Joins the threads; open calls get no answer.
    service_ledger(const service_ledger&) = delete;
    service_ledger& operator=(const service_ledger&) = delete;

    /// Calls `answer` exactly once, possibly before it returns.
    void submit(call c, answer_hook answer);
    /// A former owner reports the outcome of a call that it had sent.
    void report_outcome(const call_record& outcome);
    /// Shards owned now, in rising order.
    std::vector<unsigned> owned_shards() const;
    /// Starts the handover of all shards: new calls are refused.
    void release();
    /// True when every shard has been handed over.
    bool is_released() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace poplar::ledger
