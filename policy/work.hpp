/// Quantities that all decision modules share.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "base/units.hpp"
#include "sheet/sheet.hpp"

#include <chrono>
#include <cstdint>

namespace poplar::policy
{

/// Work of one request or of many, in tokens.
struct work
{
    token_count prompt; ///< Prompt tokens to compute, cached ones excluded.
    token_count output; ///< Expected output tokens.

    work& operator+=(const work& other)
    {
        prompt += other.prompt;
        output += other.output;
        return *this;
    }
    auto operator<=>(const work&) const = default;
};

/// What one engine can do. Mixed and decode engines also compute prompts.
struct engine_speed
{
    double prefill_tokens_per_second = 10000;
    /// Sum over all streams of an engine at `max_streams`.
    double decode_tokens_per_second = 2000;
    /// Concurrent streams at which the token interval target is still met.
    unsigned max_streams = 48;
    /// Part of a mixed or decode engine's time that prompts may take.
    double shared_prefill_fraction = 0.3;
    /// Prompt tokens computed in that time, relative to a prefill engine:
    /// small chunks between decoding steps are less efficient.
    double shared_prefill_efficiency = 0.7;

    /// Output tokens per second of one stream beside `max_streams` others.
    double stream_rate() const
    {
        return decode_tokens_per_second / std::max(1U, max_streams);
    }

    /// Prompt tokens per second of a mixed or decode engine beside decoding.
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

/// Engine time of some work in seconds: the common measure of prompt and
/// output tokens.
inline double engine_seconds(const work& w, const engine_speed& speed)
{
    return static_cast<double>(w.prompt.value) /
               speed.prefill_tokens_per_second +
           static_cast<double>(w.output.value) / speed.decode_tokens_per_second;
}

/// Takes long prompts only, or streams (and the short prompts before them).
inline bool is_prefill_only(sheet::engine_role role)
{
    return role == sheet::engine_role::prefill;
}

inline bool can_decode(sheet::engine_role role)
{
    return role == sheet::engine_role::decode ||
           role == sheet::engine_role::mixed;
}

} // namespace poplar::policy
