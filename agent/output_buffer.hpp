/// Output of one stream between the engine and the entry: what may be sent
/// within the window, and what may have to be sent again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace poplar::agent
{

enum class token_place
{
    next,
    repeated, ///< Held already; ignored.
    gap       ///< A token before it is missing.
};

/// Consecutive tokens that go out in one frame.
struct output_piece
{
    std::uint32_t offset = 0;
    std::uint32_t tokens = 0;
    std::string text;
};

class output_buffer
{
public:
    /// `first`: offset of the first token wanted. `window`: bytes that may be
    /// sent before the first grant.
    output_buffer(std::uint32_t first, std::uint32_t window);

    /// Adds a token unless it is not the next one.
    token_place add(std::uint32_t offset, std::string text);
    /// Takes tokens that the window admits, up to about `most_bytes`.
    std::optional<output_piece> take(std::size_t most_bytes);
    /// The entry has read this many bytes: they are not needed again.
    void grant(std::uint32_t bytes);
    /// Starts sending again at `offset`; false when the tokens from there on
    /// are not held.
    bool restart(std::uint32_t offset, std::uint32_t window);
    /// Forgets tokens that were never sent.
    void drop_unsent();

    /// Offset after the last token added.
    std::uint32_t end_offset() const;
    std::size_t unsent_bytes() const
    {
        return unsent_bytes_;
    }
    bool is_all_sent() const
    {
        return sent_ == tokens_.size();
    }

private:
    void drop_front();

    std::deque<std::string> tokens_; ///< Sent ones first.
    std::uint32_t first_ = 0;        ///< Offset of the front token.
    std::size_t sent_ = 0;           ///< Tokens sent and not granted.
    std::size_t unsent_bytes_ = 0;
    std::int64_t full_window_ = 0;
    std::int64_t window_ = 0;
    /// Bytes that the entry held unread when the window was set: grants for
    /// them do not concern tokens held here.
    std::int64_t foreign_bytes_ = 0;
    std::size_t granted_ = 0; ///< Part of the front token.
};

} // namespace poplar::agent
