/// Requests far above the capacity of slow engines.
#pragma once

#include "tests/system/cluster.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <string>
#include <thread>
#include <vector>

namespace poplar::testing_support
{
using namespace std::chrono_literals;

/// A batch of 8 streams takes 2 ms + 8 * 4 ms for 8 tokens: 235 tokens/s.
inline const std::string slow_engine = "decode_step_per_stream = \"4ms\"\n"
                                       "max_batch = 8\n";
inline const std::string slow_speed = "[engine_speed]\n"
                                      "prefill_tokens_per_second = 20000\n"
                                      "decode_tokens_per_second = 235\n"
                                      "max_streams = 8\n";
constexpr unsigned engine_count = 2;
constexpr unsigned slots = engine_count * 8;
constexpr unsigned tokens_per_answer = 20;
constexpr double capacity_requests_per_s =
    engine_count * 235.0 / tokens_per_answer;

/// "Refused at once": far below every deadline and target of the test.
constexpr duration refusal_limit = 500ms;
constexpr duration urgent_first_token_target = 2s; ///< Of the sheet.
constexpr double later_share = 0.3;                ///< Of the sheet.
constexpr double target_part = 0.95; ///< Requests that must meet the target.
constexpr duration flood_time = 8s;

/// Requests of one tenant and rank at a steady rate.
struct source
{
    std::string tenant;
    std::string rank;
    double requests_per_s = 0;
    double due = 0;
};

struct sent_request
{
    std::string tenant;
    std::string rank;
    mono_time sent;
    caller::handle handle = 0;
    chat_result result;

    bool is_served() const
    {
        return result.status == 200 && result.has_done;
    }
};

class flood
{
public:
    explicit flood(cluster& c) : cluster_(c), callers_(c) {}

    /// Sends from all sources for the time and waits for every answer.
    void run(std::vector<source> sources, duration time)
    {
        const mono_time begin = now();
        mono_time last = begin;
        while (last - begin < time)
        {
            std::this_thread::sleep_for(10ms);
            const double passed =
                std::chrono::duration<double>(now() - last).count();
            last = now();
            for (source& it : sources)
                send_due(it, passed);
        }
        for (sent_request& it : sent_)
            it.result = callers_.wait(it.handle);
    }

    std::vector<sent_request> of_rank(const std::string& rank) const
    {
        return select([&](const sent_request& r) { return r.rank == rank; });
    }

    std::vector<sent_request> of_tenant(const std::string& tenant) const
    {
        return select([&](const sent_request& r)
                      { return r.tenant == tenant; });
    }

    /// Every request is answered whole, or refused at once as not run.
    void expect_prompt_refusals() const
    {
        std::size_t refused = 0;
        for (const sent_request& it : sent_)
        {
            if (it.is_served())
                continue;
            ++refused;
            EXPECT_TRUE(it.result.status == 429 || it.result.status == 503)
                << it.rank << " " << it.result.status << " "
                << it.result.error_type;
            EXPECT_LT(it.result.ended - it.sent, refusal_limit) << it.rank;
            EXPECT_FALSE(it.result.retry_after.empty());
            EXPECT_EQ(it.result.ran, "no");
        }
        EXPECT_GT(refused, sent_.size() / 4) << "this was no flood";
    }

private:
    template <class Predicate>
    std::vector<sent_request> select(Predicate matches) const
    {
        std::vector<sent_request> found;
        std::ranges::copy_if(sent_, std::back_inserter(found), matches);
        return found;
    }

    void send_due(source& from, double passed)
    {
        from.due += from.requests_per_s * passed;
        for (; from.due >= 1; from.due -= 1)
        {
            chat_request r;
            r.prompt = "blurb " + std::to_string(sent_.size());
            r.max_tokens = tokens_per_answer;
            r.tenant = from.tenant;
            r.rank = from.rank;
            r.deadline = 5s;
            const mono_time at = now();
            sent_.push_back({from.tenant,
                             from.rank,
                             at,
                             callers_.send(cluster_.entries[0], r),
                             {}});
        }
    }

    cluster& cluster_;
    caller callers_;
    std::vector<sent_request> sent_;
};

inline cluster_options slow_engines()
{
    return {.entries = 1,
            .engines = engine_count,
            .services = 0,
            .engine_settings = slow_engine,
            .entry_settings = slow_speed};
}

/// Several tenants that together send ten times what the engines can do.
inline std::vector<source> flood_of(const std::string& rank)
{
    const double each = 10 * capacity_requests_per_s / 3;
    return {
        {"press", rank, each}, {"digests", rank, each}, {"blurbs", rank, each}};
}

inline std::size_t count_served(const std::vector<sent_request>& all)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(all, &sent_request::is_served));
}

} // namespace poplar::testing_support
