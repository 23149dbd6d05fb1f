#include "policy/engine_speed.hpp"

#include "policy/work.hpp"

#include <algorithm>
#include <cmath>

namespace poplar::policy
{

namespace
{

/// Sums below this weight are discarded; they no longer change a speed.
constexpr double min_weight = 0.05;
/// Passes over the measurements in one update. Each pass starts from the
/// result of the last, and updates follow each other within a second.
constexpr int passes = 4;

} // namespace

engine_speed_table::engine_speed_table(const engine_speed_settings& settings)
    : settings_(settings)
{
}

double engine_speed_table::decay(duration age) const
{
    return std::exp(-std::max(0.0, seconds(age)) / settings_.decay_seconds);
}

void engine_speed_table::add(const measured_prefill& call, mono_time now)
{
    const double expected =
        call.expected_wait_seconds + call.expected_prefill_seconds;
    if (call.expected_prefill_seconds <= 0 || call.measured_seconds <= 0)
        return;
    // The forecast of the wait is less certain than that of the prefill.
    const double weight = call.expected_prefill_seconds / expected *
                          std::min(1.0, call.expected_prefill_seconds /
                                            settings_.full_weight_seconds);
    sums& s = own_.engines[call.process];
    const double kept = decay(now - s.at);
    s.service = call.service;
    s.ratio_sum = kept * s.ratio_sum +
                  weight * std::clamp(call.measured_seconds / expected,
                                      settings_.min_ratio, settings_.max_ratio);
    s.weight = kept * s.weight + weight;
    s.at = now;
}

std::vector<speed_measurement>
engine_speed_table::measured_since(mono_time since, mono_time now) const
{
    std::vector<speed_measurement> out;
    for (const auto& [process, s] : own_.engines)
    {
        if (s.at < since)
            continue;
        const double kept = decay(now - s.at);
        out.push_back({process, kept * s.ratio_sum, kept * s.weight});
    }
    return out;
}

void engine_speed_table::apply_peer(const std::string& peer,
                                    std::uint64_t peer_process,
                                    std::uint64_t service,
                                    const speed_measurement& m, mono_time now)
{
    gateway_sums& g = peers_[peer];
    if (g.process != peer_process)
        g = {peer_process, {}};
    g.engines[m.process] = {service, m.ratio_sum, m.weight, now};
}

void engine_speed_table::forget_peer(const std::string& peer)
{
    peers_.erase(peer);
}

void engine_speed_table::forget_engine(const engine_process& process)
{
    own_.engines.erase(process);
    for (auto& [name, g] : peers_)
        g.engines.erase(process);
    speeds_.erase(process);
}

double engine_speed_table::speed(const engine_process& process) const
{
    const auto it = speeds_.find(process);
    return it == speeds_.end() ? 1 : it->second;
}

void engine_speed_table::update(mono_time now)
{
    const auto discard_old = [&](gateway_sums& g)
    {
        std::erase_if(g.engines,
                      [&](const auto& it)
                      {
                          const sums& s = it.second;
                          return s.weight * decay(now - s.at) < min_weight;
                      });
    };
    engines_.clear();
    engine_indices_.clear();
    gateway_count_ = 0;
    std::vector<row> rows;
    discard_old(own_);
    add_rows(own_, now, rows);
    for (auto& [name, g] : peers_)
    {
        discard_old(g);
        add_rows(g, now, rows);
    }
    estimate(rows);
    speeds_.clear();
    const auto by_service = deviations(noise_variance(rows));
    for (std::size_t i = 0; i < engines_.size(); ++i)
        speeds_[engines_[i].first] =
            bounded_speed(log_ratios_[i], by_service.at(engines_[i].second));
}

void engine_speed_table::add_rows(const gateway_sums& g, mono_time now,
                                  std::vector<row>& rows)
{
    std::map<std::uint64_t, std::size_t> indices; // By service.
    for (const auto& [process, s] : g.engines)
    {
        const auto [it, is_new] =
            indices.try_emplace(s.service, gateway_count_);
        gateway_count_ += is_new ? 1 : 0;
        rows.push_back({it->second, engine_index(process, s.service),
                        std::log(s.ratio_sum / s.weight),
                        s.weight * decay(now - s.at)});
    }
}

std::size_t engine_speed_table::engine_index(const engine_process& process,
                                             std::uint64_t service)
{
    const auto [it, is_new] =
        engine_indices_.try_emplace(process, engines_.size());
    if (is_new)
        engines_.emplace_back(process, service);
    return it->second;
}

/// Alternates between the factors of the gateways and those of the engines,
/// each the weighted mean of what the others leave unexplained.
void engine_speed_table::estimate(std::span<const row> rows)
{
    weights_.assign(engines_.size(), 0);
    std::vector<double> gateway_weights(gateway_count_);
    for (const row& it : rows)
    {
        weights_[it.engine] += it.weight;
        gateway_weights[it.gateway] += it.weight;
    }
    log_ratios_.assign(engines_.size(), 0);
    for (int pass = 0; pass < passes; ++pass)
    {
        gateways_.assign(gateway_count_, 0);
        for (const row& it : rows)
            gateways_[it.gateway] += it.weight *
                                     (it.log_ratio - log_ratios_[it.engine]) /
                                     gateway_weights[it.gateway];
        log_ratios_.assign(engines_.size(), 0);
        for (const row& it : rows)
            log_ratios_[it.engine] +=
                it.weight * (it.log_ratio - gateways_[it.gateway]) /
                (weights_[it.engine] + settings_.prior_weight);
        center_by_service();
    }
}

double engine_speed_table::certainty(std::size_t engine) const
{
    return weights_[engine] / (weights_[engine] + settings_.prior_weight);
}

/// Makes the mean of each service's engines 0, by certainty, since only the
/// product of a gateway's and an engine's factor is measured.
void engine_speed_table::center_by_service()
{
    absl::flat_hash_map<std::uint64_t, weighted_sum> means;
    for (std::size_t i = 0; i < engines_.size(); ++i)
        means[engines_[i].second].add(log_ratios_[i], certainty(i));
    for (std::size_t i = 0; i < engines_.size(); ++i)
        log_ratios_[i] -= certainty(i) * means[engines_[i].second].mean();
}

double engine_speed_table::noise_variance(std::span<const row> rows) const
{
    const double assumed = settings_.assumed_noise * settings_.assumed_noise;
    const std::size_t factors = engines_.size() + gateway_count_;
    if (rows.size() <= factors)
        return assumed;
    double sum = 0;
    for (const row& it : rows)
    {
        const double rest =
            it.log_ratio - gateways_[it.gateway] - log_ratios_[it.engine];
        sum += it.weight * rest * rest;
    }
    return sum / double(rows.size() - factors);
}

absl::flat_hash_map<std::uint64_t, double>
engine_speed_table::deviations(double noise_variance) const
{
    absl::flat_hash_map<std::uint64_t, weighted_sum> variances;
    for (std::size_t i = 0; i < engines_.size(); ++i)
    {
        const double c = certainty(i);
        const double measured = log_ratios_[i] / c;
        variances[engines_[i].second].add(
            measured * measured - noise_variance / weights_[i], c * c);
    }
    absl::flat_hash_map<std::uint64_t, double> out;
    for (const auto& [service, it] : variances)
        out[service] = std::sqrt(std::max(0.0, it.mean()));
    return out;
}

/// The part of the logarithm that is used rises gradually, so that a small
/// change of a measurement never makes a large change of the speed.
double engine_speed_table::bounded_speed(double log_ratio,
                                         double deviation) const
{
    const double ignored = settings_.ignored_log_speed;
    const double magnitude = std::abs(log_ratio);
    const double of_service =
        magnitude * std::clamp((deviation - ignored) / (ignored / 2), 0.0, 1.0);
    const double of_engine =
        std::clamp(2 * (magnitude - ignored), 0.0, magnitude);
    const double used = std::max(of_service, of_engine);
    return std::clamp(std::exp(std::copysign(used, -log_ratio)),
                      settings_.min_speed, settings_.max_speed);
}

} // namespace poplar::policy
