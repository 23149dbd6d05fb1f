/// Recorded or generated work of one deployment, and its text form.
#pragma once

#include "base/error.hpp"
#include "policy/work.hpp"

#include <cstdint>
#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace poplar::replay
{

class trace_error : public error
{
public:
    using error::error;
};

/// A sort of request. Requests of one kind share a prompt prefix.
struct work_kind
{
    std::string name;
    std::size_t rank = 0;
    std::int64_t shared_prefix = 0; ///< Tokens.
    std::int64_t max_tokens = 4096;
};

struct traced_request
{
    std::int64_t at_ms = 0;
    std::size_t kind = 0;
    std::uint32_t tenant = 0;
    std::int64_t prompt = 0; ///< Tokens, shared prefix included.
    std::int64_t output = 0; ///< Tokens; the policies do not see it.
};

enum class engine_event_kind
{
    drain,    ///< No new work; comes back with `back`.
    crash,    ///< Open work is lost; comes back with `back`.
    withdraw, ///< No new work, goes away for good when empty.
    back
};

struct engine_event
{
    std::int64_t at_ms = 0;
    engine_event_kind kind = engine_event_kind::drain;
    std::size_t engine = 0;
};

/// Interval in which one kind of work exceeds what the fleet can do.
struct flood
{
    std::size_t rank = 0;
    std::int64_t from_ms = 0;
    std::int64_t to_ms = 0;
};

struct trace
{
    std::string deployment;
    std::string scenario;
    std::uint64_t seed = 0;
    std::int64_t length_ms = 0;
    std::vector<sheet::rank> ranks;
    std::vector<std::string> domains; ///< Of each engine.
    std::vector<work_kind> kinds;
    std::vector<traced_request> requests; ///< In order of time.
    std::vector<engine_event> events;     ///< In order of time.
    std::vector<flood> floods;

    std::string name() const;
};

void write_trace(std::ostream& out, const trace& t);
/// Throws trace_error with the line number.
trace read_trace(std::istream& in);

} // namespace poplar::replay
