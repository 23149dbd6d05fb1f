#include "agent/output_buffer.hpp"

#include <algorithm>

namespace poplar::agent
{

namespace
{

/// Window of every stream, see docs/design.md; a smaller one in a message
/// means that the entry holds the rest unread.
constexpr std::int64_t normal_window = 64 << 10;

} // namespace

output_buffer::output_buffer(std::uint32_t first, std::uint32_t window)
    : first_(first),
      full_window_(std::max<std::int64_t>(normal_window, window)),
      window_(window), foreign_bytes_(full_window_ - window)
{
}

token_place output_buffer::add(std::uint32_t offset, std::string text)
{
    if (offset < end_offset())
        return token_place::repeated;
    if (offset > end_offset())
        return token_place::gap;
    unsent_bytes_ += text.size();
    tokens_.push_back(std::move(text));
    return token_place::next;
}

std::optional<output_piece> output_buffer::take(std::size_t most_bytes)
{
    output_piece piece;
    piece.offset = first_ + static_cast<std::uint32_t>(sent_);
    while (!is_all_sent() && piece.text.size() < most_bytes)
    {
        const std::string& next = tokens_[sent_];
        const auto size = static_cast<std::int64_t>(next.size());
        // A token larger than the window goes out alone, or it never would.
        if (size > window_ && window_ < full_window_)
            break;
        window_ -= size;
        unsent_bytes_ -= next.size();
        piece.text += next;
        ++piece.tokens;
        ++sent_;
    }
    if (piece.tokens == 0)
        return std::nullopt;
    return piece;
}

void output_buffer::grant(std::uint32_t bytes)
{
    window_ = std::min(window_ + bytes, full_window_);
    const auto foreign = std::min<std::int64_t>(foreign_bytes_, bytes);
    foreign_bytes_ -= foreign;
    granted_ += bytes - static_cast<std::size_t>(foreign);
    while (sent_ > 0 && granted_ > 0 && tokens_.front().size() <= granted_)
    {
        granted_ -= tokens_.front().size();
        drop_front();
    }
    if (sent_ == 0)
        granted_ = 0;
}

bool output_buffer::restart(std::uint32_t offset, std::uint32_t window)
{
    if (offset < first_ || offset > end_offset())
        return false;
    while (first_ < offset)
    {
        if (sent_ == 0)
        {
            unsent_bytes_ -= tokens_.front().size();
            sent_ = 1;
        }
        drop_front();
    }
    for (std::size_t i = 0; i < sent_; ++i)
        unsent_bytes_ += tokens_[i].size();
    sent_ = 0;
    granted_ = 0;
    full_window_ = std::max<std::int64_t>(full_window_, window);
    window_ = window;
    foreign_bytes_ = full_window_ - window;
    return true;
}

void output_buffer::drop_unsent()
{
    tokens_.resize(sent_);
    unsent_bytes_ = 0;
}

std::uint32_t output_buffer::end_offset() const
{
    return first_ + static_cast<std::uint32_t>(tokens_.size());
}

void output_buffer::drop_front()
{
    tokens_.pop_front();
    ++first_;
    --sent_;
}

} // namespace poplar::agent
