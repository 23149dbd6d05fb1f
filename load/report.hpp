/// What poplar-load measures, by class of work.
#pragma once

#include "load/workload.hpp"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace poplar::load
{

enum class outcome
{
    completed, ///< Whole, and with the right text where it is known.
    refused,
    cut,   ///< Part of an answer, then nothing.
    mixed, ///< Text of something else.
    failed ///< No answer at all.
};

std::string to_string(outcome o);

/// One finished request.
struct measurement
{
    outcome result = outcome::completed;
    std::string detail;     ///< Type of the refusal or failure.
    std::string ran;        ///< Header Poplar-Ran; empty when absent.
    duration first_token{}; ///< For whole answers and calls: until the end.
    std::vector<duration> intervals; ///< Between events with text.
    std::uint32_t tokens = 0;
};

struct class_report
{
    std::string name;
    duration first_token_target{};
    duration token_interval_target{};
    std::uint64_t sent = 0;
    std::map<outcome, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> refusals; ///< By type.
    std::map<std::string, std::uint64_t> failures; ///< By kind.
    std::map<std::string, std::uint64_t> ran;      ///< Not completed: by ran.
    std::uint64_t tokens = 0;
    std::uint64_t good_tokens = 0; ///< Of requests that met both targets.
    std::uint64_t met_targets = 0;
    std::vector<duration> first_tokens;
    std::vector<duration> intervals;

    explicit class_report(const work_class& c);
    void add(const measurement& m);
};

/// Value below which `share` of the samples lie; sorts them partly.
duration percentile(std::vector<duration>& samples, double share);

/// Result of a run.
struct run_report
{
    duration length{};  ///< Of the workload.
    duration elapsed{}; ///< Until the last answer; rates are relative to it.
    std::vector<class_report> classes;
};

/// Both sort the samples partly.
std::string to_text(run_report& report);
nlohmann::json to_json(run_report& report);

} // namespace poplar::load
