// Guards against prompts that crash each engine that runs them and are sent to
// one engine after the other.
#include "tests/platform/gateway_fixture.hpp"

namespace poplar::gateway
{
namespace
{

constexpr unsigned engine_count = 6;
/// Crashes after which requests with the block must no longer reach engines,
/// but for those that were on their way.
constexpr unsigned max_crashes = 5;
constexpr unsigned max_late_requests = 3;

/// Engines that end when they begin to answer a prompt with the block "dead",
/// and start again at another address.
class crashing_engines : public gateway_test
{
protected:
    void SetUp() override
    {
        for (unsigned i = 0; i < engine_count; ++i)
            start_engine(i);
        start();
    }

    void TearDown() override
    {
        gateway_.reset();
    }

    struct engine
    {
        std::unique_ptr<scripted_upstream> process;
        std::string id;
        std::atomic<bool> has_crashed = false;
    };

    void start_engine(unsigned i)
    {
        engine& e = engines_.at(i);
        e.has_crashed = false;
        e.process = std::make_unique<scripted_upstream>(
            [this, &e](const std::string& head) { return answer(e, head); });
        e.id = "i-" + std::to_string(++starts_);
        add_upstream(e.id, e.process->address(), "writers", "decode");
    }

    scripted_answer answer(engine& e, const std::string& head)
    {
        const std::string id = field_of(head, "Attempt-Id");
        if (head.starts_with("GET /kv-list"))
            return {whole_answer(404, "", "")};
        if (e.has_crashed)
            return {.bytes = "", .resets = true};
        const bool is_fatal =
            field_of(head, "Prompt-Prefix").find("dead:") != std::string::npos;
        if (!is_fatal)
            return {stream_head(id) + chunk("id: 1\n\n") + "0\r\n\r\n"};
        e.has_crashed = true;
        ++fatal_requests_;
        return {.bytes = stream_head(id), .closes = true};
    }

    /// Ends the processes of engines that have crashed, starts others and waits
    /// until the gateway has read their entries.
    void restart_engines()
    {
        const unsigned before = crashes_;
        for (unsigned i = 0; i < engine_count; ++i)
        {
            engine& e = engines_.at(i);
            if (!e.has_crashed)
                continue;
            e.process.reset();
            ++crashes_;
            const object_key entry("servers/" + e.id);
            store_.remove(entry, store_.get(entry).version);
            start_engine(i);
        }
        if (crashes_ > before)
            std::this_thread::sleep_for(milliseconds(500));
    }

    /// A prompt whose last block is its own.
    std::string prompt(const std::string& blocks)
    {
        const std::string id = std::to_string(++requests_);
        return request("/stream/x", id,
                       "Model: m\r\nToken-Count: 200,20\r\nPrompt-Prefix: " +
                           blocks + ",ff" + id + ":40\r\n");
    }

    std::string send(const std::string& blocks)
    {
        return status_of(fetch(prompt(blocks), "0\r\n\r\n"));
    }

    void crash_engines()
    {
        for (unsigned n = 0; n < 40 && crashes_ < max_crashes; ++n)
        {
            send("aa:100,dead:50");
            restart_engines();
            EXPECT_EQ(send("aa:100,bb:50"), "200");
        }
    }

    std::array<engine, engine_count> engines_;
    std::atomic<unsigned> fatal_requests_ = 0;
    unsigned starts_ = 0;
    unsigned crashes_ = 0;
    unsigned requests_ = 0;
};

TEST_F(crashing_engines, get_no_more_prompts_with_the_block_that_crashes_them)
{
    crash_engines();
    const unsigned before = fatal_requests_;
    std::string refusal;
    for (unsigned n = 0; n < 10; ++n)
    {
        refusal = fetch(prompt("aa:100,dead:50"), "\r\n\r\n");
        restart_engines();
        EXPECT_EQ(send("aa:100,bb:50"), "200");
        EXPECT_EQ(send("aa:100,cc" + std::to_string(n) + ":50"), "200");
    }
    EXPECT_LE(fatal_requests_ - before, max_late_requests);
    EXPECT_EQ(status_of(refusal), "503");
    EXPECT_NE(field_of(refusal, "Retry-After"), "");
}

// A gateway that has seen no crash itself went on sending such prompts.
TEST_F(crashing_engines, get_no_such_prompts_from_other_gateways)
{
    gateway_settings s;
    s.instance = instance_id("other");
    s.failure_domain = failure_domain_id("z");
    s.listen = s.ready = s.admin = s.peer = {"127.0.0.1", 0};
    gateway other(s, store_);
    crash_engines();
    std::this_thread::sleep_for(milliseconds(1500));
    const unsigned before = fatal_requests_;
    scripted_caller c(other.address());
    c.send(prompt("aa:100,dead:50"));
    EXPECT_EQ(status_of(c.read_until("\r\n\r\n")), "503");
    EXPECT_EQ(fatal_requests_, before);
}

} // namespace
} // namespace poplar::gateway
