// Guards against refusals in a flood that come late, are untrue or name no time
// to retry, and against admitted answers that end unfinished at the deadline.
#include "tests/system/flood.hpp"

namespace poplar::testing_support
{
namespace
{

/// A flood of one rank while a tenant steadily asks for another or the same.
struct refusal_case
{
    const char* rank;
    const char* steady_rank;
    double steady_part; ///< Of the capacity.
};

class flood_refusals : public testing::TestWithParam<refusal_case>
{
};

TEST_P(flood_refusals, come_at_once)
{
    cluster c(slow_engines());
    ASSERT_TRUE(c.wait_until_usable());
    flood f(c);
    std::vector<source> sources = flood_of(GetParam().rank);
    sources.push_back({"consorzio", GetParam().steady_rank,
                       GetParam().steady_part * capacity_requests_per_s});
    f.run(sources, flood_time);
    f.expect_prompt_refusals();
}

INSTANTIATE_TEST_SUITE_P(ranks, flood_refusals,
                         testing::Values(refusal_case{"later", "urgent", 0.25},
                                         refusal_case{"urgent", "later", 1},
                                         refusal_case{"urgent", "urgent", 0.25},
                                         refusal_case{"later", "later", 0.25}));

} // namespace
} // namespace poplar::testing_support
