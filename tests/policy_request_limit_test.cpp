// Guards against gateways that together exceed the request limit of an
// upstream, leave it unused, or take old news of it for new.
#include "policy/request_limit.hpp"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <numeric>
#include <rapidcheck/gtest.h>
#include <vector>

namespace poplar::policy
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr mono_time start{seconds(100)};
constexpr duration step = milliseconds(10);
constexpr std::size_t steps_in_window = 400; // 4 s

std::vector<std::string> names(std::size_t n)
{
    std::vector<std::string> all;
    all.reserve(n);
    for (std::size_t i = 0; i < n; ++i)
        all.push_back("gateway-" + std::to_string(i));
    return all;
}

/// Gateways with more requests than the limit admits, in steps of time.
class saturated_gateways
{
public:
    /// `has_news`: all learn of the limit anew in each step, as under load.
    saturated_gateways(std::size_t n, double per_second, bool has_news)
        : names_(names(n)), limits_(n), per_second_(per_second),
          has_news_(has_news)
    {
        for (request_limit& it : limits_)
            it.announce(per_second, start);
    }

    /// Advances the time by a step in which each gateway sends all that its
    /// share admits. Gateways that are not `live` send nothing and are unknown
    /// to the others.
    void advance(const std::vector<bool>& live)
    {
        now_ += step;
        std::size_t sent = 0;
        for (std::size_t i = 0; i < limits_.size(); ++i)
        {
            if (!live[i])
                continue;
            std::vector<std::string> peers;
            for (std::size_t other = 0; other < names_.size(); ++other)
                if (other != i && live[other])
                    peers.push_back(names_[other]);
            if (has_news_)
                limits_[i].apply_reported(per_second_, now_);
            limits_[i].update_share(7, names_[i], peers, now_);
            for (; limits_[i].admits(now_); ++sent)
                limits_[i].record_call(now_);
        }
        sent_.push_back(sent);
    }

    std::size_t most_in_window() const
    {
        std::size_t most = 0;
        for (std::size_t i = 0; i < sent_.size(); ++i)
        {
            const std::size_t n = std::min(steps_in_window, sent_.size() - i);
            const auto first = sent_.begin() + std::ptrdiff_t(i);
            most =
                std::max(most, std::accumulate(first, first + std::ptrdiff_t(n),
                                               std::size_t(0)));
        }
        return most;
    }
    std::size_t total() const
    {
        return std::accumulate(sent_.begin(), sent_.end(), std::size_t(0));
    }

private:
    std::vector<std::string> names_;
    std::vector<request_limit> limits_;
    double per_second_;
    bool has_news_;
    std::vector<std::size_t> sent_;
    mono_time now_ = start;
};

RC_GTEST_PROP(request_limit, is_used_and_kept_by_all_gateways_together, ())
{
    const auto n = *rc::gen::inRange<std::size_t>(1, 70);
    const double limit = *rc::gen::inRange(1, 400) / 10.0;
    const bool has_news = *rc::gen::arbitrary<bool>();
    saturated_gateways all(n, limit, has_news);
    for (std::size_t i = 0; i < 2 * steps_in_window; ++i)
        all.advance(std::vector<bool>(n, true));
    RC_ASSERT(double(all.most_in_window()) <= 1.5 * limit * 4 + 5);
    // Each new holder of a share waits for its first request.
    const double least_use = has_news ? 0.8 : 0.5;
    RC_ASSERT(double(all.total()) >= least_use * limit * 8 - 2);
}

// Shares pass to other gateways when some end; the new holders start without
// credit.
RC_GTEST_PROP(request_limit, is_kept_while_gateways_come_and_go, ())
{
    const auto n = *rc::gen::inRange<std::size_t>(2, 30);
    const double limit = *rc::gen::inRange(5, 200) / 10.0;
    saturated_gateways all(n, limit, *rc::gen::arbitrary<bool>());
    std::vector<bool> live(n, true);
    for (std::size_t i = 0; i < 3 * steps_in_window; ++i)
    {
        if (i % 100 == 99)
        {
            const auto changed = *rc::gen::inRange<std::size_t>(0, n);
            live[changed] = !live[changed];
        }
        all.advance(live);
    }
    RC_ASSERT(double(all.most_in_window()) <= 1.5 * limit * 4 + 5);
}

TEST(request_limit, admits_nothing_for_a_while_after_the_announcement)
{
    request_limit limit;
    limit.announce(4, start);
    limit.update_share(7, "a", {}, start);
    EXPECT_FALSE(limit.admits(start));
    EXPECT_EQ(limit.admits_at(start), start + milliseconds(250));
    EXPECT_TRUE(limit.admits(start + milliseconds(250)));
}

// Calls that are made whatever the limit, such as releases of KV cache, delay
// the next requests.
TEST(request_limit, counts_calls_that_it_does_not_admit)
{
    request_limit limit;
    limit.announce(4, start);
    limit.update_share(7, "a", {}, start);
    limit.record_call(start);
    EXPECT_EQ(limit.admits_at(start), start + milliseconds(500));
}

TEST(request_limit, keeps_a_small_rate_for_an_upstream_that_accepts_nothing)
{
    request_limit limit;
    limit.announce(0, start);
    limit.update_share(7, "a", {}, start);
    EXPECT_EQ(limit.admits_at(start), start + seconds(4));
}

TEST(request_limit, passes_to_other_gateways_without_news)
{
    const std::vector<std::string> peers = names(20);
    request_limit limit;
    limit.announce(1, start);
    bool had_share = false;
    for (int period = 0; period < 400; ++period)
    {
        limit.update_share(7, "a", peers, start + period * seconds(2));
        had_share = had_share || limit.share() > 0;
    }
    EXPECT_TRUE(had_share);
}

struct news_case
{
    const char* name;
    std::function<void(request_limit&)> learn;
    bool is_active;
};

class news : public testing::TestWithParam<news_case>
{
};

TEST_P(news, of_a_limit_count_in_the_order_of_their_age)
{
    request_limit limit;
    limit.announce(4, start);
    GetParam().learn(limit);
    EXPECT_EQ(limit.is_active(), GetParam().is_active);
}

INSTANTIATE_TEST_SUITE_P(
    orders, news,
    testing::Values(
        news_case{"end_in_a_later_answer",
                  [](request_limit& l)
                  { l.end(start + seconds(1), start + seconds(2)); },
                  false},
        news_case{"answer_to_a_request_sent_before",
                  [](request_limit& l)
                  { l.end(start - seconds(1), start + seconds(2)); },
                  true},
        news_case{"old_end_from_a_peer",
                  [](request_limit& l)
                  { l.apply_reported(std::nullopt, start - seconds(1)); },
                  true},
        news_case{"new_end_from_a_peer",
                  [](request_limit& l)
                  { l.apply_reported(std::nullopt, start + seconds(1)); },
                  false},
        news_case{"old_limit_from_a_peer_after_the_end",
                  [](request_limit& l)
                  {
                      l.end(start + seconds(2), start + seconds(3));
                      l.apply_reported(4, start + seconds(1));
                  },
                  false},
        news_case{"limit_that_comes_back",
                  [](request_limit& l)
                  {
                      l.end(start + seconds(1), start + seconds(2));
                      l.apply_reported(4, start + seconds(3));
                  },
                  true}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::policy
