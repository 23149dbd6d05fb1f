// Guards against an end of a stream that claims too much or too little, and
// against engine answers that the agent cannot read.
#include "agent/settings.hpp"
#include "agent/slot.hpp"
#include "agent/stream.hpp"
#include "store/memory_store.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace poplar::agent
{
namespace
{

using net::client_failure;

const ip_address engine{"127.0.0.1", 8000};

struct end_case
{
    client_failure failure;
    unsigned status;
    const char* body; ///< As received in pieces.
    bool has_kv;
    fb::end_reason reason;
    fb::refusal refusal;
    fb::ran_state ran;
};

class stream_ends : public testing::TestWithParam<end_case>
{
};

TEST_P(stream_ends, say_what_is_known)
{
    const end_case& c = GetParam();
    fb::open_streamT open;
    open.request = std::make_unique<fb::request_id>(1, 2);
    open.window_bytes = 64 << 10;
    if (c.has_kv)
        open.kv = std::make_unique<fb::kv_sourceT>();
    stream s(open, mono_time());
    take_engine_bytes(s, c.body);
    take_engine_bytes(s, "\n");
    net::client_result result;
    result.failure = c.failure;
    result.response.status = c.status;
    const fb::stream_endT end = end_of(s, result, engine);
    EXPECT_EQ(end.reason, c.reason) << end.message;
    EXPECT_EQ(end.refusal, c.refusal);
    EXPECT_EQ(end.ran, c.ran);
}

constexpr const char* token = "{\"offset\":0,\"text\":\"a\"}";
constexpr const char* whole = "{\"offset\":0,\"text\":\"a\"}\n{\"done\":true}";
constexpr const char* gap = "{\"offset\":1,\"text\":\"a\"}\n{\"done\":true}";

INSTANTIATE_TEST_SUITE_P(
    table, stream_ends,
    testing::Values(
        end_case{client_failure::none, 200, whole, false,
                 fb::end_reason::complete, fb::refusal::none,
                 fb::ran_state::yes},
        end_case{client_failure::none, 200, token, false,
                 fb::end_reason::upstream_lost, fb::refusal::none,
                 fb::ran_state::yes},
        end_case{client_failure::none, 200, gap, false,
                 fb::end_reason::upstream_lost, fb::refusal::none,
                 fb::ran_state::yes},
        end_case{client_failure::broken, 200, token, false,
                 fb::end_reason::upstream_lost, fb::refusal::none,
                 fb::ran_state::yes},
        end_case{client_failure::timed_out, 0, "", false,
                 fb::end_reason::upstream_lost, fb::refusal::none,
                 fb::ran_state::unknown},
        end_case{client_failure::not_connected, 0, "", false,
                 fb::end_reason::refused, fb::refusal::not_ready,
                 fb::ran_state::no},
        end_case{client_failure::none, 503, "{\"error\":\"changing\"}", false,
                 fb::end_reason::refused, fb::refusal::overloaded,
                 fb::ran_state::no},
        end_case{client_failure::none, 409, "{\"error\":\"wrong_role\"}", false,
                 fb::end_reason::refused, fb::refusal::not_ready,
                 fb::ran_state::no},
        end_case{client_failure::none, 409, "{\"error\":\"kv\"}", true,
                 fb::end_reason::invalid, fb::refusal::none, fb::ran_state::no},
        end_case{client_failure::none, 400, "no JSON", false,
                 fb::end_reason::invalid, fb::refusal::none, fb::ran_state::no},
        end_case{client_failure::none, 500, "", false,
                 fb::end_reason::upstream_lost, fb::refusal::none,
                 fb::ran_state::unknown}));

RC_GTEST_PROP(stream, reads_an_answer_cut_anywhere, ())
{
    fb::open_streamT open;
    open.request = std::make_unique<fb::request_id>(1, 2);
    open.window_bytes = 64 << 10;
    stream s(open, mono_time());
    const std::string bytes = std::string(whole) + "\n";
    const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
    take_engine_bytes(s, std::string_view(bytes).substr(0, cut));
    take_engine_bytes(s, std::string_view(bytes).substr(cut));
    RC_ASSERT(s.done.has_value());
    RC_ASSERT(s.output.take(100)->text == "a");
}

RC_GTEST_PROP(engine_api, fails_typed_on_any_text, (const std::string& text))
{
    for (const std::string& body : {text, "{\"offset\":" + text + "}",
                                    "{\"events\":[" + text + "],\"next\":1}"})
    {
        try
        {
            parse_engine_line(body);
            parse_cache_changes(body, 0);
        }
        catch (const parse_error&)
        {
            continue;
        }
    }
}

TEST(engine_api, finds_gaps_in_cache_events)
{
    const auto parse = [](const char* events, const char* next)
    {
        return parse_cache_changes(std::string("{\"events\":[") + events +
                                       "],\"next\":" + next + "}",
                                   4);
    };
    const auto good = parse(R"({"seq":5,"kind":"add","block":"ff"},
                              {"seq":6,"kind":"remove","block":9})",
                            "6");
    EXPECT_FALSE(good.has_gap);
    ASSERT_EQ(good.changes.size(), 2U);
    EXPECT_EQ(good.changes[0].block, 255U);
    EXPECT_TRUE(parse(R"({"seq":6,"kind":"add","block":1})", "6").has_gap);
    EXPECT_TRUE(parse(R"({"seq":5,"kind":"clear"})", "5").has_gap);
    EXPECT_TRUE(parse("", "0").has_gap); // The engine started again.
    EXPECT_FALSE(parse("", "4").has_gap);
}

TEST(slot, keeps_its_incarnation_when_the_answer_to_the_write_is_lost)
{
    store::memory_store store;
    const instance_id e1("e1");
    EXPECT_EQ(take_slot(store, e1, engine, "a").value, 1U);
    store::store_faults faults;
    faults.lose_answers = 1;
    store.set_faults(faults);
    EXPECT_THROW(take_slot(store, e1, engine, "b"), store::store_error);
    EXPECT_EQ(take_slot(store, e1, engine, "b").value, 2U);
    EXPECT_EQ(read_slot(store, e1).value, 2U);
}

TEST(slot, gives_no_incarnation_out_again_after_a_restore)
{
    store::memory_store store;
    const instance_id e1("e1");
    const auto empty = store.make_copy();
    take_slot(store, e1, engine, "a");
    const auto copy = store.make_copy();
    const agent_incarnation last = take_slot(store, e1, engine, "b");
    store.restore(copy);
    const agent_incarnation next = take_slot(store, e1, engine, "c");
    EXPECT_GT(next, last);
    store.restore(empty);
    EXPECT_GT(take_slot(store, e1, engine, "c"), next);
}

TEST(agent_settings, reports_every_fault)
{
    auto r = settings::reader::from_text("instance = 'e'\nkind = 'x'\n"
                                         "[streams]\nkeep_time = '1h'\n",
                                         "a.toml");
    try
    {
        parse_settings(r);
        FAIL() << "no fault reported";
    }
    catch (const settings::settings_error& ec)
    {
        const std::string all = ec.what();
        for (const char* key : {"kind", "streams.keep_time", "group",
                                "upstream", "listen", "platform"})
            EXPECT_NE(all.find(key), std::string::npos) << key;
    }
}

} // namespace
} // namespace poplar::agent
