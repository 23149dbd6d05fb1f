/// Dispatch policy that combines the modules of `policy`: admission by expected
/// work with fair shares, routing by cached prefix and load, and a retry
/// budget.
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
    failure_domain_id
        failure_domain; ///< Of this entry; its engines are preferred.
    policy::retry_budget_settings retries;
    std::uint64_t seed = 0; ///< Seed of the random choices among engines.
};

std::unique_ptr<dispatch_policy>
make_adaptive_policy(adaptive_policy_options options);

/// Returns the digests of a prompt's prefix blocks. Entries and engines
/// compute the same digests.
std::vector<std::uint64_t> request_blocks(const request_view& request);

} // namespace poplar::entry
