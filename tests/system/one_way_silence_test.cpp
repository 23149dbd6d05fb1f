// Guards against answers that stay unfinished while the bytes of one direction
// between entries and an agent vanish.
#include "tests/system/cluster.hpp"

#include <gtest/gtest.h>
#include <vector>

namespace poplar::testing_support
{
namespace
{

constexpr unsigned streams = 24;

// Connections stay open; new ones fail in the same way until the fault ends.
class one_way_silence : public testing::TestWithParam<relay_faults>
{
};

TEST_P(one_way_silence, every_caller_gets_its_whole_answer)
{
    cluster c(
        {.entries = 2, .engines = 3, .services = 0, .relay_agents = true});
    ASSERT_TRUE(c.wait_until_usable());
    caller callers(c);
    chat_request request;
    request.max_tokens = 1500;
    std::vector<caller::handle> handles(streams);
    for (std::size_t i = 0; i < streams; ++i)
        handles[i] = callers.send(c.entries[i % 2], request);
    ASSERT_TRUE(wait_for(
        [&]
        {
            for (const caller::handle h : handles)
                if (callers.peek(h).text.empty())
                    return false;
            return true;
        }));
    c.engines[0].agent_relay->set_faults(GetParam());
    for (const caller::handle h : handles)
    {
        const chat_result r = callers.wait(h);
        EXPECT_EQ(r.status, 200U);
        EXPECT_TRUE(r.has_done && r.text == expected_text(request))
            << r.error_type << ", " << r.text.size() << " bytes";
    }
    c.engines[0].agent_relay->set_faults({});
    EXPECT_TRUE(c.wait_until_usable());
}

INSTANTIATE_TEST_SUITE_P(directions, one_way_silence,
                         testing::Values(relay_faults{.drop_to_target = true},
                                         relay_faults{.drop_to_client = true}));

} // namespace
} // namespace poplar::testing_support
