/// Limits on repeated work, so that retries cannot amplify an overload.
#pragma once

#include "policy/work.hpp"

namespace poplar::policy
{

struct retry_budget_settings
{
    double per_first_attempt = 0.1; ///< Retries earned by a first attempt.
    double capacity = 20;           ///< Retries that can be saved up.
    double initial = 5;
};

/// Token bucket fed by first attempts. Over any run, retries are at most
/// at_start + per_first_attempt * first attempts.
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_settings& settings = {});

    /// Changes the settings; what is saved up stays, up to the new most.
    void configure(const retry_budget_settings& settings);

    void record_first_attempt();
    /// Takes one retry from the budget; false when there is none.
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
    double latency_factor = 1.0; ///< Times the usual upper latency.
};

/// True when a second copy of a call should be sent: the call is idempotent,
/// has waited longer than usual, and the budget pays for it.
bool should_hedge(const hedge_rule_settings& settings, bool idempotent,
                  duration elapsed, duration typical_tail_latency,
                  retry_budget& budget);

} // namespace poplar::policy
