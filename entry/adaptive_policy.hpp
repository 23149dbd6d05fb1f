/// The dispatch policy made of the decision modules of `policy`: admission by
/// work, fair shares, routing by cached prefix and load, retry budget.
#pragma once

#include "entry/dispatch_policy.hpp"
#include "policy/admission.hpp"
#include "policy/output_estimator.hpp"
#include "policy/retry_budget.hpp"
#include "policy/router.hpp"

#include <memory>

namespace poplar::entry
{

struct adaptive_policy_options
{
    policy::engine_speed speed;
    failure_domain_id failure_domain; ///< Of this entry.
    policy::retry_budget_settings retries;
    std::uint64_t seed = 0; ///< Of the random choices among engines.
};

std::unique_ptr<dispatch_policy>
make_adaptive_policy(adaptive_policy_options options);

/// Blocks of a prompt as entries and engines name them.
std::vector<std::uint64_t> request_blocks(const request_view& request);

} // namespace poplar::entry
