/// Whole events of a server-sent event stream, across runs that resume it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplar::gateway
{

/// Takes the bytes of one run after another. Gives whole events only, each
/// once and in the order of their ids: an upstream may stop in the middle of
/// an event, and the run that resumes makes that event again.
class event_stream
{
public:
    /// Appends bytes of the present run; returns the events that are complete.
    std::string append(std::string_view bytes);
    /// Drops an incomplete event; the next bytes belong to another run.
    void restart();

    bool has_partial_event() const
    {
        return !partial_.empty();
    }
    /// Bytes after the last whole event.
    const std::string& partial_event() const
    {
        return partial_;
    }
    /// Id of the last event given out.
    std::optional<std::uint64_t> last_id() const
    {
        return last_id_;
    }
    /// Sets the id after which events count, for a caller that resumes.
    void resume_after(std::uint64_t id)
    {
        last_id_ = id;
    }

private:
    std::string partial_;
    std::optional<std::uint64_t> last_id_;
    bool resumed_ = false; ///< Events up to last_id_ are repeats.
};

} // namespace poplar::gateway
