// Guards against whole requests that get no whole answer around the SIGTERM of
// their gateway.
#include "tests/platform/gateway_fixture.hpp"

namespace poplar::gateway
{
namespace
{

/// Longer than the drain limit of the fixture.
constexpr duration unanswered = seconds(4);

scripted_answer hang(const std::string& head)
{
    if (head.starts_with("GET /kv-list"))
        return {whole_answer(404, "", "")};
    return {.bytes = "", .delay = unanswered};
}

std::size_t requests_at(const scripted_upstream& u)
{
    return std::size_t(
        std::ranges::count_if(u.heads(), [](const std::string& head)
                              { return !head.starts_with("GET /kv-list"); }));
}

struct open_request_case
{
    const char* name;
    const char* service;
    std::vector<const char*> stages; ///< Of the upstreams, which all hang.
    const char* path;
    const char* tokens; ///< Of a prompt; empty for a call.
    const char* status;
};

class open_request : public gateway_test,
                     public testing::WithParamInterface<open_request_case>
{
protected:
    void begin_shutdown()
    {
        shutdown_ = std::thread(
            [this]
            {
                gateway_->drain();
                gateway_.reset();
            });
    }
    void TearDown() override
    {
        if (shutdown_.joinable())
            shutdown_.join();
    }
    static std::string bytes_of(const open_request_case& c,
                                const std::string& id)
    {
        const std::string tokens = c.tokens;
        return request(c.path, id,
                       tokens.empty()
                           ? ""
                           : "Model: m\r\nToken-Count: " + tokens +
                                 ",20\r\nPrompt-Prefix: aa:" + tokens + "\r\n");
    }

    std::thread shutdown_;
};

// Requests still open at the drain limit had their connections closed.
TEST_P(open_request, is_answered_at_the_drain_limit)
{
    const open_request_case& c = GetParam();
    scripted_upstream u(hang);
    for (std::size_t i = 0; i < c.stages.size(); ++i)
        add_upstream("i-" + std::to_string(i), u.address(), c.service,
                     c.stages[i]);
    start();
    scripted_caller caller(gateway_->address());
    caller.send(bytes_of(c, "1"));
    while (requests_at(u) == 0)
        std::this_thread::sleep_for(milliseconds(5));
    begin_shutdown();
    const std::string answer = caller.read_until("\r\n\r\n");
    EXPECT_EQ(status_of(answer), c.status);
    EXPECT_EQ(field_of(answer, "Attempt-Id"), "1");
    EXPECT_EQ(field_of(answer, "Connection"), "close");
}

INSTANTIATE_TEST_SUITE_P(
    kinds, open_request,
    testing::Values(
        open_request_case{"safe", "desk", {""}, "/safe/x", "", "502"},
        open_request_case{"once", "desk", {""}, "/once/x", "", "502"},
        open_request_case{
            "stream", "writers", {"decode"}, "/stream/x", "100", "502"},
        open_request_case{"split_stream",
                          "writers",
                          {"prefill", "decode"},
                          "/stream/x",
                          "6000",
                          "503"}),
    [](const auto& it) { return it.param.name; });

// A prompt waits for blocks whose prefill for another request is in progress.
TEST_F(gateway_test, refuses_a_prompt_that_waits_for_blocks_when_it_ends)
{
    scripted_upstream u(hang);
    add_upstream("i-1", u.address(), "writers", "decode");
    start();
    const auto send = [this](const std::string& id)
    {
        auto caller = std::make_unique<scripted_caller>(gateway_->address());
        caller->send(request("/stream/x", id,
                             "Model: m\r\nToken-Count: 8100,20\r\n"
                             "Prompt-Prefix: aa:8000,b" +
                                 id + ":100\r\n"));
        return caller;
    };
    const auto first = send("1");
    while (requests_at(u) == 0)
        std::this_thread::sleep_for(milliseconds(5));
    const auto waiting = send("2");
    std::this_thread::sleep_for(milliseconds(50));
    gateway_.reset();
    EXPECT_EQ(status_of(waiting->read_until("\r\n\r\n")), "503");
    EXPECT_EQ(status_of(first->read_until("\r\n\r\n")), "502");
    EXPECT_EQ(requests_at(u), 1U);
}

} // namespace
} // namespace poplar::gateway
