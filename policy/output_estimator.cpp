#include "policy/output_estimator.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace poplar::policy
{

namespace
{

/// Number of answers from which an account's own statistics are used without
/// those of (model, rank).
constexpr std::uint32_t min_own_answers = 8;
/// Minimum relative step of the quantile estimate for each answer.
constexpr double quantile_step = 0.05;

std::uint64_t account_key(const tenant_id& tenant, const model_id& model,
                          rank_index rank)
{
    return digest(tenant.value, digest(model.value, rank.value));
}

std::uint64_t model_key(const model_id& model, rank_index rank)
{
    return digest(model.value, rank.value);
}

} // namespace

output_estimator::output_estimator(const output_estimator_settings& settings)
    : settings_(settings)
{
    replacement_order_.reserve(settings_.max_accounts);
}

void output_estimator::add(statistics& a, double output) const
{
    ++a.answers;
    if (a.answers == 1)
    {
        // The first answer sets the mean to its length and the upper quantile
        // to 1.25 times its length.
        a.mean = static_cast<float>(output);
        a.upper = static_cast<float>(output * 1.25);
        return;
    }
    const double weight = std::max(settings_.mean_ewma_weight,
                                   1.0 / static_cast<double>(a.answers));
    a.mean += static_cast<float>(weight * (output - a.mean));
    // Stochastic approximation of the quantile: the steps up and down balance
    // when the wanted fraction of answers is below the estimate. Early steps
    // are larger, so that an untypical first answer is corrected soon.
    const double step =
        std::max(quantile_step, 1.0 / static_cast<double>(a.answers));
    const double q = settings_.upper_quantile;
    const double factor = output > a.upper ? q : q - 1;
    a.upper = static_cast<float>(a.upper * std::exp(step * factor));
}

void output_estimator::select_replacement()
{
    // Clock algorithm (second chance): an account used since the hand's last
    // pass is skipped once.
    while (true)
    {
        clock_hand_ = clock_hand_ % replacement_order_.size();
        account& at = accounts_.at(replacement_order_[clock_hand_]);
        if (!at.used)
            return;
        at.used = false;
        ++clock_hand_;
    }
}

void output_estimator::learn(const tenant_id& tenant, const model_id& model,
                             rank_index rank, token_count output)
{
    const double tokens = std::max(1.0, static_cast<double>(output.value));
    add(models_[model_key(model, rank)], tokens);
    const std::uint64_t key = account_key(tenant, model, rank);
    auto it = accounts_.find(key);
    if (it == accounts_.end())
    {
        if (settings_.max_accounts == 0)
            return;
        if (replacement_order_.size() < settings_.max_accounts)
        {
            replacement_order_.push_back(key);
        }
        else
        {
            select_replacement();
            accounts_.erase(replacement_order_[clock_hand_]);
            replacement_order_[clock_hand_] = key;
            ++clock_hand_;
        }
        it = accounts_.try_emplace(key).first;
    }
    it->second.used = true;
    add(it->second.stats, tokens);
}

output_estimate output_estimator::estimate(const tenant_id& tenant,
                                           const model_id& model,
                                           rank_index rank,
                                           token_count max_tokens) const
{
    // Before the first answer, the upper quantile is taken as twice the mean.
    double mean = settings_.initial_estimate;
    double upper = settings_.initial_estimate * 2;
    const auto m = models_.find(model_key(model, rank));
    if (m != models_.end())
    {
        mean = m->second.mean;
        upper = m->second.upper;
    }
    const auto it = accounts_.find(account_key(tenant, model, rank));
    if (it != accounts_.end())
    {
        const statistics& own = it->second.stats;
        const double weight =
            std::min(1.0, static_cast<double>(own.answers) / min_own_answers);
        mean += weight * (own.mean - mean);
        upper += weight * (own.upper - upper);
    }
    const std::int64_t max_output = std::max<std::int64_t>(1, max_tokens.value);
    const auto bounded = [max_output](double tokens)
    {
        return token_count(
            std::clamp<std::int64_t>(std::llround(tokens), 1, max_output));
    };
    return {bounded(mean), bounded(std::max(mean, upper))};
}

} // namespace poplar::policy
