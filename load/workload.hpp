/// Workload files of poplar-load.
#pragma once

#include "base/address.hpp"
#include "base/time.hpp"
#include "settings/reader.hpp"

#include <string>
#include <vector>

namespace poplar::load
{

/// Who is called, and in which form.
enum class protocol
{
    entry, ///< Callers' HTTP of an entry.
    engine ///< The engine's own interface, for comparison.
};

enum class work_kind
{
    chat,
    call ///< A call of a plain service.
};

/// Log-normal lengths; `spread` is the standard deviation of the logarithm,
/// 0 for a constant length.
struct length_distribution
{
    double median = 0;
    double spread = 0;
};

struct work_class
{
    std::string name;
    work_kind kind = work_kind::chat;
    std::string tenant;
    std::string rank;  ///< Empty: the header is left out.
    std::string model; ///< Of chat.
    double rate = 0;   ///< Arrivals per second (Poisson); 0: see `open`.
    unsigned open = 0; ///< Requests kept open, each followed by the next.
    duration start{};  ///< From the start of the run.
    duration stop{};
    duration deadline{}; ///< Zero: the header is left out.
    duration timeout{};  ///< After this the caller gives up.
    bool stream = true;
    length_distribution prompt;
    length_distribution output;
    std::uint32_t max_tokens = 0;    ///< 0: the length of the output.
    std::uint32_t shared_prefix = 0; ///< Leading prompt tokens in common.
    std::uint32_t prefixes = 1;      ///< Different shared prefixes.
    duration first_token_target{};
    duration token_interval_target{};
    std::string service; ///< Of a call, as are those below.
    std::string method;
    std::string path;
    bool keyed = false;     ///< Sends an Idempotency-Key.
    double repeat_rate = 0; ///< Calls repeated after their answer.
    unsigned retries = 0;   ///< Attempts after a failure or refusal.
};

struct workload
{
    std::vector<ip_address> targets; ///< Used in turn.
    load::protocol protocol = protocol::entry;
    duration length{};
    duration drain{}; ///< Wait for open requests after the end.
    std::uint64_t seed = 0;
    bool check_text = true; ///< The engines are stand-ins.
    unsigned clients = 0;   ///< Client threads.
    std::vector<work_class> classes;
};

/// Throws settings_error.
workload parse_workload(settings::reader& all);

/// "entry" or "engine"; throws parse_error.
protocol parse_protocol(const std::string& text);

} // namespace poplar::load
