// Guards against bookings that run twice and against answers that hide that
// one ran, when entries, agents, connections and the platform fail.
#include "tests/system/cluster.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <gtest/gtest.h>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace poplar::testing_support
{
namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

/// Callers that repeat a booking at another entry until it is answered.
class bookings
{
public:
    explicit bookings(cluster& c) : cluster_(c) {}

    ~bookings()
    {
        stop();
    }

    void start(unsigned callers)
    {
        for (unsigned i = 0; i < callers; ++i)
            threads_.emplace_back([this, i] { run(i); });
    }

    void stop()
    {
        is_stopping_ = true;
        for (std::thread& t : threads_)
            t.join();
        threads_.clear();
    }

    std::size_t confirmed() const
    {
        const std::lock_guard lock(mutex_);
        return done_.size();
    }

    /// Compares the answers with the executions counted at the services.
    void expect_at_most_once()
    {
        std::map<std::string, int> runs;
        for (const upstream_slot& slot : cluster_.services)
        {
            const json counters = cluster_.counters(slot);
            for (const auto& [key, n] : counters.at("executions").items())
                runs[key] += n.get<int>();
        }
        const std::lock_guard lock(mutex_);
        for (const auto& [key, n] : runs)
            EXPECT_LE(n, 1) << key;
        for (const std::string& key : done_)
            EXPECT_EQ(runs[key], 1) << key << " was confirmed";
        for (const std::string& key : not_run_)
            EXPECT_TRUE(runs[key] == 0 || done_.contains(key) ||
                        unknown_.contains(key))
                << key << " ran after \"not run\" was the last answer";
        EXPECT_EQ(false_not_run_, 0U);
    }

private:
    bool has_run(const std::string& key)
    {
        return std::ranges::any_of(
            cluster_.services,
            [&](const upstream_slot& slot)
            {
                const json counters = cluster_.counters(slot);
                return !counters.is_null() &&
                       counters.at("executions").contains(key);
            });
    }

    /// One booking, asked for again until there is a definite answer.
    void book(const std::string& key, std::minstd_rand& random)
    {
        for (unsigned attempt = 0; attempt < 200 && !is_stopping_; ++attempt)
        {
            const entry_slot& to =
                cluster_.entries[random() % cluster_.entries.size()];
            const service_result r = call_service(
                cluster_, to, "POST", "/bookings", key, "barn " + key, 3s);
            if (r.ran == "no" && has_run(key))
                ++false_not_run_;
            const std::lock_guard lock(mutex_);
            if (r.status == 200)
            {
                done_.insert(key);
                return;
            }
            (r.ran == "no" ? not_run_ : unknown_).insert(key);
            if (r.failure != net::client_failure::none)
                unknown_.insert(key);
            std::this_thread::sleep_for(50ms);
        }
    }

    void run(unsigned caller)
    {
        std::minstd_rand random(caller + 1);
        for (unsigned n = 0; !is_stopping_; ++n)
            book("c" + std::to_string(caller) + "-" + std::to_string(n),
                 random);
    }

    cluster& cluster_;
    std::atomic<bool> is_stopping_{false};
    std::atomic<unsigned> false_not_run_{0};
    mutable std::mutex mutex_;
    std::set<std::string> done_;
    std::set<std::string> not_run_;
    std::set<std::string> unknown_;
    std::vector<std::thread> threads_;
};

enum class fault
{
    none,
    agent_killed,
    agent_paused,
    agent_replaced_while_paused,
    entry_killed,
    connections_silent,
    platform_down,
    write_answers_lost,
    agent_killed_and_write_answers_lost,
    agent_killed_and_platform_down,
    service_closes_without_answer,
    agent_terminated
};

constexpr std::array names{"none",
                           "agent_killed",
                           "agent_paused",
                           "agent_replaced_while_paused",
                           "entry_killed",
                           "connections_silent",
                           "platform_down",
                           "write_answers_lost",
                           "agent_killed_and_write_answers_lost",
                           "agent_killed_and_platform_down",
                           "service_closes_without_answer",
                           "agent_terminated"};

/// Restarts what a fault ended, as the platform would.
void restart_agent(cluster& c, upstream_slot& slot)
{
    slot.agent->kill();
    c.replace_agent(slot);
}

void inject(cluster& c, fault f)
{
    upstream_slot& slot = c.services[0];
    switch (f)
    {
    case fault::none:
        return;
    case fault::agent_killed:
        return restart_agent(c, slot);
    case fault::agent_paused:
        slot.agent->pause();
        std::this_thread::sleep_for(4s);
        return slot.agent->proceed();
    case fault::agent_replaced_while_paused:
    {
        slot.agent->pause();
        const auto old = c.replace_agent(slot);
        std::this_thread::sleep_for(3s);
        old->proceed();
        std::this_thread::sleep_for(2s);
        return old->kill();
    }
    case fault::entry_killed:
        c.entries[0].process->kill();
        return c.start_entry(c.entries[0]);
    case fault::connections_silent:
        for (upstream_slot& it : c.services)
            it.agent_relay->silence_open_connections();
        return;
    case fault::platform_down:
        c.platform_faults({{"outage", true}});
        std::this_thread::sleep_for(3s);
        return c.platform_faults({{"outage", false}});
    case fault::write_answers_lost:
        return c.platform_faults({{"lose_answers", 20}});
    case fault::agent_killed_and_write_answers_lost:
        inject(c, fault::write_answers_lost);
        return inject(c, fault::agent_killed);
    case fault::agent_killed_and_platform_down:
        c.platform_faults({{"outage", true}});
        slot.agent->kill();
        std::this_thread::sleep_for(3s);
        c.platform_faults({{"outage", false}});
        c.replace_agent(slot);
        return;
    case fault::service_closes_without_answer:
        return c.upstream_faults(slot, {{"close_next", 5}});
    case fault::agent_terminated:
        slot.agent->terminate();
        EXPECT_EQ(slot.agent->wait(20s), 0);
        c.replace_agent(slot);
        return;
    }
}

class once_faults : public testing::TestWithParam<fault>
{
};

TEST_P(once_faults, a_booking_runs_at_most_once)
{
    // Slow enough that many calls are at the services when the fault comes.
    cluster c({.entries = 2,
               .engines = 0,
               .services = 3,
               .relay_agents = true,
               .service_settings = "delay = \"100ms\"\n"});
    ASSERT_TRUE(c.wait_until_usable());
    bookings all(c);
    all.start(24);
    ASSERT_TRUE(wait_for([&] { return all.confirmed() > 50; }));
    inject(c, GetParam());
    // Bookings go on after the fault.
    const std::size_t before = all.confirmed();
    EXPECT_TRUE(wait_for([&] { return all.confirmed() > before + 50; }));
    all.stop();
    all.expect_at_most_once();
}

INSTANTIATE_TEST_SUITE_P(
    table, once_faults,
    testing::Values(fault::none, fault::agent_killed, fault::agent_paused,
                    fault::agent_replaced_while_paused, fault::entry_killed,
                    fault::connections_silent, fault::platform_down,
                    fault::write_answers_lost,
                    fault::agent_killed_and_write_answers_lost,
                    fault::agent_killed_and_platform_down,
                    fault::service_closes_without_answer,
                    fault::agent_terminated),
    [](const testing::TestParamInfo<fault>& info)
    { return std::string(names.at(static_cast<std::size_t>(info.param))); });

TEST(once, a_repeat_at_another_entry_gets_the_first_answer)
{
    cluster c({.entries = 2, .engines = 0, .services = 2});
    ASSERT_TRUE(c.wait_until_usable());
    const service_result first =
        call_service(c, c.entries[0], "POST", "/payments", "p1", "100");
    const service_result again =
        call_service(c, c.entries[1], "POST", "/payments", "p1", "100");
    EXPECT_EQ(first.status, 200U);
    EXPECT_EQ(again.body, first.body);
    EXPECT_EQ(
        call_service(c, c.entries[1], "POST", "/payments", "p1", "200").status,
        422U);
}

TEST(once, another_spelling_of_the_path_does_not_run_it_again)
{
    cluster c({.entries = 1, .engines = 0, .services = 2});
    ASSERT_TRUE(c.wait_until_usable());
    EXPECT_EQ(
        call_service(c, c.entries[0], "POST", "/bookings", "k1", "barn").status,
        200U);
    for (const char* path : {"/bookings/", "//bookings", "/b%6Fokings"})
        EXPECT_EQ(
            call_service(c, c.entries[0], "POST", path, "k1", "barn").status,
            422U)
            << path;
    unsigned runs = 0;
    for (const upstream_slot& slot : c.services)
        runs += c.counters(slot).at("executions").value("k1", 0U);
    EXPECT_EQ(runs, 1U);
}

TEST(once, a_call_without_a_key_is_refused_and_not_run)
{
    cluster c({.entries = 1, .engines = 0, .services = 1});
    ASSERT_TRUE(c.wait_until_usable());
    const service_result r =
        call_service(c, c.entries[0], "POST", "/bookings", "", "barn");
    EXPECT_EQ(r.status, 400U);
    EXPECT_EQ(r.ran, "no");
    EXPECT_EQ(c.counters(c.services[0]).at("calls"), 0);
}

// During an outage nothing new runs, and known answers are still given.
TEST(once, an_outage_refuses_new_bookings_at_once)
{
    cluster c({.entries = 1, .engines = 0, .services = 1});
    ASSERT_TRUE(c.wait_until_usable());
    call_service(c, c.entries[0], "POST", "/bookings", "k1", "barn");
    c.platform_faults({{"outage", true}});
    EXPECT_EQ(
        call_service(c, c.entries[0], "POST", "/bookings", "k1", "barn").status,
        200U);
    const mono_time begin = now();
    const service_result r =
        call_service(c, c.entries[0], "POST", "/bookings", "k2", "barn", 30s);
    EXPECT_EQ(r.status, 503U) << r.body;
    EXPECT_EQ(r.ran, "unknown");
    EXPECT_FALSE(r.retry_after.empty());
    EXPECT_LT(now() - begin, 10s) << "the refusal was held back";
    EXPECT_FALSE(c.counters(c.services[0]).at("executions").contains("k2"));
}

} // namespace
} // namespace poplar::testing_support
