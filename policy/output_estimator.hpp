/// Estimates the output length of requests from earlier answers, per tenant,
/// model and rank. Used by entries; takes no lock.
#pragma once

#include "policy/work.hpp"

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace poplar::policy
{

struct output_estimator_settings
{
    /// Maximum number of accounts. At this limit a new account replaces one
    /// that has not been used recently.
    std::size_t max_accounts = 32768;
    double mean_ewma_weight = 0.1; ///< Weight of the newest answer.
    double upper_quantile = 0.9;   ///< Estimated quantile, in (0, 1).
    double initial_estimate = 256; ///< Tokens, before the first answer.
};

/// Estimated output length of a request.
struct output_estimate
{
    token_count mean;
    token_count upper; ///< The upper quantile, but at least the mean.
};

/// An account holds the statistics of one (tenant, model, rank). While it has
/// few answers, they are blended with the statistics of (model, rank).
class output_estimator
{
public:
    explicit output_estimator(const output_estimator_settings& settings = {});

    /// Adds the output length of a finished answer.
    void learn(const tenant_id& tenant, const model_id& model, rank_index rank,
               token_count output);

    /// Returns the expected output length of a request. The mean and the upper
    /// quantile are between 1 and max_tokens.
    output_estimate estimate(const tenant_id& tenant, const model_id& model,
                             rank_index rank, token_count max_tokens) const;

    std::size_t accounts() const
    {
        return accounts_.size();
    }

private:
    /// Running estimates of the output length, in tokens.
    struct statistics
    {
        float mean = 0;
        float upper = 0;
        std::uint32_t answers = 0;
    };
    struct account
    {
        statistics stats;
        bool used = false; ///< Since the clock hand last passed.
    };

    void add(statistics& a, double output) const;
    /// Moves the clock hand to the account to replace.
    void select_replacement();

    output_estimator_settings settings_;
    absl::flat_hash_map<std::uint64_t, account> accounts_;
    /// Keys of `accounts_` in the order of the clock replacement algorithm.
    std::vector<std::uint64_t> replacement_order_;
    std::size_t clock_hand_ = 0;
    /// Statistics by hash of (model, rank).
    absl::flat_hash_map<std::uint64_t, statistics> models_;
};

} // namespace poplar::policy
