// Guards against a gateway process that one entry of another writer ends, or
// that no longer follows the list after it.
#include "tests/platform/object_server.hpp"
#include "tests/platform/odd_entries.hpp"
#include "tests/platform/scripted_upstream.hpp"
#include "tests/system/process.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace poplar::gateway
{
namespace
{

using nlohmann::json;
using platform::entry_text;
using platform::odd_entry;
using testing_support::wait_for;

std::string configuration_text()
{
    return json{{"version", 1},
                {"routes",
                 {{{"name", "r"},
                   {"host", "a.example"},
                   {"pathPrefix", "/x/"},
                   {"service", "desk"},
                   {"routeType", "idempotent"},
                   {"timeoutMs", 2000},
                   {"maxAttempts", 2},
                   {"targetLatencyMs", 500}}}},
                {"services", {{{"name", "desk"}, {"maxConns", 100}}}},
                {"limits",
                 {{"maxHeaderBytes", 8000},
                  {"maxBodyBytes", 100000},
                  {"headerTimeoutMs", 2000},
                  {"idleTimeoutMs", 5000}}}}
        .dump();
}

class gateway_process_test : public testing::Test
{
protected:
    gateway_process_test()
    {
        put("config/main", configuration_text());
    }

    void put(const std::string& key, const std::string& text)
    {
        const object_key k(key);
        ASSERT_EQ(store_.put(k, text, store_.get(k).version).status,
                  store::put_status::written);
    }

    void start()
    {
        gateway_ = std::make_unique<testing_support::child_process>(
            folder_, "gateway", "poplar-gateway",
            "instance = \"g\"\nstore = \"" + to_string(server_.address()) +
                "\"\n");
        gateway_->wait_until_listening();
    }

    std::string status_of_call() const
    {
        scripted_caller c(gateway_->http());
        c.send("GET /x/y HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\n"
               "Deadline-Ms: 2000\r\n\r\n");
        const std::string head = c.read_until("\r\n\r\n");
        return head.size() > 12 ? head.substr(9, 3) : "none";
    }

    bool becomes(const std::string& status)
    {
        EXPECT_TRUE(gateway_->is_running());
        return wait_for(
                   [&] {
                       return !gateway_->is_running() ||
                              status_of_call() == status;
                   },
                   std::chrono::seconds(5)) &&
               gateway_->is_running();
    }

    std::string address_text() const
    {
        return '"' + to_string(upstream_.address()) + '"';
    }

    store::memory_store store_;
    platform::object_server server_{store_};
    scripted_upstream upstream_{
        [](const std::string& head) -> scripted_answer
        {
            return {whole_answer(200, field_of(head, "Attempt-Id"), "x")};
        }};
    testing_support::scratch_folder folder_;
    std::unique_ptr<testing_support::child_process> gateway_;
};

TEST_F(gateway_process_test, follows_the_list_when_it_holds_odd_entries)
{
    for (const odd_entry& it : platform::odd_entries())
        put(std::string("servers/odd-") + it.name, it.text);
    for (const char* prefix : {"config/", "gateways/"})
        for (const odd_entry& it : platform::odd_entries())
            put(prefix + std::string("odd-") + it.name, it.text);
    put("servers/good", entry_text("address", address_text()));
    start();
    EXPECT_TRUE(becomes("200"));
    put("servers/good", entry_text("slots", "1e999"));
    EXPECT_TRUE(becomes("503"));
    put("servers/good", entry_text("address", address_text()));
    EXPECT_TRUE(becomes("200"));
}

TEST_F(gateway_process_test, goes_on_when_odd_entries_arrive_as_changes)
{
    start();
    for (const odd_entry& it : platform::odd_entries())
    {
        SCOPED_TRACE(it.name);
        put("servers/good", entry_text("address", address_text()));
        ASSERT_TRUE(becomes("200"));
        put("servers/good", it.text);
        ASSERT_TRUE(becomes("503"));
    }
}

} // namespace
} // namespace poplar::gateway
