// Guards against streams that are cut because the wrong one of two engines is
// kept: one that has fallen silent, or one that is about to take over.
#include "tests/platform/gateway_fixture.hpp"

namespace poplar::gateway
{
namespace
{

/// The gateway looks for another engine after three quarters of the callers'
/// patience of 2 s.
constexpr duration suspended_after = milliseconds(1500);

json slow_configuration(int version)
{
    json c = configuration_json(version);
    for (json& it : c["routes"])
        it["timeoutMs"] = 3000;
    return c;
}

class suspended_stream : public gateway_test
{
protected:
    void start_slow()
    {
        put("config/main", slow_configuration(1));
        start_without_configuration();
        wait_until_ready();
    }

    /// Sends a stream request to the only engine, then adds a second engine.
    std::string resume(const scripted_upstream& silent,
                       const scripted_upstream& other)
    {
        add_upstream("i-1", silent.address(), "writers", "decode");
        start_slow();
        scripted_caller c(gateway_->address());
        c.send(prompt_request("7"));
        EXPECT_NE(c.read_until("id: 1\n\n").find("id: 1\n\n"),
                  std::string::npos);
        add_upstream("i-2", other.address(), "writers", "decode");
        return c.read_until("0\r\n\r\n", seconds(4));
    }
};

/// Sends one event, then each of `pieces` after `pause`.
scripted_answer silent_stream(const std::string& head,
                              std::vector<std::string> pieces, duration pause)
{
    if (head.starts_with("GET /kv-list"))
        return {whole_answer(404, "", "")};
    return {.bytes =
                stream_head(field_of(head, "Attempt-Id")) + chunk("id: 1\n\n"),
            .pieces = std::move(pieces),
            .pause = pause};
}

scripted_answer resumed_stream(const std::string& head, duration delay)
{
    if (head.starts_with("GET /kv-list"))
        return {whole_answer(404, "", "")};
    return {.bytes = stream_head(field_of(head, "Attempt-Id")) +
                     chunk("id: 2\n\n") + "0\r\n\r\n",
            .delay = delay};
}

struct failing_engine_case
{
    const char* name;
    std::string piece; ///< Sent after each `pause`.
    duration pause;
    bool closes;
};

class failing_engine : public suspended_stream,
                       public testing::WithParamInterface<failing_engine_case>
{
};

// The attempt at the other engine was ended by any input from the silent one.
TEST_P(failing_engine, does_not_end_the_attempt_at_another)
{
    const failing_engine_case& c = GetParam();
    const scripted_upstream silent(
        [&c](const std::string& head)
        {
            scripted_answer a = silent_stream(head, {c.piece}, c.pause);
            a.closes = c.closes && !a.pieces.empty();
            a.repeats_last_piece = !c.closes && !a.pieces.empty();
            return a;
        });
    const scripted_upstream other(
        [](const std::string& head)
        { return resumed_stream(head, milliseconds(700)); });
    EXPECT_EQ(resume(silent, other), chunk("id: 2\n\n") + "0\r\n\r\n");
}

INSTANTIATE_TEST_SUITE_P(
    ways, failing_engine,
    testing::Values(failing_engine_case{"closes", "",
                                        suspended_after + milliseconds(300),
                                        true},
                    failing_engine_case{"closes_within_event", chunk("id: 2\n"),
                                        suspended_after + milliseconds(300),
                                        true},
                    failing_engine_case{"sends_incomplete_events", chunk("x"),
                                        milliseconds(400), false}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::gateway
