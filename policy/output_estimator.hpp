/// Expected length of answers, learned per tenant, model and rank.
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
    /// Table slots; above this the account used least recently is replaced.
    std::size_t max_accounts = 32768;
    double mean_ewma_weight = 0.1; ///< Of the newest answer in the mean.
    double upper_quantile = 0.9;   ///< In (0, 1).
    double initial_estimate = 256; ///< Tokens, before any answer arrived.
};

struct output_estimate
{
    token_count mean;
    token_count upper; ///< Upper quantile, at least the mean.
};

/// Falls back from (tenant, model, rank) to (model, rank) while an account has
/// few answers.
class output_estimator
{
public:
    explicit output_estimator(const output_estimator_settings& settings = {});

    void learn(const tenant_id& tenant, const model_id& model, rank_index rank,
               token_count output);

    /// Both figures are between 1 and max_tokens.
    output_estimate estimate(const tenant_id& tenant, const model_id& model,
                             rank_index rank, token_count max_tokens) const;

    std::size_t accounts() const
    {
        return accounts_.size();
    }

private:
    struct statistics
    {
        float mean = 0;
        float upper = 0;
        std::uint32_t answers = 0;
    };
    struct account
    {
        statistics stats;
        bool used = false; ///< Since the replacement hand passed.
    };

    void add(statistics& a, double output) const;
    void select_replacement();

    output_estimator_settings settings_;
    absl::flat_hash_map<std::uint64_t, account> accounts_;
    std::vector<std::uint64_t>
        replacement_order_; ///< Keys of accounts_, for replacement.
    std::size_t clock_hand_ = 0;
    absl::flat_hash_map<std::uint64_t, statistics> models_;
};

} // namespace poplar::policy
