/// Writes the answer to one chat request to the caller, streamed or as a single
/// body.
#pragma once

#include "entry/chat_request.hpp"
#include "net/http_server.hpp"

#include <cstddef>
#include <string>

namespace poplar::entry
{

/// Not thread-safe. Text waits here while the HTTP server's buffer holds
/// `buffer_bytes` or more; the stream's flow control bounds the text.
class chat_answer
{
public:
    chat_answer(net::responder_ptr responder, chat_metadata metadata,
                bool is_stream, std::size_t buffer_bytes);

    /// Adds text without writing it.
    void add_text(std::string_view text);
    /// Writes pending text if the HTTP server's buffer has capacity. Returns
    /// false if the buffer is full: call again when the responder has drained
    /// to low_water().
    bool pump();
    /// Returns the bytes of text written since the last call. Text of an answer
    /// that is not streamed counts as written when it is added.
    std::size_t take_written_bytes();
    /// Completes the answer.
    void end(const chat_usage& usage);
    /// Sends an error response, or an error event if the answer has begun.
    void fail(const failure& f);

    /// Unsent bytes below which the buffer counts as drained.
    std::size_t low_water() const
    {
        return buffer_bytes_ / 2;
    }
    net::responder& responder()
    {
        return *responder_;
    }

private:
    std::vector<net::header> headers(const char* content_type) const;
    void begin();
    void write_pending();

    net::responder_ptr responder_;
    const chat_metadata metadata_;
    const bool is_stream_;
    const std::size_t buffer_bytes_;
    std::string pending_; ///< Text not yet written.
    std::size_t written_bytes_ = 0;
    /// Bytes in the HTTP server's buffer, as returned by the last write.
    std::size_t unsent_bytes_ = 0;
    bool has_begun_ = false;
};

} // namespace poplar::entry
