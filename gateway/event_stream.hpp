/// Splits a server-sent event stream into events, across upstream calls that
/// resume it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplar::gateway
{

/// Returns only complete events from the bytes of successive upstream calls. An
/// upstream may stop in the middle of an event; the resuming call sends it
/// again. After `restart`, events with ids up to `last_id` are dropped.
class event_stream
{
public:
    /// Appends bytes of the current call; returns the events completed by them.
    std::string append(std::string_view bytes);
    /// Drops an incomplete event; the next bytes come from another call.
    void restart();

    bool has_partial_event() const
    {
        return !partial_.empty();
    }
    /// Whether an event without id came after `restart`, which is no event of
    /// the stream that is resumed; it and all that follows is dropped.
    bool has_foreign_event() const
    {
        return has_foreign_event_;
    }
    /// Whether the current call has sent no event yet.
    bool awaits_event() const
    {
        return !has_event_;
    }
    /// Bytes after the last complete event.
    const std::string& partial_event() const
    {
        return partial_;
    }
    /// Id of the last event returned by `append`.
    std::optional<std::uint64_t> last_id() const
    {
        return last_id_;
    }
    /// Sets the id of the last event that a resuming caller already has.
    void resume_after(std::uint64_t id)
    {
        last_id_ = id;
    }

private:
    std::string partial_;
    std::optional<std::uint64_t> last_id_;
    bool resumed_ = false; ///< Events up to last_id_ are duplicates.
    /// Another call has sent events with ids before.
    bool is_continuation_ = false;
    bool has_event_ = false; ///< Since the last `restart`.
    bool has_foreign_event_ = false;
};

} // namespace poplar::gateway
