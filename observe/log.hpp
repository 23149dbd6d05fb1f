/// Numbered structured log events over Boost.Log. The catalogue stands in
/// observe/events.def and docs/log-events.md; a test keeps them the same.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace poplar::observe
{

enum class severity
{
    debug,
    info,
    warning,
    error
};

/// Events; the number of each never changes and is never used again.
enum class event : std::uint16_t
{
#define POPLAR_EVENT(NUMBER, NAME, SEVERITY, MEANING) NAME = NUMBER,
#include "observe/events.def"
#undef POPLAR_EVENT
};

struct event_description
{
    event number;
    std::string_view name;
    severity level;
    std::string_view meaning;
};

const std::vector<event_description>& event_catalogue();
const event_description& describe(event e);

/// One named value of a log line.
struct field
{
    std::string name;
    std::string value;

    field(std::string field_name, std::string text);
    field(std::string field_name, const char* text);
    template <class Integer>
    requires std::is_integral_v<Integer> field(std::string field_name,
                                               Integer number)
        : field(std::move(field_name), std::to_string(number))
    {
    }
};

enum class log_output
{
    standard_error,
    /// Through a bounded queue: writing a line never blocks.
    standard_output
};

struct log_options
{
    severity lowest = severity::info;
    log_output output = log_output::standard_error;
};

/// Starts writing lines, one JSON object each:
/// {"time","level","event","name","program",fields...}.
void start_log(const std::string& program, log_options options);

/// Writes one event; before start_log it writes nothing.
void log(event e, const std::vector<field>& fields = {});

/// Parses "debug", "info", "warning" or "error"; throws parse_error.
severity parse_severity(const std::string& text);

} // namespace poplar::observe
