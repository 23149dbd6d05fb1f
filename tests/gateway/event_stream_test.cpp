// Guards against missing, duplicate or truncated events when an upstream call
// ends early and another one resumes the stream.
#include "gateway/event_stream.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace poplar::gateway
{
namespace
{

std::string event_text(unsigned id)
{
    return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) +
           "\n\n";
}

std::string events_text(unsigned first, unsigned last)
{
    std::string text;
    for (unsigned id = first; id <= last; ++id)
        text += event_text(id);
    return text;
}

struct piece_case
{
    const char* name;
    std::vector<std::string> pieces;
    std::string given;
    std::string partial;
};

class event_pieces : public testing::TestWithParam<piece_case>
{
};

TEST_P(event_pieces, gives_whole_events_only)
{
    event_stream s;
    std::string given;
    for (const std::string& it : GetParam().pieces)
        given += s.append(it);
    EXPECT_EQ(given, GetParam().given);
    EXPECT_EQ(s.partial_event(), GetParam().partial);
}

INSTANTIATE_TEST_SUITE_P(
    pieces, event_pieces,
    testing::Values(piece_case{"nothing", {}, "", ""},
                    piece_case{"one", {"id: 1\n\n"}, "id: 1\n\n", ""},
                    piece_case{"cut_line", {"id: 1\nda"}, "", "id: 1\nda"},
                    piece_case{"cut_end",
                               {"id: 1\ndata: a\n", "\n"},
                               "id: 1\ndata: a\n\n",
                               ""},
                    piece_case{"carriage_returns",
                               {"id: 1\r\ndata: a\r\n\r\n"},
                               "id: 1\r\ndata: a\r\n\r\n",
                               ""},
                    piece_case{"two_and_a_part",
                               {"id: 1\n\nid: 2\n\nid"},
                               "id: 1\n\nid: 2\n\n",
                               "id"}),
    [](const auto& it) { return it.param.name; });

TEST(event_stream, drops_events_that_a_resumed_run_repeats)
{
    event_stream s;
    std::string given = s.append(events_text(1, 3) + "id: 4\nda");
    s.restart();
    given += s.append(events_text(3, 5));
    EXPECT_EQ(given, events_text(1, 5));
    EXPECT_EQ(s.last_id(), 5U);
}

struct foreign_case
{
    const char* name;
    std::string begun;   ///< Sent before the stream broke off.
    std::string resumed; ///< Sent by the next call.
    std::string given;
    bool is_foreign;
};

class foreign_events : public testing::TestWithParam<foreign_case>
{
};

TEST_P(foreign_events, are_not_taken_into_a_resumed_stream)
{
    event_stream s;
    std::string given = s.append(GetParam().begun);
    s.restart();
    EXPECT_TRUE(s.awaits_event());
    given += s.append(GetParam().resumed);
    given += s.append("id: 9\n\n");
    EXPECT_EQ(given,
              GetParam().given + (GetParam().is_foreign ? "" : "id: 9\n\n"));
    EXPECT_EQ(s.has_foreign_event(), GetParam().is_foreign);
    s.restart();
    EXPECT_FALSE(s.has_foreign_event());
}

const std::string two = "id: 1\n\nid: 2\n\n";
const std::string head = "HTTP/1.1 500 X\r\nContent-Length: 1\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    answers, foreign_events,
    testing::Values(
        foreign_case{"head", two, head, two, true},
        foreign_case{"text", two, "failed\n\n", two, true},
        foreign_case{"data", two, "data: x\n\n", two, true},
        foreign_case{"no_number", two, "id: x\n\n", two, true},
        foreign_case{"after_an_event", two, "id: 3\n\n" + head,
                     two + "id: 3\n\n", true},
        foreign_case{"comment", two, ": x\n\n", two + ": x\n\n", false},
        foreign_case{"version_first", two, "weights: 3\nid: 3\n\n",
                     two + "weights: 3\nid: 3\n\n", false},
        foreign_case{"not_begun", "", "data: x\n\n", "data: x\n\n", false}),
    [](const auto& it) { return it.param.name; });

RC_GTEST_PROP(event_stream, joins_runs_that_end_anywhere,
              (const std::vector<unsigned>& cuts))
{
    constexpr unsigned last = 12;
    event_stream s;
    std::string given;
    for (const unsigned cut : cuts)
    {
        const unsigned next = unsigned(s.last_id().value_or(0)) + 1;
        const std::string run = events_text(next, last);
        const std::size_t taken = run.empty() ? 0 : cut % run.size();
        const std::size_t middle = taken / 2;
        given += s.append(run.substr(0, middle));
        given += s.append(run.substr(middle, taken - middle));
        s.restart();
    }
    given += s.append(events_text(unsigned(s.last_id().value_or(0)) + 1, last));
    RC_ASSERT(given == events_text(1, last));
    RC_ASSERT(!s.has_partial_event());
}

} // namespace
} // namespace poplar::gateway
