// Guards against orders of a former control owner that take effect,
// conflicting orders at one engine, and groups left without an owner.
#include "tests/system/cluster.hpp"

#include <algorithm>
#include <atomic>
#include <gtest/gtest.h>
#include <string>
#include <thread>

namespace poplar::testing_support
{
namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

/// Short times, so that a test sees several owners.
const std::string fast_control = "[control]\nlease = \"1s\"\n"
                                 "renewal = \"200ms\"\n"
                                 "takeover_stagger = \"200ms\"\n"
                                 "planning = \"200ms\"\n";

json assignments_of(cluster& c)
{
    return c.get_json(c.platform->http(), "/v1/objects/assignments/writers");
}

std::string owner_of(cluster& c)
{
    const json a = assignments_of(c);
    return a.is_null() ? "" : a.value("owner", "");
}

entry_slot* find_entry(cluster& c, const std::string& name)
{
    const auto it = std::ranges::find(c.entries, name, &entry_slot::name);
    return it == c.entries.end() ? nullptr : &*it;
}

std::string with_version(int version)
{
    return "version = \"" + std::to_string(version) +
           "\"\nroles = \"all_mixed\"\nmax_changing = 2\n";
}

std::size_t count_version(cluster& c, int version)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        c.engines,
        [&](const upstream_slot& slot)
        {
            const json s = c.get_json(slot.upstream->http(), "/v1/state");
            return !s.is_null() && s.at("version") == std::to_string(version);
        }));
}

bool all_run_version(cluster& c, int version)
{
    return count_version(c, version) == c.engines.size();
}

/// Fails when an engine took up an order that another one in progress
/// contradicted, or an order with an old fencing token.
void expect_clean_orders(cluster& c)
{
    for (const upstream_slot& slot : c.engines)
    {
        const json n = c.counters(slot);
        EXPECT_EQ(n.at("overlapping_orders"), 0) << slot.name << n;
        EXPECT_EQ(n.at("stale_executed"), 0) << slot.name << n;
    }
}

/// Assignments must not go back: neither epoch nor sheet generation.
class assignment_history
{
public:
    explicit assignment_history(cluster& c) : thread_([this, &c] { watch(c); })
    {
    }

    ~assignment_history()
    {
        is_stopping_ = true;
        thread_.join();
        EXPECT_FALSE(went_back_);
    }

private:
    void watch(cluster& c)
    {
        std::uint64_t epoch = 0;
        std::uint64_t generation = 0;
        while (!is_stopping_)
        {
            const json a = assignments_of(c);
            if (!a.is_null())
            {
                const auto e = a.at("epoch").get<std::uint64_t>();
                const auto g = a.at("sheet_generation").get<std::uint64_t>();
                went_back_ = went_back_ || e < epoch || g < generation;
                epoch = std::max(epoch, e);
                generation = std::max(generation, g);
            }
            std::this_thread::sleep_for(20ms);
        }
    }

    std::atomic<bool> is_stopping_{false};
    std::atomic<bool> went_back_{false};
    std::thread thread_;
};

struct owner_case
{
    const char* name;
    bool checks_fencing;
    bool is_paused; ///< Else killed.
};

class owner_faults : public testing::TestWithParam<owner_case>
{
};

// The owner stops in the middle of a rollout while engines have orders under
// way; a successor finishes, and the former owner comes back with old wishes.
TEST_P(owner_faults, another_owner_finishes_the_rollout)
{
    cluster c({.entries = 3,
               .engines = 3,
               .services = 0,
               .checks_fencing = GetParam().checks_fencing,
               .entry_settings = fast_control});
    ASSERT_TRUE(c.wait_until_usable());
    ASSERT_TRUE(wait_for([&] { return !owner_of(c).empty(); }));
    {
        assignment_history history(c);
        ASSERT_EQ(c.apply(c.sheet_text({}, with_version(2))).exit_code, 0);
        ASSERT_TRUE(wait_for(
            [&] {
                return assignments_of(c).dump().find("\"2\"") !=
                       std::string::npos;
            }));
        const std::string first = owner_of(c);
        entry_slot* owner = find_entry(c, first);
        ASSERT_NE(owner, nullptr);
        if (GetParam().is_paused)
            owner->process->pause();
        else
            owner->process->kill();
        ASSERT_EQ(c.apply(c.sheet_text({}, with_version(3))).exit_code, 0);
        EXPECT_TRUE(wait_for([&] { return owner_of(c) != first; }));
        EXPECT_TRUE(wait_for([&] { return all_run_version(c, 3); }));
        if (GetParam().is_paused)
        {
            owner->process->proceed();
            std::this_thread::sleep_for(2s);
        }
        EXPECT_NE(owner_of(c), first);
        EXPECT_TRUE(all_run_version(c, 3));
    }
    expect_clean_orders(c);
}

INSTANTIATE_TEST_SUITE_P(
    table, owner_faults,
    testing::Values(owner_case{"paused_fencing_checked", true, true},
                    owner_case{"paused_fencing_ignored", false, true},
                    owner_case{"killed_fencing_checked", true, false},
                    owner_case{"killed_fencing_ignored", false, false}),
    [](const testing::TestParamInfo<owner_case>& info)
    { return std::string(info.param.name); });

// The agent is replaced while its old copy is only paused.
class replaced_agent : public testing::TestWithParam<bool>
{
};

TEST_P(replaced_agent, its_old_copy_orders_nothing)
{
    cluster c({.entries = 2,
               .engines = 2,
               .services = 0,
               .checks_fencing = GetParam(),
               .entry_settings = fast_control});
    ASSERT_TRUE(c.wait_until_usable());
    upstream_slot& slot = c.engines[0];
    slot.agent->pause();
    const auto old = c.replace_agent(slot);
    ASSERT_EQ(c.apply(c.sheet_text({}, with_version(2))).exit_code, 0);
    // Without fencing the replacement waits until the old copy has gone.
    if (GetParam())
    {
        EXPECT_TRUE(wait_for([&] { return all_run_version(c, 2); }));
    }
    else
    {
        std::this_thread::sleep_for(3s);
    }
    ASSERT_EQ(c.apply(c.sheet_text({}, with_version(3))).exit_code, 0);
    old->proceed();
    std::this_thread::sleep_for(2s);
    old->kill();
    EXPECT_TRUE(wait_for([&] { return all_run_version(c, 3); }));
    expect_clean_orders(c);
}

INSTANTIATE_TEST_SUITE_P(fencing, replaced_agent, testing::Bool());

enum class engine_fault
{
    crash_during_change,
    crash_during_drain,
    platform_down_during_change
};

class change_faults : public testing::TestWithParam<engine_fault>
{
};

TEST_P(change_faults, end_as_assigned)
{
    cluster c({.entries = 2,
               .engines = 3,
               .services = 0,
               .entry_settings = fast_control});
    ASSERT_TRUE(c.wait_until_usable());
    ASSERT_EQ(c.apply(c.sheet_text({}, with_version(2))).exit_code, 0);
    ASSERT_TRUE(wait_for(
        [&]
        {
            return std::ranges::any_of(
                c.engines,
                [&](const upstream_slot& slot)
                {
                    return c.get_json(slot.upstream->http(), "/v1/state")
                        .value("changing", false);
                });
        }));
    if (GetParam() == engine_fault::platform_down_during_change)
    {
        c.platform_faults({{"outage", true}});
        std::this_thread::sleep_for(3s);
        c.platform_faults({{"outage", false}});
    }
    if (GetParam() == engine_fault::crash_during_drain)
    {
        ASSERT_EQ(c.ctl({"drain", "--operator", "test", "engine-0"}).exit_code,
                  0);
    }
    if (GetParam() != engine_fault::platform_down_during_change)
    {
        for (upstream_slot& slot : c.engines)
        {
            slot.upstream->kill();
            c.restart_upstream(slot);
        }
    }
    if (GetParam() == engine_fault::crash_during_drain)
    {
        // An engine that is drained gets no orders until it is back in use.
        EXPECT_TRUE(wait_for([&] { return count_version(c, 2) >= 2; }));
        ASSERT_EQ(
            c.ctl({"undrain", "--operator", "test", "engine-0"}).exit_code, 0);
    }
    EXPECT_TRUE(wait_for([&] { return all_run_version(c, 2); }));
    expect_clean_orders(c);
}

INSTANTIATE_TEST_SUITE_P(
    table, change_faults,
    testing::Values(engine_fault::crash_during_change,
                    engine_fault::crash_during_drain,
                    engine_fault::platform_down_during_change));

} // namespace
} // namespace poplar::testing_support
