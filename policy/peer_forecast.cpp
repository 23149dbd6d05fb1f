#include "policy/peer_forecast.hpp"

#include "base/digest.hpp"
#include "policy/work.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace poplar::policy
{

namespace
{

/// Factor on the mean age of the reports. A forecast that is too low makes
/// answers late, one that is too high costs little. In the model of
/// policy_speed_test 2.2% of the prefills take over twice the forecast with a
/// factor of 1, and 1.6% with this one.
constexpr double age_margin = 4.0 / 3;

/// Cost to which the work raises the cheapest engines.
double common_cost(std::span<const forecast_engine> engines,
                   double unreported_seconds)
{
    std::vector<std::size_t> by_cost(engines.size());
    std::iota(by_cost.begin(), by_cost.end(), std::size_t(0));
    std::ranges::sort(by_cost, {},
                      [&](std::size_t i) { return engines[i].cost_seconds; });
    double speeds = 0;
    double weighted_costs = 0;
    double level = std::numeric_limits<double>::max();
    for (const std::size_t i : by_cost)
    {
        const forecast_engine& it = engines[i];
        if (it.cost_seconds >= level)
            break;
        speeds += it.speed;
        weighted_costs += it.speed * it.cost_seconds;
        level = (weighted_costs + unreported_seconds) / speeds;
    }
    return level;
}

} // namespace

/// The last report of a peer is half of the time between its reports old on
/// average.
double unreported_work(double placed_per_second, duration between_reports)
{
    return placed_per_second * seconds(between_reports) / 2 * age_margin;
}

std::vector<double>
expected_unreported_work(std::span<const forecast_engine> engines,
                         double unreported_seconds)
{
    const double level = common_cost(engines, unreported_seconds);
    std::vector<double> work;
    work.reserve(engines.size());
    for (const forecast_engine& it : engines)
        work.push_back(std::max(0.0, level - it.cost_seconds));
    return work;
}

/// Weighted rendezvous hashing.
std::size_t choose_by_share(std::span<const forecast_engine> engines,
                            std::span<const double> unreported,
                            std::uint64_t key)
{
    constexpr double max_weight =
        double(std::numeric_limits<std::uint64_t>::max());
    std::size_t best = engines.size();
    double best_score = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < engines.size(); ++i)
    {
        const double share = unreported[i] * engines[i].speed;
        if (share <= 0)
            continue;
        // Exponentially distributed with the share as its rate.
        const double uniform =
            (double(rendezvous_weight(engines[i].id, key)) + 1) /
            (max_weight + 2);
        const double score = -std::log(uniform) / share;
        if (score >= best_score)
            continue;
        best = i;
        best_score = score;
    }
    return best;
}

} // namespace poplar::policy
