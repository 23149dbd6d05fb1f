// Guards against sheets that are lost, that reach some processes late or that
// revert when operators collide and entries, connections and the platform fail.
#include "tests/system/cluster.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace poplar::testing_support
{
namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

/// Invariant 9: an accepted sheet is in force everywhere within this time.
constexpr duration in_force_limit = 4s;

/// Short times, so that every lease ends during an outage of a few seconds.
const std::string fast_control = "[control]\nlease = \"1s\"\n"
                                 "renewal = \"200ms\"\n"
                                 "takeover_stagger = \"200ms\"\n"
                                 "planning = \"200ms\"\n";

json current_sheet(cluster& c)
{
    return c.get_json(c.platform->http(), "/v1/objects/sheet/current");
}

std::uint64_t current_generation(cluster& c)
{
    return current_sheet(c).at("generation").get<std::uint64_t>();
}

std::string group_version(std::uint64_t version)
{
    return "version = \"" + std::to_string(version) +
           "\"\nroles = \"all_mixed\"\nmax_changing = 3\n";
}

/// What one poplarctl apply --json gave.
struct export_result
{
    int exit_code = -1;
    json body;
};

/// Exports of several operators; each call may run on a thread of its own.
class operators
{
public:
    explicit operators(cluster& c) : cluster_(c) {}

    export_result apply(const std::string& name, const std::string& text,
                        const std::vector<std::string>& options)
    {
        const auto file = cluster_.folder().path() /
                          (name + "-" + std::to_string(++files_) + ".toml");
        std::ofstream(file) << text;
        std::vector<std::string> all{"apply", "--json", "--operator", name};
        all.insert(all.end(), options.begin(), options.end());
        all.push_back(file.string());
        const command_result r = cluster_.ctl(all);
        const std::size_t at = r.output.find('{');
        const std::string text_of_json =
            at == std::string::npos ? "" : r.output.substr(at);
        export_result result{r.exit_code,
                             json::parse(text_of_json, nullptr, false)};
        EXPECT_FALSE(result.body.is_discarded()) << r.output;
        return result;
    }

    /// Two operators export different sheets at the same time.
    std::array<export_result, 2>
    collide(const std::vector<std::string>& options)
    {
        std::array<export_result, 2> results;
        std::thread other(
            [&] {
                results[1] =
                    apply("bo", cluster_.sheet_text({"engine-1"}), options);
            });
        results[0] = apply("ana", cluster_.sheet_text({"engine-0"}), options);
        other.join();
        return results;
    }

private:
    cluster& cluster_;
    std::atomic<unsigned> files_{0};
};

constexpr std::array operator_names{"ana", "bo"};
constexpr int code_accepted = 0;
constexpr int code_conflict = 4;

/// Checks the answer of the one who lost against the sheet that won.
void expect_told_who_won(const export_result& loser, const json& winner)
{
    EXPECT_EQ(loser.exit_code, code_conflict) << loser.body;
    ASSERT_TRUE(loser.body.contains("winner")) << loser.body;
    EXPECT_EQ(loser.body["winner"]["operator"], winner.at("operator"));
    EXPECT_EQ(loser.body["winner"]["generation"], winner.at("generation"));
    EXPECT_EQ(loser.body["winner"]["export_id"], winner.at("export_id"));
    EXPECT_NE(loser.body["differences"].dump().find("engine-"),
              std::string::npos)
        << loser.body;
}

class conflicts : public testing::TestWithParam<int>
{
};

// The parameter is the number of write answers that are lost in each round.
TEST_P(conflicts, exactly_one_of_two_operators_wins_a_generation)
{
    cluster c({.entries = 2, .engines = 2, .services = 0});
    ASSERT_TRUE(c.wait_until_usable());
    operators both(c);
    std::vector<std::string> accepted;
    constexpr unsigned rounds = 25;
    for (unsigned round = 0; round < rounds; ++round)
    {
        const std::uint64_t base = current_generation(c);
        c.platform_faults({{"lose_answers", GetParam()}});
        const auto results = both.collide({"--base", std::to_string(base)});
        const json now_current = current_sheet(c);
        ASSERT_EQ(now_current.at("generation"), base + 1);
        const std::size_t winner =
            results[0].exit_code == code_accepted ? 0 : 1;
        ASSERT_EQ(results[winner].exit_code, code_accepted)
            << results[0].body << results[1].body;
        EXPECT_EQ(now_current.at("operator"), operator_names[winner]);
        EXPECT_EQ(now_current.at("export_id"),
                  results[winner].body.at("export_id"));
        expect_told_who_won(results[1 - winner], now_current);
        accepted.push_back(results[winner].body.at("export_id"));
    }
    for (const std::string& id : accepted)
        EXPECT_EQ(c.ctl({"status", "--export", id}).exit_code, code_accepted)
            << id;
}

INSTANTIATE_TEST_SUITE_P(lost_answers, conflicts, testing::Values(0, 1, 3));

// Without a base both may be accepted, one after the other; then each has a
// generation of its own and none is forgotten.
TEST(conflicts, exports_without_a_base_are_accepted_in_an_order)
{
    cluster c({.entries = 1, .engines = 2, .services = 0});
    operators both(c);
    const std::uint64_t first = current_generation(c);
    std::vector<std::string> accepted;
    for (unsigned round = 0; round < 20; ++round)
    {
        c.platform_faults({{"lose_answers", 2}});
        for (const export_result& r : both.collide({}))
        {
            EXPECT_TRUE(r.exit_code == code_accepted ||
                        r.exit_code == code_conflict)
                << r.body;
            if (r.exit_code == code_accepted)
                accepted.push_back(r.body.at("export_id"));
        }
    }
    EXPECT_EQ(current_generation(c), first + accepted.size());
    for (const std::string& id : accepted)
        EXPECT_EQ(c.ctl({"status", "--export", id}).exit_code, code_accepted)
            << id;
}

/// Whether an entry and the agent of every engine that it knows hold the
/// generation. Agents of plain services hold no sheet.
bool is_in_force_at(cluster& c, const entry_slot& slot,
                    std::uint64_t generation)
{
    const json status = c.entry_status(slot);
    return !status.is_null() && status.at("sheet_generation") == generation &&
           std::ranges::all_of(status.at("instances"),
                               [&](const json& it)
                               {
                                   return it.at("group") != "writers" ||
                                          it.at("sheet_generation") ==
                                              generation;
                               });
}

bool is_in_force(cluster& c, std::uint64_t generation)
{
    return std::ranges::all_of(c.entries, [&](const entry_slot& e)
                               { return is_in_force_at(c, e, generation); });
}

/// Waits until every process is in use and the group has an owner.
bool wait_until_settled(cluster& c)
{
    return c.wait_until_usable() &&
           wait_for([&] { return is_in_force(c, current_generation(c)); });
}

/// Time from before the export until all hold it.
duration time_to_force(cluster& c)
{
    const mono_time begin = now();
    const command_result applied = c.apply(c.sheet_text({}));
    EXPECT_EQ(applied.exit_code, 0) << applied.output;
    const std::uint64_t generation = current_generation(c);
    EXPECT_TRUE(wait_for([&] { return is_in_force(c, generation); }));
    return now() - begin;
}

void silence_platform_connections(cluster& c)
{
    for (const entry_slot& it : c.entries)
        it.platform_relay->silence_open_connections();
    for (const upstream_slot& it : c.engines)
        it.platform_relay->silence_open_connections();
    for (const upstream_slot& it : c.services)
        it.platform_relay->silence_open_connections();
}

cluster_options relayed(unsigned entries)
{
    return {.entries = entries,
            .engines = 3,
            .services = 1,
            .relay_platform = true};
}

TEST(distribution, a_sheet_is_in_force_everywhere_in_time)
{
    cluster c(relayed(3));
    ASSERT_TRUE(wait_until_settled(c));
    for (unsigned round = 0; round < 5; ++round)
        EXPECT_LT(time_to_force(c), in_force_limit) << "round " << round;
}

// The owner must not wait for its next regular plan before it assigns from a
// new sheet.
TEST(distribution, a_long_planning_interval_does_not_hold_a_sheet_back)
{
    cluster_options options = relayed(2);
    options.entry_settings = "[control]\nplanning = \"10s\"\n";
    cluster c(options);
    ASSERT_TRUE(wait_until_settled(c));
    for (unsigned round = 0; round < 3; ++round)
        EXPECT_LT(time_to_force(c), in_force_limit) << "round " << round;
}

TEST(distribution, silent_platform_connections_do_not_hold_a_sheet_back)
{
    cluster c(relayed(3));
    ASSERT_TRUE(wait_until_settled(c));
    for (unsigned round = 0; round < 4; ++round)
    {
        silence_platform_connections(c);
        EXPECT_LT(time_to_force(c), in_force_limit) << "round " << round;
    }
}

TEST(distribution, an_entry_started_with_an_export_has_the_sheet_in_time)
{
    cluster c(relayed(2));
    ASSERT_TRUE(wait_until_settled(c));
    c.entries.emplace_back();
    c.entries.back().name = "entry-2";
    const mono_time begin = now();
    const command_result applied = c.apply(c.sheet_text({}));
    ASSERT_EQ(applied.exit_code, 0) << applied.output;
    c.start_entry(c.entries.back());
    const std::uint64_t generation = current_generation(c);
    EXPECT_TRUE(wait_for([&] { return is_in_force(c, generation); }));
    EXPECT_LT(now() - begin, in_force_limit);
    EXPECT_TRUE(c.wait_until_usable());
}

/// Reads the generation of every entry all the time. An entry that is not
/// ready has no sheet; a ready one never has an older one than before.
class generation_history
{
public:
    explicit generation_history(cluster& c) : cluster_(c)
    {
        for (const entry_slot& it : c.entries)
            follow(it);
        for (const entry_slot& it : c.entries)
            threads_.emplace_back([this, name = it.name] { watch(name); });
    }

    ~generation_history()
    {
        is_stopping_ = true;
        for (std::thread& t : threads_)
            t.join();
        EXPECT_EQ(went_back_, "");
        EXPECT_GT(reads_, 100U) << "the entries were hardly read";
    }

    /// Notes the address of an entry that was started.
    void follow(const entry_slot& slot)
    {
        const std::lock_guard lock(mutex_);
        addresses_[slot.name] = slot.process->address("admin");
    }

private:
    json read(const std::string& name)
    {
        net::client_request r;
        {
            const std::lock_guard lock(mutex_);
            r.to = addresses_.at(name);
        }
        r.path = "/status";
        r.timeout = 500ms;
        const net::client_result result = cluster_.client().fetch(std::move(r));
        return result.response.status == 200 ? json::parse(result.response.body)
                                             : json();
    }

    void watch(const std::string& name)
    {
        std::uint64_t highest = 0;
        while (!is_stopping_)
        {
            const json status = read(name);
            if (!status.is_null() && status.at("ready") == true)
            {
                const auto g =
                    status.at("sheet_generation").get<std::uint64_t>();
                ++reads_;
                const std::lock_guard lock(mutex_);
                if (g < highest)
                    went_back_ += name + " from " + std::to_string(highest) +
                                  " to " + std::to_string(g) + "; ";
                highest = std::max(highest, g);
            }
            std::this_thread::sleep_for(5ms);
        }
    }

    cluster& cluster_;
    std::atomic<bool> is_stopping_{false};
    std::atomic<unsigned> reads_{0};
    std::mutex mutex_;
    std::map<std::string, ip_address> addresses_;
    std::string went_back_;
    std::vector<std::thread> threads_;
};

/// One round of faults at one entry, with exports before, during and after.
void disturb(cluster& c, generation_history& history, unsigned round)
{
    entry_slot& slot = c.entries[round % c.entries.size()];
    EXPECT_EQ(c.apply(c.sheet_text({})).exit_code, 0);
    if (round % 2 == 0)
        slot.process->pause();
    else
        slot.process->kill();
    EXPECT_EQ(c.apply(c.sheet_text({})).exit_code, 0);
    c.platform_faults({{"outage", true}});
    std::this_thread::sleep_for(700ms);
    if (round % 2 == 0)
        slot.process->proceed();
    else
    {
        c.start_entry(slot);
        history.follow(slot);
    }
    std::this_thread::sleep_for(700ms);
    c.platform_faults({{"outage", false}});
}

TEST(generations, never_go_back_at_any_entry)
{
    cluster c(relayed(3));
    ASSERT_TRUE(c.wait_until_usable());
    generation_history history(c);
    for (unsigned round = 0; round < 6; ++round)
        disturb(c, history, round);
    EXPECT_TRUE(c.wait_until_usable());
    const std::uint64_t generation = current_generation(c);
    EXPECT_TRUE(wait_for([&] { return is_in_force(c, generation); }));
}

bool is_ready(cluster& c, const entry_slot& slot)
{
    const json status = c.entry_status(slot);
    return !status.is_null() && status.at("ready") == true;
}

void expect_streams_whole(cluster& c, const entry_slot& to, unsigned count)
{
    caller callers(c);
    chat_request request;
    std::vector<caller::handle> handles(count);
    for (caller::handle& h : handles)
        h = callers.send(to, request);
    for (const caller::handle h : handles)
    {
        const chat_result r = callers.wait(h);
        EXPECT_EQ(r.status, 200U) << r.error_type;
        EXPECT_TRUE(r.has_done && r.text == expected_text(request));
    }
}

TEST(outages, a_restarted_entry_waits_and_the_others_go_on)
{
    cluster c({.entries = 3, .engines = 3, .services = 1});
    ASSERT_TRUE(c.wait_until_usable());
    const service_result booked =
        call_service(c, c.entries[1], "POST", "/bookings", "k1", "barn");
    ASSERT_EQ(booked.status, 200U);
    c.platform_faults({{"outage", true}});
    c.entries[0].process->kill();
    c.start_entry(c.entries[0]);
    const mono_time until = now() + 4s;
    while (now() < until)
    {
        EXPECT_FALSE(is_ready(c, c.entries[0]));
        expect_streams_whole(c, c.entries[1], 2);
        expect_streams_whole(c, c.entries[2], 2);
        const service_result again =
            call_service(c, c.entries[2], "POST", "/bookings", "k1", "barn");
        EXPECT_EQ(again.status, 200U) << again.body;
        EXPECT_EQ(again.body, booked.body);
    }
    caller callers(c);
    const chat_result refused = callers.wait(callers.send(c.entries[0], {}));
    EXPECT_EQ(refused.status, 503U);
    EXPECT_EQ(refused.ran, "no");
    c.platform_faults({{"outage", false}});
    EXPECT_TRUE(c.wait_until_usable());
    expect_streams_whole(c, c.entries[0], 2);
}

/// Orders that the engines have received.
std::size_t count_orders(cluster& c)
{
    std::size_t n = 0;
    for (const upstream_slot& slot : c.engines)
        n += c.counters(slot).at("orders").size();
    return n;
}

// Without the platform no order may be carried out. The sheet keeps all roles
// mixed, so no mix asks for a change here.
TEST(outages, longer_than_every_lease_cut_nothing_and_change_no_role)
{
    cluster c({.entries = 2,
               .engines = 3,
               .services = 0,
               .entry_settings = fast_control});
    ASSERT_TRUE(c.wait_until_usable());
    expect_streams_whole(c, c.entries[0], 4);
    ASSERT_TRUE(wait_for(
        [&]
        {
            return !c.get_json(c.platform->http(),
                               "/v1/objects/assignments/writers")
                        .is_null();
        }));
    c.platform_faults({{"outage", true}});
    std::this_thread::sleep_for(500ms); // Orders already read are carried out.
    const std::size_t orders = count_orders(c);
    const mono_time until = now() + 6s;
    while (now() < until)
        for (const entry_slot& e : c.entries)
            expect_streams_whole(c, e, 4);
    EXPECT_EQ(count_orders(c), orders);
    c.platform_faults({{"outage", false}});
    ASSERT_TRUE(wait_for(
        [&] {
            return c.apply(c.sheet_text({}, group_version(2))).exit_code == 0;
        }));
    EXPECT_TRUE(wait_for(
        [&]
        {
            return std::ranges::all_of(
                c.engines,
                [&](const upstream_slot& slot)
                {
                    return c.get_json(slot.upstream->http(), "/v1/state")
                               .at("version") == "2";
                });
        }));
    EXPECT_TRUE(c.wait_until_usable());
    expect_streams_whole(c, c.entries[1], 4);
}

} // namespace
} // namespace poplar::testing_support
