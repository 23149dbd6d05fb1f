/// Limits retries and hedged calls, so that they cannot amplify an overload.
/// Used by gateways and entries; takes no lock.
#pragma once

#include "policy/work.hpp"

namespace poplar::policy
{

struct retry_budget_settings
{
    double per_first_attempt = 0.1; ///< Retries that a first attempt adds.
    double capacity = 20;           ///< Most retries that can accumulate.
    double initial = 5;             ///< Retries available at the start.
};

/// Token bucket that first attempts fill. The number of retries is at most
/// initial + per_first_attempt * first attempts.
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_settings& settings = {});

    /// Changes the settings. Accumulated retries stay, up to the new capacity.
    void configure(const retry_budget_settings& settings);

    /// Adds `per_first_attempt` retries to the budget, up to its capacity.
    void record_first_attempt();
    /// Takes one retry from the budget; returns false when less than one is
    /// available.
    bool try_retry();

    double available() const
    {
        return available_;
    }

private:
    retry_budget_settings settings_;
    double available_;
};

struct hedge_rule_settings
{
    duration min_wait{std::chrono::milliseconds(50)};
    double latency_factor = 1.0; ///< Multiple of the typical tail latency.
};

/// Returns true when a second copy of a call should be sent: the call is
/// idempotent, its elapsed time is at least `min_wait` and at least
/// `latency_factor` times the typical tail latency, and the budget had a retry,
/// which is taken.
bool should_hedge(const hedge_rule_settings& settings, bool idempotent,
                  duration elapsed, duration typical_tail_latency,
                  retry_budget& budget);

} // namespace poplar::policy
