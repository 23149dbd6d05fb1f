/// Work, engine speed and unit conversions used by all policy modules. Cost is
/// measured in engine seconds: the time that one engine takes for the work.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "base/units.hpp"
#include "sheet/sheet.hpp"

#include <chrono>
#include <cstdint>

namespace poplar::policy
{

/// Work of one or more requests, in tokens.
struct work
{
    token_count prompt; ///< Prompt tokens to prefill, excluding cached ones.
    token_count output; ///< Expected output tokens.

    work& operator+=(const work& other)
    {
        prompt += other.prompt;
        output += other.output;
        return *this;
    }
    auto operator<=>(const work&) const = default;
};

/// Throughput of one engine. Mixed and decode engines also prefill prompts, in
/// a fraction of their time.
struct engine_speed
{
    /// Prompt tokens per second of an engine that only prefills.
    double prefill_tokens_per_second = 10000;
    /// Output tokens per second of all streams of an engine that decodes
    /// `max_streams` streams.
    double decode_tokens_per_second = 2000;
    /// Maximum number of concurrent streams that meet the token interval
    /// target.
    unsigned max_streams = 48;
    /// Fraction of a mixed or decode engine's time that prefill may use.
    double shared_prefill_fraction = 0.3;
    /// Prefill rate during that time, relative to a prefill engine. It is below
    /// 1 because small chunks between decode steps are less efficient.
    double shared_prefill_efficiency = 0.7;

    /// Output tokens per second of one stream when `max_streams` streams run.
    double stream_rate() const
    {
        return decode_tokens_per_second / std::max(1U, max_streams);
    }

    /// Prompt tokens per second that a mixed or decode engine prefills while it
    /// decodes.
    double shared_prefill_rate() const
    {
        return prefill_tokens_per_second * shared_prefill_fraction *
               shared_prefill_efficiency;
    }
};

inline double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

inline duration from_seconds(double s)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(s));
}

/// Returns the engine time that the work takes, in seconds. It is the common
/// measure of prompt and output tokens.
inline double engine_seconds(const work& w, const engine_speed& speed)
{
    return static_cast<double>(w.prompt.value) /
               speed.prefill_tokens_per_second +
           static_cast<double>(w.output.value) / speed.decode_tokens_per_second;
}

/// Tells whether engines of this role prefill prompts and run no streams.
inline bool is_prefill_only(sheet::engine_role role)
{
    return role == sheet::engine_role::prefill;
}

/// Tells whether engines of this role run streams. They also prefill prompts
/// that are not sent to prefill engines.
inline bool can_decode(sheet::engine_role role)
{
    return role == sheet::engine_role::decode ||
           role == sheet::engine_role::mixed;
}

} // namespace poplar::policy
