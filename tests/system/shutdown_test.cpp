// Guards against answers that a graceful shutdown cuts, bookings that it runs
// twice, and new work sent to an instance that is leaving.
#include "tests/system/cluster.hpp"

#include <algorithm>
#include <atomic>
#include <future>
#include <gtest/gtest.h>
#include <map>
#include <mutex>
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

/// Invariant 7: a leaving upstream gets no new work after this time.
constexpr duration leaving_limit = 3s;

chat_request numbered_request(unsigned n, unsigned max_tokens)
{
    chat_request r;
    r.prompt = "route for bus " + std::to_string(n);
    r.max_tokens = max_tokens;
    return r;
}

/// Streams that are open while something shuts down.
struct open_streams
{
    cluster& c;
    caller callers{c};
    std::vector<caller::handle> handles;
    std::vector<chat_request> requests;

    void open(const entry_slot& to, unsigned count, unsigned max_tokens)
    {
        for (unsigned i = 0; i < count; ++i)
        {
            const auto n = static_cast<unsigned>(requests.size());
            requests.push_back(numbered_request(n, max_tokens));
            // Every fourth caller takes its answer whole.
            requests.back().stream = n % 4 != 3;
            handles.push_back(callers.send(to, requests.back()));
        }
    }

    bool all_started()
    {
        return wait_for(
            [&]
            {
                for (std::size_t i = 0; i < handles.size(); ++i)
                    if (requests[i].stream &&
                        callers.peek(handles[i]).text.empty())
                        return false;
                return true;
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
            EXPECT_EQ(r.status, 200U) << i << " " << r.error_type;
            EXPECT_TRUE(r.has_done && r.text == expected_text(requests[i]))
                << i << " " << r.error_type;
        }
    }
};

/// Bookings in flight, each with a key of its own.
class open_bookings
{
public:
    open_bookings(cluster& c, const entry_slot& to, unsigned count)
    {
        for (unsigned i = 0; i < count; ++i)
            answers_.push_back(
                std::async(std::launch::async,
                           [&c, &to, key = "b" + std::to_string(i)] {
                               return call_service(c, to, "POST", "/bookings",
                                                   key, "barn");
                           }));
    }

    void expect_done()
    {
        for (auto& it : answers_)
        {
            const service_result r = it.get();
            EXPECT_EQ(r.status, 200U) << r.body;
            EXPECT_EQ(r.ran, "yes");
        }
    }

private:
    std::vector<std::future<service_result>> answers_;
};

std::map<std::string, int> executions(cluster& c)
{
    std::map<std::string, int> runs;
    for (const upstream_slot& slot : c.services)
    {
        const json counters = c.counters(slot);
        for (const auto& [key, n] : counters.at("executions").items())
            runs[key] += n.get<int>();
    }
    return runs;
}

void expect_each_ran_once(cluster& c, std::size_t count)
{
    const auto runs = executions(c);
    EXPECT_EQ(runs.size(), count);
    for (const auto& [key, n] : runs)
        EXPECT_EQ(n, 1) << key;
}

void expect_no_cut_streams(cluster& c)
{
    for (const upstream_slot& slot : c.engines)
        EXPECT_EQ(c.counters(slot).at("cut_streams"), 0) << slot.name;
}

/// Executions under way at the services.
bool are_running(cluster& c, std::size_t count)
{
    return wait_for([&] { return executions(c).size() >= count; });
}

const std::string slow_service = "delay = \"1s\"\n";

TEST(shutdown_of_an_entry, ends_every_request_and_refuses_new_ones)
{
    cluster c({.entries = 2,
               .engines = 2,
               .services = 2,
               .service_settings = slow_service});
    ASSERT_TRUE(c.wait_until_usable());
    open_streams open{c};
    open.open(c.entries[0], 16, 1500);
    ASSERT_TRUE(open.all_started());
    open_bookings booked(c, c.entries[0], 6);
    ASSERT_TRUE(are_running(c, 6));
    ASSERT_FALSE(open.any_ended()) << "the streams are too short for the test";
    c.entries[0].process->terminate();
    ASSERT_TRUE(wait_for(
        [&] { return !c.entry_status(c.entries[0]).value("ready", true); }));
    caller callers(c);
    const chat_result refused = callers.wait(callers.send(c.entries[0], {}));
    EXPECT_EQ(refused.status, 503U);
    EXPECT_EQ(refused.ran, "no");
    const service_result call =
        call_service(c, c.entries[0], "GET", "/availability", "", "");
    EXPECT_EQ(call.status, 503U);
    EXPECT_EQ(call.ran, "no");
    open.expect_whole();
    booked.expect_done();
    EXPECT_EQ(c.entries[0].process->wait(30s), 0);
    expect_each_ran_once(c, 6);
    expect_no_cut_streams(c);
}

TEST(shutdown_of_an_agent, ends_every_stream)
{
    cluster c({.entries = 2, .engines = 2, .services = 0});
    ASSERT_TRUE(c.wait_until_usable());
    open_streams open{c};
    open.open(c.entries[0], 12, 1500);
    open.open(c.entries[1], 12, 1500);
    ASSERT_TRUE(open.all_started());
    ASSERT_FALSE(open.any_ended()) << "the streams are too short for the test";
    c.engines[0].agent->terminate();
    open.open(c.entries[0], 4, 20);
    open.expect_whole();
    EXPECT_EQ(c.engines[0].agent->wait(30s), 0);
    expect_no_cut_streams(c);
}

TEST(shutdown_of_an_agent, ends_every_booking_once)
{
    cluster c({.entries = 2,
               .engines = 0,
               .services = 2,
               .service_settings = slow_service});
    ASSERT_TRUE(c.wait_until_usable());
    open_bookings first(c, c.entries[0], 12);
    ASSERT_TRUE(are_running(c, 12));
    c.services[0].agent->terminate();
    first.expect_done();
    EXPECT_EQ(c.services[0].agent->wait(30s), 0);
    // The other agent has taken the shards over and knows the bookings.
    open_bookings again(c, c.entries[1], 12);
    again.expect_done();
    expect_each_ran_once(c, 12);
}

/// Streams and bookings without pause, at whichever entry accepts them.
class steady_load
{
public:
    explicit steady_load(cluster& c) : cluster_(c)
    {
        for (unsigned i = 0; i < 6; ++i)
            threads_.emplace_back([this, i] { stream(i); });
        for (unsigned i = 0; i < 6; ++i)
            threads_.emplace_back([this, i] { book(i); });
    }

    ~steady_load()
    {
        stop();
    }

    void stop()
    {
        is_stopping_ = true;
        for (std::thread& t : threads_)
            t.join();
        threads_.clear();
    }

    /// Entry processes are replaced under this lock.
    std::mutex& entries_mutex()
    {
        return mutex_;
    }

    void expect_whole_and_once()
    {
        EXPECT_GT(streams_, 20U);
        EXPECT_GT(done_.size(), 20U);
        EXPECT_EQ(faults_, "");
        const auto runs = executions(cluster_);
        for (const auto& [key, n] : runs)
            EXPECT_EQ(n, 1) << key;
        for (const std::string& key : done_)
            EXPECT_TRUE(runs.contains(key)) << key << " was confirmed";
    }

private:
    /// Refused before it ran, as by an entry that leaves or has left.
    static bool is_refused(const chat_result& r)
    {
        return r.failure == net::client_failure::not_connected ||
               (r.status == 503 && r.ran == "no");
    }

    void stream(unsigned thread)
    {
        caller callers(cluster_);
        for (unsigned n = thread; !is_stopping_; ++n)
        {
            const chat_request request = numbered_request(n, 400);
            caller::handle h = 0;
            {
                const std::lock_guard lock(mutex_);
                h = callers.send(cluster_.entries[n % cluster_.entries.size()],
                                 request);
            }
            const chat_result r = callers.wait(h);
            if (is_refused(r))
                continue;
            const bool is_whole = r.status == 200 && r.has_done &&
                                  r.text == expected_text(request);
            const std::lock_guard lock(mutex_);
            ++streams_;
            if (!is_whole)
                faults_ += "stream: " + std::to_string(r.status) + " " +
                           r.error_type + " ran " + r.ran + " with " +
                           std::to_string(r.text.size()) + " bytes; ";
        }
    }

    net::client_result call(unsigned n, const std::string& key)
    {
        net::client_request r;
        r.method = "POST";
        {
            const std::lock_guard lock(mutex_);
            r.to =
                cluster_.entries[n % cluster_.entries.size()].process->http();
        }
        r.path = "/services/desk/bookings";
        r.headers = {{"Poplar-Deadline-Ms", "5000"}, {"Idempotency-Key", key}};
        r.body = "barn";
        return cluster_.client().fetch(std::move(r));
    }

    void book(unsigned thread)
    {
        for (unsigned n = 0; !is_stopping_; ++n)
        {
            const std::string key =
                std::to_string(thread) + "-" + std::to_string(n);
            for (unsigned attempt = 0; attempt < 200; ++attempt)
            {
                const auto r = call(n + attempt, key);
                // An answer that has begun must be whole.
                const bool is_cut = r.failure != net::client_failure::none &&
                                    r.response.status != 0;
                const std::lock_guard lock(mutex_);
                if (is_cut)
                    faults_ += "booking " + key + " cut; ";
                if (r.response.status == 200)
                {
                    done_.insert(key);
                    break;
                }
            }
        }
    }

    cluster& cluster_;
    std::atomic<bool> is_stopping_{false};
    std::mutex mutex_;
    unsigned streams_ = 0;
    std::set<std::string> done_;
    std::string faults_;
    std::vector<std::thread> threads_;
};

TEST(rolling_restart, of_all_entries_cuts_nothing)
{
    cluster c({.entries = 3,
               .engines = 3,
               .services = 2,
               .service_settings = "delay = \"20ms\"\n"});
    ASSERT_TRUE(c.wait_until_usable());
    steady_load load(c);
    for (entry_slot& slot : c.entries)
    {
        std::this_thread::sleep_for(500ms);
        c.list_entry(slot, "leaving");
        slot.process->terminate();
        EXPECT_EQ(slot.process->wait(30s), 0) << slot.name;
        {
            const std::lock_guard lock(load.entries_mutex());
            c.start_entry(slot);
        }
        ASSERT_TRUE(c.wait_until_usable());
    }
    load.stop();
    load.expect_whole_and_once();
    expect_no_cut_streams(c);
}

TEST(rolling_restart, of_all_agents_cuts_nothing)
{
    cluster c({.entries = 2,
               .engines = 3,
               .services = 2,
               .service_settings = "delay = \"20ms\"\n"});
    ASSERT_TRUE(c.wait_until_usable());
    steady_load load(c);
    const auto restart = [&](upstream_slot& slot)
    {
        std::this_thread::sleep_for(500ms);
        c.list_instance(slot, "leaving");
        slot.agent->terminate();
        EXPECT_EQ(slot.agent->wait(30s), 0) << slot.name;
        c.replace_agent(slot);
        EXPECT_TRUE(c.wait_until_usable()) << slot.name;
    };
    std::ranges::for_each(c.engines, restart);
    std::ranges::for_each(c.services, restart);
    load.stop();
    load.expect_whole_and_once();
    expect_no_cut_streams(c);
}

void expect_no_new_work(cluster& c, const upstream_slot& leaving)
{
    const json before = c.counters(leaving);
    caller callers(c);
    for (unsigned i = 0; i < 40; ++i)
    {
        const chat_request r = numbered_request(1000 + i, 5);
        EXPECT_EQ(callers.wait(callers.send(c.entries[i % 2], r)).status, 200U);
    }
    EXPECT_EQ(c.counters(leaving).at("started"), before.at("started"));
}

TEST(leaving_engine, gets_no_new_work_once_it_is_listed)
{
    cluster c({.entries = 2, .engines = 2, .services = 0});
    ASSERT_TRUE(c.wait_until_usable());
    c.list_instance(c.engines[0], "leaving");
    std::this_thread::sleep_for(leaving_limit);
    expect_no_new_work(c, c.engines[0]);
}

// The list names the engine live all the time; only its agent knows better.
TEST(leaving_engine, gets_no_new_work_though_the_list_lags)
{
    cluster c({.entries = 2,
               .engines = 2,
               .services = 0,
               .engine_settings = "decode_step_per_stream = \"1ms\"\n"});
    ASSERT_TRUE(c.wait_until_usable());
    c.platform_faults({{"instance_lag_ms", 60000}});
    open_streams open{c};
    open.open(c.entries[0], 8, 1000);
    open.open(c.entries[1], 8, 1000);
    ASSERT_TRUE(open.all_started());
    c.list_instance(c.engines[0], "leaving");
    c.engines[0].agent->terminate();
    std::this_thread::sleep_for(leaving_limit);
    ASSERT_TRUE(c.engines[0].agent->is_running())
        << "the streams are too short for the test";
    expect_no_new_work(c, c.engines[0]);
    open.expect_whole();
    EXPECT_EQ(c.engines[0].agent->wait(30s), 0);
}

} // namespace
} // namespace poplar::testing_support
