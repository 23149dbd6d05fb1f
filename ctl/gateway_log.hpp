/// Reads the structured log of gateways.
#pragma once

#include <functional>
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace poplar::ctl
{

struct log_counts
{
    std::size_t records = 0;
    std::size_t others = 0; ///< Lines that hold no record.
};

/// Calls `take` with each record. Text before the record, such as the name of
/// a machine, is skipped.
log_counts read_log(std::istream& in,
                    const std::function<void(const nlohmann::json&)>& take);

/// The same for all files, "-" for standard input. Throws error when one
/// cannot be opened.
log_counts read_logs(const std::vector<std::string>& files,
                     const std::function<void(const nlohmann::json&)>& take);

/// A field as text; empty when absent.
std::string text_field(const nlohmann::json& record, const char* name);
/// A field as a number; 0 when absent or no number.
std::int64_t number_field(const nlohmann::json& record, const char* name);

} // namespace poplar::ctl
