/// Estimates how fast the prefill of each engine process is, relative to the
/// prefill rate of its service, from the prefill calls of all gateways.
///
/// Each gateway keeps the sums of its own calls and shares them. Every gateway
/// estimates the speeds from all sums. The model is multiplicative: the ratio
/// of measured to expected prefill time is the product of a factor of the
/// gateway (its own delay and the error of its rate) and one of the engine (the
/// inverse of its speed). The factor of a gateway is estimated from all engines
/// that it measured, so a gateway that is slow towards all of them makes none
/// look slow.
#pragma once

#include "policy/fatal_blocks.hpp"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace poplar::policy
{

/// Sums over prefill calls of one gateway to one engine process.
struct speed_measurement
{
    engine_process process;
    /// Ratios of measured to expected prefill time, by weight.
    double ratio_sum = 0;
    double weight = 0;
    bool operator==(const speed_measurement&) const = default;
};

struct engine_speed_settings
{
    /// Time in which the weight of a measurement falls to 1/e. An engine that
    /// becomes slower or recovers is noticed within this time.
    double decay_seconds = 20;
    /// Weight of the prior assumption that an engine has speed 1.
    double prior_weight = 4;
    /// Bounds of one measured ratio, so that a stalled call counts as one
    /// measurement of a slow engine and no more.
    double min_ratio = 0.2;
    double max_ratio = 5;
    /// Bounds of a speed.
    double min_speed = 0.4;
    double max_speed = 2.5;
    /// Speeds are exactly 1 while the standard deviation of their logarithms
    /// within the service, without that of the noise, is below this, except
    /// for engines whose own logarithm is above it. Noise between equal engines
    /// then changes no decision, and engines of equal cost remain ties that all
    /// gateways break in the same way. Speeds count fully from 1.5 times this
    /// deviation, and from twice this logarithm of one engine.
    double ignored_log_speed = 0.1;
    /// Standard deviation of the logarithm of one ratio that is assumed while
    /// there are too few measurements to estimate it.
    double assumed_noise = 0.5;
    /// Expected prefill time from which a measurement has full weight. Shorter
    /// calls depend more on the network than on the engine.
    double full_weight_seconds = 0.05;
};

/// A finished prefill call, with the times that were expected of an engine of
/// speed 1.
struct measured_prefill
{
    engine_process process;
    std::uint64_t service = 0; ///< Digest of the service's name.
    double expected_wait_seconds = 0;
    double expected_prefill_seconds = 0;
    double measured_seconds = 0;
};

/// Relative speeds of the engine processes of all services. Not thread-safe.
class engine_speed_table
{
public:
    explicit engine_speed_table(const engine_speed_settings& settings = {});

    /// Adds a prefill call of this gateway.
    void add(const measured_prefill& call, mono_time now);
    /// Sums of this gateway's own calls, for the engines measured since
    /// `since`.
    std::vector<speed_measurement> measured_since(mono_time since,
                                                  mono_time now) const;
    /// Replaces what a peer measured at an engine. `peer_process` differs
    /// between processes of one peer.
    void apply_peer(const std::string& peer, std::uint64_t peer_process,
                    std::uint64_t service, const speed_measurement& m,
                    mono_time now);
    void forget_peer(const std::string& peer);
    /// Discards all measurements of an engine process that has ended.
    void forget_engine(const engine_process& process);
    /// Computes the speeds from all measurements.
    void update(mono_time now);
    /// Speed as of the last update; 1 if the engine is not measured.
    double speed(const engine_process& process) const;

private:
    struct sums
    {
        std::uint64_t service = 0;
        double ratio_sum = 0;
        double weight = 0;
        mono_time at{}; ///< Time of the last measurement, or of its report.
    };
    struct gateway_sums
    {
        std::uint64_t process = 0;
        std::map<engine_process, sums> engines;
    };
    /// Mean of one gateway's measurements of one engine, as indices into the
    /// factors that are estimated.
    struct row
    {
        std::size_t gateway = 0; ///< Of one gateway and service.
        std::size_t engine = 0;
        double log_ratio = 0;
        double weight = 0;
    };

    struct weighted_sum
    {
        double sum = 0;
        double weight = 0;

        void add(double value, double value_weight)
        {
            sum += value_weight * value;
            weight += value_weight;
        }
        double mean() const
        {
            return sum / weight;
        }
    };

    double decay(duration age) const;
    void add_rows(const gateway_sums& g, mono_time now, std::vector<row>& rows);
    /// Index of the engine among those whose factors are estimated.
    std::size_t engine_index(const engine_process& process,
                             std::uint64_t service);
    void estimate(std::span<const row> rows);
    /// How much of the engine's factor is measured rather than assumed.
    double certainty(std::size_t engine) const;
    void center_by_service();
    /// Variance of the logarithm of one ratio around the estimated factors.
    double noise_variance(std::span<const row> rows) const;
    /// Standard deviation of the engines' logarithms within each service,
    /// without that of the noise.
    absl::flat_hash_map<std::uint64_t, double>
    deviations(double noise_variance) const;
    double bounded_speed(double log_ratio, double deviation) const;

    engine_speed_settings settings_;
    gateway_sums own_;
    std::map<std::string, gateway_sums> peers_;
    std::map<engine_process, double> speeds_;

    // Of the update in progress.
    std::vector<std::pair<engine_process, std::uint64_t>> engines_;
    std::map<engine_process, std::size_t> engine_indices_;
    std::size_t gateway_count_ = 0;
    std::vector<double> log_ratios_; ///< By engine.
    std::vector<double> weights_;    ///< By engine.
    std::vector<double> gateways_;   ///< Factors of the gateways.
};

} // namespace poplar::policy
