// Guards against answers that are cut, mixed or doubled when engines, agents
// and connections fail under open streams.
#include "tests/system/cluster.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace poplar::testing_support
{
namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

constexpr unsigned streams = 24;

/// Long enough that all streams are open when the fault comes.
chat_request long_request(unsigned n)
{
    chat_request r;
    r.prompt = "itinerary for coach " + std::to_string(n);
    r.max_tokens = 1500;
    return r;
}

struct open_streams
{
    cluster& c;
    caller callers{c};
    std::vector<caller::handle> handles;
    std::vector<chat_request> requests;

    void open(unsigned count)
    {
        for (unsigned i = 0; i < count; ++i)
        {
            requests.push_back(
                long_request(static_cast<unsigned>(requests.size())));
            handles.push_back(
                callers.send(c.entries[i % c.entries.size()], requests.back()));
        }
    }

    bool all_started()
    {
        return wait_for(
            [&]
            {
                return std::ranges::all_of(
                    handles, [&](caller::handle h)
                    { return !callers.peek(h).text.empty(); });
            });
    }

    bool any_ended()
    {
        return std::ranges::any_of(handles, [&](caller::handle h)
                                   { return callers.peek(h).has_ended; });
    }

    void expect_whole()
    {
        for (std::size_t i = 0; i < handles.size(); ++i)
        {
            const chat_result r = callers.wait(handles[i]);
            EXPECT_EQ(r.status, 200U) << r.error_type;
            EXPECT_TRUE(r.has_done) << i << " " << r.error_type;
            EXPECT_TRUE(r.text == expected_text(requests[i]))
                << i << ": " << r.text.size() << " of "
                << expected_text(requests[i]).size() << " bytes";
        }
    }
};

enum class fault
{
    engine_killed,
    engine_frozen,
    agent_killed,
    agent_paused,
    connections_silent,
    connections_cut,
    engine_killed_and_connections_silent,
    agent_killed_and_platform_down
};

std::string name_of(const testing::TestParamInfo<fault>& info)
{
    switch (info.param)
    {
    case fault::engine_killed:
        return "engine_killed";
    case fault::engine_frozen:
        return "engine_frozen";
    case fault::agent_killed:
        return "agent_killed";
    case fault::agent_paused:
        return "agent_paused";
    case fault::connections_silent:
        return "connections_silent";
    case fault::connections_cut:
        return "connections_cut";
    case fault::engine_killed_and_connections_silent:
        return "engine_killed_and_connections_silent";
    case fault::agent_killed_and_platform_down:
        return "agent_killed_and_platform_down";
    }
    return "unknown";
}

void inject(cluster& c, fault f)
{
    switch (f)
    {
    case fault::engine_killed:
        return c.engines[0].upstream->kill();
    case fault::engine_frozen:
        return c.upstream_faults(c.engines[0], {{"freeze", true}});
    case fault::agent_killed:
        return c.engines[0].agent->kill();
    case fault::agent_paused:
        return c.engines[0].agent->pause();
    case fault::connections_silent:
        for (upstream_slot& slot : c.engines)
            slot.agent_relay->silence_open_connections();
        return;
    case fault::connections_cut:
        for (upstream_slot& slot : c.engines)
            slot.agent_relay->cut(false);
        return;
    case fault::engine_killed_and_connections_silent:
        inject(c, fault::engine_killed);
        return inject(c, fault::connections_silent);
    case fault::agent_killed_and_platform_down:
        c.platform_faults({{"outage", true}});
        return inject(c, fault::agent_killed);
    }
}

class stream_faults : public testing::TestWithParam<fault>
{
};

TEST_P(stream_faults, every_caller_gets_its_whole_answer)
{
    cluster c({.entries = 2,
               .engines = 3,
               .services = 0,
               .relay_agents = true,
               .agent_settings = "[streams]\ntoken_idle_limit = \"1s\"\n"});
    ASSERT_TRUE(c.wait_until_usable());
    open_streams open{c};
    open.open(streams);
    ASSERT_TRUE(open.all_started());
    ASSERT_FALSE(open.any_ended()) << "the streams are too short for the test";
    inject(c, GetParam());
    open.expect_whole();
    if (GetParam() == fault::agent_paused)
        c.engines[0].agent->proceed();
}

INSTANTIATE_TEST_SUITE_P(
    table, stream_faults,
    testing::Values(fault::engine_killed, fault::engine_frozen,
                    fault::agent_killed, fault::agent_paused,
                    fault::connections_silent, fault::connections_cut,
                    fault::engine_killed_and_connections_silent,
                    fault::agent_killed_and_platform_down),
    name_of);

// A paused agent goes on later and its frames arrive late: they must not mix
// into the answers that other engines took over.
TEST(streams, late_frames_of_a_paused_agent_change_nothing)
{
    cluster c({.entries = 1, .engines = 2, .services = 0});
    ASSERT_TRUE(c.wait_until_usable());
    open_streams open{c};
    open.open(8);
    ASSERT_TRUE(open.all_started());
    c.engines[0].agent->pause();
    std::this_thread::sleep_for(2500ms);
    c.engines[0].agent->proceed();
    open.expect_whole();
}

/// Kinds of the decisions that an entry recorded about a request.
std::string decisions_about(cluster& c, const std::string& request)
{
    std::string all;
    for (const entry_slot& e : c.entries)
        all += c.get_json(e.process->address("admin"),
                          "/explain?request=" + request)
                   .dump();
    return all;
}

TEST(slow_connections, are_not_taken_for_silent)
{
    cluster c(
        {.entries = 2, .engines = 3, .services = 0, .relay_agents = true});
    ASSERT_TRUE(c.wait_until_usable());
    open_streams open{c};
    open.open(streams);
    ASSERT_TRUE(open.all_started());
    for (upstream_slot& slot : c.engines)
        slot.agent_relay->set_faults({.delay = 300ms});
    open.expect_whole();
    for (const caller::handle h : open.handles)
    {
        const std::string found =
            decisions_about(c, open.callers.peek(h).request_id);
        EXPECT_NE(found.find("dispatched"), std::string::npos) << found;
        EXPECT_EQ(found.find("resumed"), std::string::npos) << found;
        EXPECT_EQ(found.find("attempt 2"), std::string::npos) << found;
    }
}

// Planned changes: nothing is cut at the engine and nothing at the caller.
struct planned_case
{
    const char* name;
    const char* group; ///< Group keys of the new sheet.
    std::vector<std::string> drained;
    const char* key; ///< Of the engine's state.
    const char* value;
    unsigned engines; ///< That show this value after the change.
};

unsigned engines_with(cluster& c, const char* key, const char* value)
{
    return static_cast<unsigned>(std::ranges::count_if(
        c.engines,
        [&](const upstream_slot& slot)
        {
            const json state = c.get_json(slot.upstream->http(), "/v1/state");
            return state.at(key) == value && state.at("changing") == false;
        }));
}

class planned_changes : public testing::TestWithParam<planned_case>
{
};

TEST_P(planned_changes, cut_no_stream)
{
    cluster c({.entries = 2,
               .engines = 3,
               .services = 0,
               .agent_settings = "[orders]\ndrain_time = \"1s\"\n"});
    ASSERT_TRUE(c.wait_until_usable());
    open_streams open{c};
    open.open(streams);
    ASSERT_TRUE(open.all_started());
    const command_result applied =
        c.apply(c.sheet_text(GetParam().drained, GetParam().group));
    ASSERT_EQ(applied.exit_code, 0) << applied.output;
    // New streams keep coming until the change has reached the engines.
    EXPECT_TRUE(wait_for(
        [&]
        {
            open.open(1);
            std::this_thread::sleep_for(100ms);
            return engines_with(c, GetParam().key, GetParam().value) ==
                   GetParam().engines;
        }));
    open.expect_whole();
    for (const upstream_slot& slot : c.engines)
    {
        const json counters = c.counters(slot);
        EXPECT_EQ(counters.at("cut_streams"), 0) << counters;
        EXPECT_EQ(counters.at("overlapping_orders"), 0) << counters;
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, planned_changes,
    testing::Values(planned_case{"drain", "", {"engine-0"}, "version", "1", 3},
                    planned_case{"version",
                                 "version = \"2\"\nroles = \"all_mixed\"\n"
                                 "max_changing = 1\n",
                                 {},
                                 "version",
                                 "2",
                                 3},
                    planned_case{"roles",
                                 "version = \"1\"\nroles = \"fixed\"\n"
                                 "prefill_engines = 1\n",
                                 {},
                                 "role",
                                 "prefill",
                                 1}),
    [](const testing::TestParamInfo<planned_case>& info)
    { return std::string(info.param.name); });

TEST(drains, a_drained_engine_gets_no_new_work_after_three_seconds)
{
    cluster c({.entries = 2, .engines = 2, .services = 0});
    ASSERT_TRUE(c.wait_until_usable());
    ASSERT_EQ(c.ctl({"drain", "--operator", "test", "engine-0"}).exit_code, 0);
    std::this_thread::sleep_for(3s);
    const json before = c.counters(c.engines[0]);
    caller callers(c);
    for (unsigned i = 0; i < 20; ++i)
    {
        chat_request r = long_request(i);
        r.max_tokens = 5;
        EXPECT_EQ(callers.wait(callers.send(c.entries[i % 2], r)).status, 200U);
    }
    EXPECT_EQ(c.counters(c.engines[0]).at("started"), before.at("started"));
}

} // namespace
} // namespace poplar::testing_support
