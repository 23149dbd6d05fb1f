#include "tests/platform/soak_callers.hpp"

#include "base/error.hpp"

#include <gtest/gtest.h>

namespace poplar::gateway
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t callers_per_gateway = 3;

std::string request_bytes(const std::string& prefix, const std::string& id,
                          bool is_stream)
{
    return "GET /" + prefix +
           "/x HTTP/1.1\r\nHost: a.example\r\n"
           "Attempt-Id: " +
           id + "\r\nDeadline-Ms: 1500\r\n" +
           (is_stream ? "Model: m\r\nToken-Count: 100,20\r\n"
                        "Prompt-Prefix: aa:60,bb:40\r\n"
                      : "") +
           "\r\n";
}

bool is_served(const ip_address& gateway, const std::string& prefix,
               const std::string& id)
{
    try
    {
        scripted_caller c(gateway);
        c.send(request_bytes(prefix, id, false));
        return c.read_answer(seconds(2)).bytes.find("end of " + id) !=
               std::string::npos;
    }
    catch (const system_failure&)
    {
        return false; // The gateway is restarting.
    }
}

} // namespace

soak_callers::soak_callers(soak_world& world) : world_(world)
{
    for (std::size_t i = 0; i < callers_per_gateway * world.gateway_count();
         ++i)
        threads_.emplace_back([this, i] { call_until_end(i); });
}

soak_callers::~soak_callers()
{
    stop();
}

void soak_callers::stop()
{
    is_stopping_ = true;
    for (std::thread& it : threads_)
        it.join();
    threads_.clear();
}

/// One caller in three opens a connection for each request, the others keep
/// theirs until it ends.
void soak_callers::call_until_end(std::size_t caller)
{
    static constexpr std::array kinds{"safe", "once", "stream", "added"};
    const std::size_t gateway = caller % world_.gateway_count();
    const bool keeps = caller / world_.gateway_count() > 0;
    std::unique_ptr<connection> c;
    for (unsigned n = 0; !is_stopping_; ++n)
    {
        const std::string kind = kinds.at(world_.random(kinds.size()));
        const std::string id = kind + "-g" + std::to_string(gateway) + "-c" +
                               std::to_string(caller) + "-" + std::to_string(n);
        try
        {
            if (!c)
                c = std::make_unique<connection>(world_.gateway_at(gateway));
            if (!call_once(*c, {kind, id, gateway, false, {}}) || !keeps)
                c.reset();
        }
        catch (const system_failure&)
        {
            // The gateway is restarting.
            c.reset();
            std::this_thread::sleep_for(milliseconds(20));
        }
    }
}

bool soak_callers::call_once(connection& c, sent_request r)
{
    std::string prefix = r.kind;
    if (r.kind == "added")
    {
        const unsigned n = world_.known_routes(r.gateway, c.number);
        r.must_have_route = n > 0;
        prefix += std::to_string(n > 0 ? world_.random(n) : 0);
    }
    r.sent = now();
    c.caller.send(request_bytes(prefix, r.id, r.kind == "stream"));
    if (world_.random(100) < 5)
        return false; // The caller disconnects at once.
    const received_answer answer = c.caller.read_answer(seconds(3));
    check(c, r, answer);
    return answer.is_whole && answer.is_open &&
           answer.bytes.find("Connection: close") == std::string::npos;
}

void soak_callers::check(const connection& c, const sent_request& r,
                         const received_answer& answer)
{
    const std::string end = r.kind == "stream" ? "0\r\n\r\n" : "end of " + r.id;
    check_answer(r.kind, r.id, answer.bytes,
                 answer.is_whole && answer.bytes.ends_with(end));
    if (!answer.is_whole)
        return world_.executions.record_loss(
            {r.id, answer.bytes, r.sent, now(), answer.is_open,
             world_.was_terminated(r.gateway, now())});
    EXPECT_EQ(field_of(answer.bytes, "Attempt-Id"), r.id) << answer.bytes;
    if (r.kind == "added" && !r.must_have_route)
        return;
    EXPECT_FALSE(answer.bytes.starts_with("HTTP/1.1 404"))
        << "no route for " << r.id << ", process " << c.number << ":\n"
        << answer.bytes;
}

void soak_callers::check_answer(const std::string& kind, const std::string& id,
                                const std::string& answer, bool is_complete)
{
    if (answer.size() < 12)
        return;
    const std::string status = answer.substr(9, 3);
    EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos)
        << "two answers to " << id << ":\n"
        << answer;
    if (status == "503")
        return world_.executions.record_refusal(id);
    if (status != "200" || !is_complete)
        return;
    world_.executions.record_success();
    EXPECT_EQ(field_of(answer, "Attempt-Id"), id);
    if (kind != "stream")
        return;
    std::size_t at = 0;
    for (unsigned n = 1; n <= events_in_stream; ++n)
    {
        const std::string event =
            "id: " + std::to_string(n) + "\ndata: " + id + "\n\n";
        const std::size_t found = answer.find(event, at);
        ASSERT_NE(found, std::string::npos)
            << "event " << n << " is missing in:\n"
            << answer;
        EXPECT_EQ(answer.find(event, found + 1), std::string::npos);
        at = found;
    }
}

void soak_callers::expect_recovery()
{
    const unsigned routes = world_.added_routes();
    for (std::size_t i = 0; i < world_.gateway_count(); ++i)
        for (const std::string& prefix :
             {std::string("safe"), "added" + std::to_string(routes - 1)})
        {
            unsigned n = 0;
            const bool has_recovered = testing_support::wait_for(
                [&]
                {
                    world_.step();
                    const std::string id = prefix + "-g" + std::to_string(i) +
                                           "-last-" + std::to_string(++n);
                    return is_served(world_.gateway_at(i).address, prefix, id);
                },
                seconds(12));
            EXPECT_TRUE(has_recovered)
                << "gateway " << i << " does not serve " << prefix;
        }
}

} // namespace poplar::gateway
