// Guards against fleets in which no gateway watches the store, and against
// gateways that keep relying on a leader that has stopped.
#include "gateway/watch_sharing.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>
#include <vector>

namespace poplar::gateway
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration confirmation_timeout = seconds(3);
constexpr std::uint64_t topic = 7;

TEST(watch_sharing, leads_alone)
{
    EXPECT_TRUE(watch_sharing("a", topic, confirmation_timeout).is_leader());
}

// Every group of gateways that receive each other's reports has exactly
// `leader_count` leaders, or all of its members if it is smaller.
RC_GTEST_PROP(watch_sharing_groups, have_their_leaders,
              (const std::set<std::string>& names))
{
    RC_PRE(!names.empty());
    std::ptrdiff_t leaders = 0;
    for (const std::string& self : names)
    {
        watch_sharing w(self, topic, confirmation_timeout);
        for (const std::string& other : names)
            if (other != self)
                w.update_peer(other, milliseconds(100), mono_time(seconds(1)));
        leaders += w.is_leader() ? 1 : 0;
    }
    RC_ASSERT(leaders == std::min(watch_sharing::leader_count,
                                  std::ptrdiff_t(names.size())));
}

struct lost_leader_case
{
    const char* name;
    bool is_silent; ///< Sends no reports; otherwise its state is too old.
};

class lost_leader : public testing::TestWithParam<lost_leader_case>
{
};

TEST_P(lost_leader, is_replaced)
{
    const std::vector<std::string> names{"a", "b", "c", "d"};
    for (const std::string& self : names)
    {
        watch_sharing w(self, topic, confirmation_timeout);
        for (const std::string& other : names)
            if (other != self)
                w.update_peer(other, milliseconds(100), mono_time(seconds(1)));
        if (GetParam().is_silent)
            w.expire(mono_time(seconds(2)));
        else
            for (const std::string& other : names)
                w.update_peer(other, confirmation_timeout,
                              mono_time(seconds(2)));
        EXPECT_TRUE(w.is_leader()) << self;
    }
}

INSTANTIATE_TEST_SUITE_P(ways, lost_leader,
                         testing::Values(lost_leader_case{"silent", true},
                                         lost_leader_case{"cut_from_store",
                                                          false}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::gateway
