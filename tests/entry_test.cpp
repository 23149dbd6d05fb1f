// Guards against answers that are lost, truncated or mixed up between HTTP
// callers and agents, and against new work for draining instances.
#include "entry_fixture.hpp"
#include "system/relay.hpp"

namespace poplar::entry
{
namespace
{

std::unique_ptr<fb::call_resultT> done(const fb::callT&)
{
    auto r = std::make_unique<fb::call_resultT>();
    r->state = fb::call_state::done;
    r->status = 201;
    r->body = {'o', 'k'};
    return r;
}

TEST_F(entry_path, streams_and_gives_whole_answers)
{
    add({"e1", engine_report()});
    start();
    const net::http_response streamed = chat(20, true);
    EXPECT_EQ(streamed.status, 200U);
    EXPECT_EQ(streamed_text(streamed.body), whole_answer(20));
    EXPECT_EQ(header(streamed, "Poplar-Ran"), "yes");
    const net::http_response whole = chat(7, false);
    const json body = json::parse(whole.body);
    EXPECT_EQ(body["choices"][0]["message"]["content"], whole_answer(7));
    EXPECT_EQ(body["usage"]["completion_tokens"], 7);
    const std::string id = header(whole, "Poplar-Request-Id");
    const json explained = admin("/explain?request=" + id);
    ASSERT_EQ(explained["decisions"].size(), 3U);
    EXPECT_EQ(explained["decisions"][1]["kind"], "dispatched");
    EXPECT_EQ(explained["decisions"][1]["instance"], "e1");
    const json about = admin("/explain?instance=e1")["decisions"];
    EXPECT_EQ(about[0]["kind"], "instance_connected");
}

TEST_F(entry_path, is_not_ready_without_a_sheet_and_never_reverts)
{
    start(false);
    const net::http_response refused = chat(1, false);
    EXPECT_EQ(refused.status, 503U);
    EXPECT_EQ(header(refused, "Poplar-Ran"), "no");
    EXPECT_NE(header(refused, "Retry-After"), "");
    publish(9);
    ASSERT_TRUE(eventually([&] { return running_->is_ready(); }));
    publish(8);
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_EQ(admin("/status")["sheet_generation"], 9);
}

TEST_F(entry_path, refuses_wrong_requests_with_typed_errors)
{
    start();
    struct wrong
    {
        std::string path, body, tenant, rank, type;
        unsigned status;
    };
    const std::string chat = "/v1/chat/completions";
    const std::string good = chat_body(1, false);
    const std::vector<wrong> table{
        {chat, "{", "t", "", "bad_request", 400},
        {chat, R"({"model":"x","messages":[{"content":"a"}]})", "t", "",
         "unknown_model", 404},
        {chat, good, "t", "best", "unknown_rank", 400},
        {chat, good, "small", "urgent", "rank_not_allowed", 403},
        {chat, chat_body(1, false, std::string(70 << 10, 'a')), "t", "",
         "too_long", 413},
        {chat, good, "t", "", "no_upstream", 503},
        {"/services/none/x", "a", "t", "", "unknown_service", 404},
        {"/services/desk/book", "a", "t", "", "idempotency_key_missing", 400},
        {"/other", "a", "t", "", "not_found", 404}};
    for (const wrong& w : table)
    {
        net::client_request r = request(w.path, w.body);
        r.headers = {{"Poplar-Tenant", w.tenant}, {"Poplar-Rank", w.rank}};
        const net::http_response got = client_.fetch(r).response;
        EXPECT_EQ(got.status, w.status) << w.type;
        EXPECT_EQ(json::parse(got.body)["error"]["type"], w.type);
        EXPECT_EQ(header(got, "Poplar-Ran"), "no") << w.type;
        EXPECT_NE(header(got, "Poplar-Request-Id"), "") << w.type;
    }
}

TEST_F(entry_path, resumes_elsewhere_when_an_agent_is_killed)
{
    add({"e1", engine_report(), 10});
    add({"e2", engine_report(), 10});
    start();
    const auto x = start_chat(30);
    ASSERT_TRUE(eventually(
        [&] { return x->text().find(token_text(9)) != std::string::npos; }));
    const std::size_t first = agents_[0]->opens() == 1 ? 0 : 1;
    agents_[1 - first]->release();
    agents_[first]->kill();
    ASSERT_TRUE(eventually([&] { return x->has_ended(); }));
    EXPECT_EQ(streamed_text(x->text()), whole_answer(30));
    EXPECT_EQ(agents_[1 - first]->last_open().resume_text, whole_answer(10));
}

TEST_F(entry_path, attaches_after_a_lost_connection)
{
    fake_agent& agent = add({"e1", engine_report(), 10});
    start();
    const auto x = start_chat(30);
    ASSERT_TRUE(eventually(
        [&] { return x->text().find(token_text(9)) != std::string::npos; }));
    agent.drop_connections();
    agent.release();
    ASSERT_TRUE(eventually([&] { return x->has_ended(); }));
    EXPECT_EQ(streamed_text(x->text()), whole_answer(30));
    EXPECT_EQ(agent.opens(), 1U);
}

TEST_F(entry_path, drained_instance_gets_no_new_work)
{
    fake_agent& drained = add({"e1", engine_report()});
    add({"e2", engine_report()});
    start();
    publish(6, "drained = [\"e1\"]\n" + sheet_text);
    ASSERT_TRUE(eventually([&] { return usable() == 1; }));
    const std::size_t before = drained.opens();
    for (int i = 0; i < 6; ++i)
        EXPECT_EQ(chat(2, false).status, 200U);
    EXPECT_EQ(drained.opens(), before);
}

TEST_F(entry_path, long_prompts_are_prefilled_elsewhere)
{
    add({"p", engine_report(fb::engine_role::prefill)});
    fake_agent& decode = add({"d", engine_report(fb::engine_role::decode)});
    start();
    std::string prompt;
    for (int i = 0; i < 100; ++i)
        prompt += "w ";
    const net::http_response r = chat(5, true, prompt);
    EXPECT_EQ(streamed_text(r.body), whole_answer(5));
    ASSERT_TRUE(decode.last_open().kv);
    EXPECT_EQ(decode.last_open().kv->handle, "handle");
}

// A caller that does not read must neither use unbounded memory nor slow down
// other callers.
TEST_F(entry_path, slow_reader_is_bounded_and_slows_nobody)
{
    fake_agent& agent = add({"e1", engine_report()});
    start();
    constexpr std::uint32_t tokens = 60000;
    const auto slow = start_chat(tokens, true);
    std::size_t before = 1;
    ASSERT_TRUE(eventually(
        [&]
        {
            std::this_thread::sleep_for(milliseconds(100));
            return std::exchange(before, agent.sent_bytes()) ==
                   agent.sent_bytes();
        }));
    EXPECT_GT(before, 0U);
    EXPECT_LT(before, whole_answer(tokens).size());
    EXPECT_EQ(streamed_text(chat(50, true).body), whole_answer(50));
    EXPECT_FALSE(slow->has_ended());
    {
        absl::MutexLock lock(&slow->mutex);
        slow->is_paused = false;
    }
    client_.resume(slow->number);
    ASSERT_TRUE(eventually([&] { return slow->has_ended(); }));
    EXPECT_EQ(streamed_text(slow->text()), whole_answer(tokens));
}

TEST_F(entry_path, caller_that_leaves_frees_the_engine)
{
    fake_agent& agent = add({"e1", engine_report(), 3});
    start();
    const auto x = start_chat(30);
    ASSERT_TRUE(eventually([&] { return !x->text().empty(); }));
    client_.cancel(x->number);
    EXPECT_TRUE(eventually([&] { return agent.cancels() == 1; }));
    EXPECT_TRUE(
        eventually([&] { return admin("/status")["open_streams"] == 0; }));
}

TEST_F(entry_path, assignments_reach_agents_on_connect_and_on_change)
{
    const object_key key("assignments/g");
    control::group_assignments assigned;
    assigned.assignments = {
        {instance_id("e1"), sheet::engine_role::decode, model_id("m")}};
    const std::string text = control::to_json(assigned);
    const object_version first = store_.put(key, text, {}).version;
    fake_agent& agent = add({"e1", engine_report()});
    start();
    ASSERT_TRUE(eventually([&] { return !agent.assignments().empty(); }));
    EXPECT_EQ(agent.assignments().back().version, first.value);
    const object_version second = store_.put(key, text, first).version;
    ASSERT_TRUE(eventually(
        [&] { return agent.assignments().back().version == second.value; }));
    EXPECT_EQ(agent.assignments().back().role, fb::engine_role::decode);
}

TEST_F(entry_path, once_call_goes_to_the_owner_and_follows_it)
{
    fake_agent& owner = add({"s2", service_report({}), 0, done}, "desk");
    const std::string address = to_string(owner.address());
    const auto elsewhere = [address](const fb::callT&)
    {
        auto r = std::make_unique<fb::call_resultT>();
        r->state = fb::call_state::not_started;
        r->refusal = fb::refusal::wrong_owner;
        r->owner_address = address;
        return r;
    };
    add({"s1", service_report(all_shards()), 0, elsewhere}, "desk");
    start();
    const net::http_response r = book("k1");
    EXPECT_EQ(r.status, 201U);
    EXPECT_EQ(r.body, "ok");
    EXPECT_EQ(header(r, "Poplar-Ran"), "yes");
    EXPECT_EQ(owner.take_overs(), std::vector<bool>{false});
}

TEST_F(entry_path, lost_owner_gives_unknown_then_another_takes_over)
{
    fake_agent& owner =
        add({"s1", service_report(all_shards()), 0, {}}, "desk");
    fake_agent& next = add({"s2", service_report({}), 0, done}, "desk");
    start();
    std::thread killer(
        [&]
        {
            eventually([&] { return !owner.take_overs().empty(); });
            owner.kill();
        });
    const net::http_response lost = book("k1");
    killer.join();
    EXPECT_EQ(lost.status, 504U);
    EXPECT_EQ(header(lost, "Poplar-Ran"), "unknown");
    EXPECT_TRUE(next.take_overs().empty());
    EXPECT_EQ(book("k1").status, 201U);
    EXPECT_EQ(next.take_overs(), std::vector<bool>{true});
}

// A once call whose connection stops delivering data without being closed must
// neither be lost nor reach another owner.
TEST_F(entry_path, once_call_survives_a_silent_connection)
{
    std::atomic<bool> answers = false;
    const auto slow = [&answers](const fb::callT& c)
    {
        return answers ? done(c) : nullptr;
    };
    fake_agent& owner =
        add({"s1", service_report(all_shards()), 0, slow}, "desk");
    fake_agent& other = add({"s2", service_report({}), 0, done}, "desk");
    testing_support::relay path(owner.address());
    records_[0].address = path.address();
    store_.set_instances(records_);
    start();
    std::thread fault(
        [&]
        {
            eventually([&] { return !owner.take_overs().empty(); });
            answers = true;
            path.silence_open_connections();
        });
    const net::http_response r = book("k1");
    fault.join();
    EXPECT_EQ(r.status, 201U);
    EXPECT_EQ(owner.take_overs(), (std::vector<bool>{false, false}));
    EXPECT_TRUE(other.take_overs().empty());
}

TEST_F(entry_path, drain_refuses_new_requests_and_finishes_open_ones)
{
    fake_agent& agent = add({"e1", engine_report(), 3});
    start();
    const auto x = start_chat(30);
    ASSERT_TRUE(eventually([&] { return !x->text().empty(); }));
    std::thread drainer([&] { running_->drain(); });
    ASSERT_TRUE(eventually([&] { return !running_->is_ready(); }));
    const net::http_response refused = chat(1, false);
    if (refused.status != 200) // 0 once the socket is closed.
        EXPECT_TRUE(refused.status == 503 || refused.status == 0);
    else
        ADD_FAILURE() << "new work was taken";
    agent.release();
    drainer.join();
    ASSERT_TRUE(eventually([&] { return x->has_ended(); }));
    EXPECT_EQ(streamed_text(x->text()), whole_answer(30));
}

} // namespace
} // namespace poplar::entry
