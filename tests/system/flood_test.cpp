// Guards against floods of one rank or tenant that take the service of the
// others.
#include "tests/system/flood.hpp"

namespace poplar::testing_support
{
namespace
{

TEST(flood_of_the_least_urgent, leaves_urgent_requests_their_target)
{
    cluster c(slow_engines());
    ASSERT_TRUE(c.wait_until_usable());
    flood f(c);
    std::vector<source> sources = flood_of("later");
    sources.push_back({"consorzio", "urgent", capacity_requests_per_s / 4});
    f.run(sources, flood_time);
    const auto urgent = f.of_rank("urgent");
    const auto in_time = std::ranges::count_if(
        urgent,
        [](const sent_request& r)
        {
            return r.is_served() &&
                   r.result.first_text - r.sent <= urgent_first_token_target;
        });
    EXPECT_GE(static_cast<double>(in_time),
              target_part * static_cast<double>(urgent.size()))
        << in_time << " of " << urgent.size() << ", served "
        << count_served(urgent);
}

// The guaranteed share is one of served tokens. Answers in flight at the ends
// of the run count for one side only: the tolerance is one answer per slot.
TEST(flood_of_the_most_urgent, leaves_the_least_urgent_its_share)
{
    cluster c(slow_engines());
    ASSERT_TRUE(c.wait_until_usable());
    flood f(c);
    std::vector<source> sources = flood_of("urgent");
    // More than the share, so that the rank always has work waiting.
    sources.push_back({"consorzio", "later", capacity_requests_per_s});
    f.run(sources, flood_time);
    const auto later = static_cast<double>(count_served(f.of_rank("later")));
    const auto all =
        later + static_cast<double>(count_served(f.of_rank("urgent")));
    EXPECT_GE(later, later_share * all - slots)
        << later << " of " << all << " answers";
}

// The other tenant asks for less than half of the capacity, its fair part.
class flood_of_one_tenant : public testing::TestWithParam<const char*>
{
};

TEST_P(flood_of_one_tenant, does_not_starve_another_of_its_rank)
{
    cluster c(slow_engines());
    ASSERT_TRUE(c.wait_until_usable());
    flood f(c);
    f.run({{"blurbs", GetParam(), 10 * capacity_requests_per_s},
           {"press", GetParam(), capacity_requests_per_s / 4}},
          flood_time);
    const auto press = f.of_tenant("press");
    EXPECT_GE(static_cast<double>(count_served(press)),
              target_part * static_cast<double>(press.size()))
        << count_served(press) << " of " << press.size();
}

INSTANTIATE_TEST_SUITE_P(ranks, flood_of_one_tenant,
                         testing::Values("urgent", "later"));

} // namespace
} // namespace poplar::testing_support
