// Guards against tokens lost, repeated or sent beyond the window when an entry
// attaches again at any point.
#include "agent/output_buffer.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace poplar::agent
{
namespace
{

constexpr std::uint32_t window = 64 << 10;

std::string token(std::uint32_t i)
{
    return std::string(i % 5 * 3000, static_cast<char>('a' + i % 26));
}

/// The entry's side: what it received and has not granted yet.
struct entry_side
{
    std::uint32_t next = 0;
    std::size_t unread = 0;

    void take(const output_piece& piece)
    {
        RC_ASSERT(piece.offset == next);
        std::string expected;
        for (std::uint32_t i = 0; i < piece.tokens; ++i)
            expected += token(next + i);
        RC_ASSERT(piece.text == expected);
        next += piece.tokens;
        unread += piece.text.size();
        RC_ASSERT(unread <= window);
    }
};

RC_GTEST_PROP(output_buffer, loses_and_repeats_nothing, ())
{
    output_buffer buf(0, window);
    entry_side entry;
    std::uint32_t added = 0;
    const auto length = *rc::gen::inRange(1, 200);
    for (int i = 0; i < length; ++i)
    {
        const auto n = *rc::gen::inRange(0U, 8U);
        if (n < 4)
            RC_ASSERT(buf.add(added, token(added)) == token_place::next);
        added += n < 4 ? 1 : 0;
        if (n == 4 && entry.unread > 0)
        {
            const auto read =
                *rc::gen::inRange<std::size_t>(1, entry.unread + 1);
            entry.unread -= read;
            buf.grant(static_cast<std::uint32_t>(read));
        }
        if (n == 5)
            RC_ASSERT(buf.restart(
                entry.next, static_cast<std::uint32_t>(window - entry.unread)));
        if (n == 6)
            if (const auto lost = buf.take(16 << 10))
                RC_ASSERT(buf.restart(entry.next, static_cast<std::uint32_t>(
                                                      window - entry.unread)));
        if (n == 7)
            if (const auto piece = buf.take(16 << 10))
                entry.take(*piece);
    }
    while (entry.next < added)
    {
        buf.grant(static_cast<std::uint32_t>(entry.unread));
        entry.unread = 0;
        const auto piece = buf.take(16 << 10);
        RC_ASSERT(piece.has_value());
        entry.take(*piece);
    }
    RC_ASSERT(buf.is_all_sent());
    RC_ASSERT(buf.unsent_bytes() == 0U);
}

TEST(output_buffer, tells_repeated_tokens_from_gaps)
{
    output_buffer buf(5, window);
    EXPECT_EQ(buf.add(4, "x"), token_place::repeated);
    EXPECT_EQ(buf.add(6, "x"), token_place::gap);
    EXPECT_EQ(buf.add(5, "x"), token_place::next);
}

TEST(output_buffer, refuses_offsets_that_are_not_held)
{
    output_buffer buf(0, window);
    buf.add(0, "abc");
    buf.add(1, "def");
    buf.take(100);
    buf.grant(3);
    EXPECT_FALSE(buf.restart(0, window));
    EXPECT_FALSE(buf.restart(3, window));
    EXPECT_TRUE(buf.restart(1, window));
    EXPECT_EQ(buf.take(100)->text, "def");
}

TEST(output_buffer, sends_a_token_larger_than_the_window)
{
    output_buffer buf(0, window);
    buf.add(0, std::string(window + 1, 'x'));
    EXPECT_TRUE(buf.take(100));
    buf.add(1, "y");
    EXPECT_FALSE(buf.take(100));
}

} // namespace
} // namespace poplar::agent
