/// A whole entry in this process with fake agents, a store in memory and an
/// HTTP client as its caller.
#pragma once

#include "control/assignments.hpp"
#include "entry/entry.hpp"
#include "entry_fake_agent.hpp"
#include "net/http_client.hpp"
#include "sheet/sheet.hpp"
#include "store/memory_store.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace poplar::entry
{

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline const std::string sheet_text = R"(
[[rank]]
name = "urgent"
first_token_target = "300ms"
token_interval_target = "30ms"
[[rank]]
name = "batch"
first_token_target = "10s"
token_interval_target = "1s"
[[group]]
name = "g"
model = "m"
version = "1"
split_threshold = 100
[[service]]
name = "desk"
once = ["POST /book"]
[[tenant]]
name = "small"
most_urgent_rank = "batch"
)";

template <class Condition>
bool eventually(Condition condition, duration limit = seconds(8))
{
    const mono_time until = now() + limit;
    while (!condition())
    {
        if (now() > until)
            return false;
        std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}

inline fb::load_reportT
engine_report(fb::engine_role role = fb::engine_role::mixed)
{
    fb::load_reportT r;
    r.role = role;
    r.model = "m";
    r.ready = true;
    return r;
}

inline fb::load_reportT service_report(std::vector<std::uint32_t> shards)
{
    fb::load_reportT r;
    r.ready = true;
    r.ledger_shards = std::move(shards);
    return r;
}

inline std::vector<std::uint32_t> all_shards()
{
    std::vector<std::uint32_t> shards(ledger::shard_count);
    for (std::uint32_t i = 0; i < shards.size(); ++i)
        shards[i] = i;
    return shards;
}

/// One exchange whose body can be read slowly.
struct exchange
{
    absl::Mutex mutex;
    std::string body ABSL_GUARDED_BY(mutex);
    bool is_paused ABSL_GUARDED_BY(mutex) = false;
    std::optional<net::client_result> result ABSL_GUARDED_BY(mutex);
    net::exchange_number number = 0;

    bool has_ended()
    {
        absl::MutexLock lock(&mutex);
        return result.has_value();
    }
    std::string text()
    {
        absl::MutexLock lock(&mutex);
        return body;
    }
    net::http_response response()
    {
        absl::MutexLock lock(&mutex);
        return result ? result->response : net::http_response{0, {}, ""};
    }
};

/// Text of the chunks of a whole event stream; empty without its last event.
inline std::string streamed_text(const std::string& body)
{
    std::string text;
    bool is_done = false;
    std::size_t at = 0;
    while ((at = body.find("data: ", at)) != std::string::npos)
    {
        at += 6;
        const std::string data = body.substr(at, body.find("\n\n", at) - at);
        is_done = data == "[DONE]";
        const json event = json::parse(data, nullptr, false);
        if (event.is_object() && event.contains("choices"))
            text += event["choices"][0]["delta"].value("content", "");
    }
    return is_done ? text : "";
}

class entry_path : public testing::Test
{
protected:
    void publish(std::uint64_t generation, const std::string& text = sheet_text)
    {
        sheet::sheet_record record;
        record.generation = sheet_generation(generation);
        record.export_id = std::to_string(generation);
        record.text = text;
        const object_version version = store_.get(sheet::sheet_key).version;
        store_.put(sheet::sheet_key, sheet::to_json(record), version);
    }
    fake_agent& add(fake_agent_options options, const std::string& group = "g")
    {
        store::instance_record r;
        r.instance = instance_id(options.instance);
        r.group = group_id(group);
        r.kind = group == "g" ? store::instance_kind::engine
                              : store::instance_kind::service;
        agents_.push_back(std::make_unique<fake_agent>(std::move(options)));
        r.address = agents_.back()->address();
        records_.push_back(r);
        store_.set_instances(records_);
        return *agents_.back();
    }
    void start(bool with_sheet = true)
    {
        entry_settings s;
        s.instance = instance_id("entry-1");
        s.listen = s.inner_listen = s.admin = {"127.0.0.1", 0};
        s.timeouts.instance_poll = milliseconds(50);
        s.timeouts.close_delay = milliseconds(50);
        s.timeouts.attach_wait = milliseconds(1500);
        s.limits.max_body = byte_count(64 << 10);
        s.limits.max_output = token_count(60000);
        if (with_sheet)
            publish(5);
        running_ = std::make_unique<entry>(s, store_, make_basic_policy({}));
        ASSERT_TRUE(eventually([&] { return usable() == agents_.size(); }));
        ASSERT_TRUE(
            eventually([&] { return running_->is_ready() == with_sheet; }));
    }
    std::size_t usable()
    {
        std::size_t n = 0;
        for (const auto& [group, view] : running_->take_control_view())
            n += static_cast<std::size_t>(std::ranges::count(
                view.agents, unusable_reason::none, &agent_load::why));
        return n;
    }
    static std::string chat_body(std::uint32_t tokens, bool stream,
                                 const std::string& prompt = "a b")
    {
        return json{{"model", "m"},
                    {"stream", stream},
                    {"max_tokens", tokens},
                    {"messages", {{{"role", "user"}, {"content", prompt}}}}}
            .dump();
    }
    net::client_request request(const std::string& path,
                                const std::string& body)
    {
        net::client_request r;
        r.method = body.empty() ? "GET" : "POST";
        r.to = running_->http_address();
        r.path = path;
        r.body = body;
        r.timeout = seconds(30);
        return r;
    }
    net::http_response chat(std::uint32_t tokens, bool stream,
                            const std::string& prompt = "a b")
    {
        return client_
            .fetch(request("/v1/chat/completions",
                           chat_body(tokens, stream, prompt)))
            .response;
    }
    std::shared_ptr<exchange> start_chat(std::uint32_t tokens,
                                         bool is_paused = false)
    {
        auto x = std::make_shared<exchange>();
        x->is_paused = is_paused;
        net::client_hooks h;
        h.body_piece = [x](std::string_view piece)
        {
            absl::MutexLock lock(&x->mutex);
            if (!x->is_paused)
                x->body += piece;
            return !x->is_paused;
        };
        h.done = [x](net::client_result r)
        {
            absl::MutexLock lock(&x->mutex);
            x->result = std::move(r);
        };
        x->number = client_.start(
            request("/v1/chat/completions", chat_body(tokens, true)), h);
        return x;
    }
    net::http_response book(const std::string& key)
    {
        net::client_request r = request("/services/desk/book", "seat 4");
        r.headers = {{"Idempotency-Key", key}};
        return client_.fetch(r).response;
    }
    json admin(const std::string& path)
    {
        net::client_request r;
        r.to = running_->admin_address();
        r.path = path;
        return json::parse(client_.fetch(r).response.body);
    }
    static std::string header(const net::http_response& r, const char* name)
    {
        const std::string* value = net::find_header(r.headers, name);
        return value ? *value : "";
    }

    store::memory_store store_;
    std::vector<store::instance_record> records_;
    std::vector<std::unique_ptr<fake_agent>> agents_;
    net::http_client client_;
    std::unique_ptr<entry> running_;
};

} // namespace poplar::entry
