/// Comparison of policies on one trace, and the stated outcomes.
#pragma once

#include "replay/simulation.hpp"

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace poplar::replay
{

struct policy_result
{
    policy_choice choice;
    figures result;
};

struct comparison
{
    std::string trace_name;
    std::string scenario;
    std::vector<std::string> ranks;
    std::vector<flood> floods;
    std::vector<double> flood_demand; ///< Of flood * ranks, engine seconds.
    std::vector<double> flood_share;  ///< Guaranteed engine seconds.
    double oracle = 0;
    std::vector<policy_result> policies; ///< The first is poplarladder's.
};

/// Runs all policies, or the first `most` of them.
comparison compare(const trace& t, std::size_t most = 100);

void print(std::ostream& out, const comparison& c);
/// Totals of several comparisons.
void print_summary(std::ostream& out, const std::vector<comparison>& list);

struct outcome
{
    std::string name;
    std::string scenario;
    std::string figure;
    std::optional<double> at_least;
    std::optional<double> at_most;
};

/// Reads outcomes.toml; throws settings::settings_error.
std::vector<outcome> read_outcomes(const std::string& file);

/// Value of a figure of the first policy; throws trace_error when unknown.
double figure_of(const comparison& c, const std::string& name);

struct checked_outcome
{
    std::string name;
    std::string trace_name;
    double value = 0;
    bool met = false;
};

std::vector<checked_outcome> check(const std::vector<outcome>& outcomes,
                                   const std::vector<comparison>& list);

} // namespace poplar::replay
