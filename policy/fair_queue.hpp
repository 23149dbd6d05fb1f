/// Deficit round robin among tenants of one rank.
#pragma once

#include "policy/work.hpp"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <list>
#include <optional>

namespace poplar::policy
{

struct queued_request
{
    request_id id;
    tenant_id tenant;
    double tenant_weight = 1;
    work expected;
    double cost = 0; ///< Engine seconds.
    mono_time arrived{};
    mono_time first_token_by{};
};

/// Each turn adds quantum * weight engine seconds to a tenant's deficit; a
/// tenant's requests leave in order of arrival while the deficit pays.
class fair_queue
{
public:
    explicit fair_queue(double quantum_seconds = 0.05);

    void push(queued_request request);
    /// Request whose turn it is; null when empty. Stays until pop_front.
    const queued_request* front();
    queued_request pop_front();
    /// Removes a request anywhere in the queue.
    std::optional<queued_request> remove(const request_id& id);
    /// Removes one request that cannot be started before its time; `latest`
    /// returns the last time at which a request can be started.
    template <class Latest>
    std::optional<queued_request> pop_late(mono_time now, Latest latest);

    std::size_t size() const
    {
        return where_.size();
    }
    bool empty() const
    {
        return where_.empty();
    }
    std::size_t tenants() const
    {
        return active_.size();
    }

private:
    struct tenant_line
    {
        tenant_id tenant;
        double weight = 1;
        double deficit = 0;
        bool has_turn = false; ///< The quantum of this turn was added.
        std::deque<queued_request> waiting;
    };
    using line_iterator = std::list<tenant_line>::iterator;

    void drop_if_empty(line_iterator line);
    queued_request take(line_iterator line, std::size_t index);

    double quantum_;
    std::list<tenant_line> active_; ///< The front has the turn.
    absl::flat_hash_map<tenant_id, line_iterator> lines_;
    absl::flat_hash_map<request_id, line_iterator> where_;
};

template <class Latest>
std::optional<queued_request> fair_queue::pop_late(mono_time now, Latest latest)
{
    for (auto line = active_.begin(); line != active_.end(); ++line)
    {
        // Only the oldest of each tenant: it has the earliest target.
        if (latest(line->waiting.front()) < now)
            return take(line, 0);
    }
    return std::nullopt;
}

} // namespace poplar::policy
