/// The answer to one chat request as the caller receives it.
#pragma once

#include "entry/chat_request.hpp"
#include "net/http_server.hpp"

#include <cstddef>
#include <string>

namespace poplar::entry
{

/// Not safe for use by several threads at once. Holds at most the text that
/// the stream's window allows, plus `buffer_bytes` in the HTTP server.
class chat_answer
{
public:
    chat_answer(net::responder_ptr responder, chat_metadata metadata,
                bool is_stream, std::size_t buffer_bytes);

    void add_text(std::string_view text);
    /// Passes text on while the caller reads fast enough. False when text
    /// remains: call it again when the responder has drained.
    bool pump();
    /// Bytes of text passed on since the last call.
    std::size_t take_written_bytes();
    void end(const chat_usage& usage);
    void fail(const failure& f);

    /// Below this, waiting bytes have drained.
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
    std::string pending_; ///< Text not yet passed on.
    std::size_t written_bytes_ = 0;
    std::size_t unsent_bytes_ = 0; ///< As the last write returned it.
    bool has_begun_ = false;
};

} // namespace poplar::entry
