#include "observe/log.hpp"

#include "base/error.hpp"
#include "base/time.hpp"
#include "observe/line_queue.hpp"

#include <algorithm>
#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace poplar::observe
{

namespace
{

std::atomic<bool> log_is_started{false};
std::atomic<severity> lowest_severity{severity::info};
std::string program_name;
/// Most lines are shorter.
constexpr std::size_t line_size = 512; // bytes

const char* level_name(severity level)
{
    switch (level)
    {
    case severity::debug:
        return "debug";
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "error";
}

bool is_plain(char c)
{
    return c >= 0x20 && c < 0x7f && c != '"' && c != '\\';
}

/// Most texts need no escapes; building a JSON value for each line took most
/// of the time that logging costs.
void append_text(std::string& line, std::string_view text)
{
    if (std::ranges::all_of(text, is_plain))
    {
        line += '"';
        line += text;
        line += '"';
        return;
    }
    line += nlohmann::json(text).dump(-1, ' ', false,
                                      nlohmann::json::error_handler_t::replace);
}

void append_member(std::string& line, std::string_view name,
                   std::string_view text)
{
    line += line.empty() ? '{' : ',';
    append_text(line, name);
    line += ':';
    append_text(line, text);
}

/// The present time, made into text once a second.
const std::string& present_time()
{
    thread_local std::int64_t second = -1;
    thread_local std::string text;
    const std::int64_t present = unix_seconds();
    if (present != second)
        text = utc_text(present);
    second = present;
    return text;
}

std::string make_line(const event_description& d,
                      const std::vector<field>& fields)
{
    std::string line;
    line.reserve(line_size);
    append_member(line, "time", present_time());
    append_member(line, "level", level_name(d.level));
    line += ",\"event\":" + std::to_string(static_cast<unsigned>(d.number));
    append_member(line, "name", d.name);
    append_member(line, "program", program_name);
    for (const field& f : fields)
        append_member(line, f.name, f.value);
    line += '}';
    return line;
}

/// Queues lines for standard output.
class queue_backend : public boost::log::sinks::basic_formatted_sink_backend<
                          char, boost::log::sinks::concurrent_feeding>
{
public:
    queue_backend() : lines_(options()) {}

    void consume(const boost::log::record_view& /*record*/,
                 const string_type& line)
    {
        lines_.add(line);
    }

private:
    static line_queue_options options()
    {
        line_queue_options o;
        o.dropped_line = [](std::uint64_t dropped)
        {
            return make_line(describe(event::log_lines_dropped),
                             {{"dropped", dropped}});
        };
        return o;
    }

    line_queue lines_;
};

void add_standard_output()
{
    // Made before the exit handler, so that it outlives the queue, which may
    // report dropped lines at its end.
    describe(event::log_lines_dropped);
    using sink = boost::log::sinks::unlocked_sink<queue_backend>;
    boost::log::core::get()->add_sink(boost::make_shared<sink>());
    // Ends the queue's thread, and so writes what is queued.
    std::atexit([] { boost::log::core::get()->remove_all_sinks(); });
}

} // namespace

const std::vector<event_description>& event_catalogue()
{
    static const std::vector<event_description> catalogue{
#define POPLAR_EVENT(NUMBER, NAME, SEVERITY, MEANING)                          \
    {event::NAME, #NAME, severity::SEVERITY, MEANING},
#include "observe/events.def"
#undef POPLAR_EVENT
    };
    return catalogue;
}

const event_description& describe(event e)
{
    static const auto by_number = []
    {
        std::unordered_map<event, const event_description*> all;
        for (const event_description& it : event_catalogue())
            all.emplace(it.number, &it);
        return all;
    }();
    return *by_number.at(e);
}

field::field(std::string field_name, std::string text)
    : name(std::move(field_name)), value(std::move(text))
{
}

field::field(std::string field_name, const char* text)
    : name(std::move(field_name)), value(text)
{
}

void start_log(const std::string& program, log_options options)
{
    program_name = program;
    lowest_severity = options.lowest;
    if (log_is_started.exchange(true))
        return;
    if (options.output == log_output::standard_output)
        add_standard_output();
    else
        boost::log::add_console_log(std::clog);
}

void log(event e, const std::vector<field>& fields)
{
    const event_description& d = describe(e);
    if (!log_is_started || d.level < lowest_severity)
        return;
    thread_local boost::log::sources::severity_logger<severity> logger;
    auto record = logger.open_record(boost::log::keywords::severity = d.level);
    if (!record)
        return;
    boost::log::record_ostream out(record);
    out << make_line(d, fields);
    out.flush();
    logger.push_record(std::move(record));
}

severity parse_severity(const std::string& text)
{
    if (text == "debug")
        return severity::debug;
    if (text == "info")
        return severity::info;
    if (text == "warning")
        return severity::warning;
    if (text == "error")
        return severity::error;
    throw parse_error("not a log level: " + text);
}

} // namespace poplar::observe
