/// A small engine over net::http_server for the agent's tests.
#pragma once

#include "net/http_server.hpp"

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace poplar::tests
{

/// Token i of every answer.
inline std::string token_text(std::uint32_t i)
{
    return "t" + std::to_string(i) + " ";
}

inline std::string answer_text(std::uint32_t from, std::uint32_t to)
{
    std::string text;
    for (std::uint32_t i = from; i < to; ++i)
        text += token_text(i);
    return text;
}

class fake_engine
{
public:
    /// Streams stop after this many tokens until `release`; 0: no stop.
    std::atomic<std::uint32_t> hold_after{0};
    /// The next orders are carried out but their answers are lost.
    std::atomic<bool> loses_order_answers{false};
    std::atomic<bool> leaves_out_tokens{false};

    explicit fake_engine(std::string role = "mixed")
        : role_(std::move(role)),
          server_({{"127.0.0.1", 0}, 2},
                  [this](const net::http_request& request,
                         const net::responder_ptr& answer)
                  { handle(request, answer); })
    {
    }

    ip_address address() const
    {
        return server_.address();
    }

    /// Lets held streams go on to their end.
    void release()
    {
        hold_after = 0;
        absl::MutexLock lock(&mutex_);
        for (auto& [id, held] : held_)
            write_rest(held);
        held_.clear();
    }

    void restart_as(const std::string& role)
    {
        absl::MutexLock lock(&mutex_);
        role_ = role;
    }

    std::size_t requests() const
    {
        absl::MutexLock lock(&mutex_);
        return requests_;
    }

    std::size_t runs(const std::string& id) const
    {
        absl::MutexLock lock(&mutex_);
        const auto it = runs_.find(id);
        return it == runs_.end() ? 0 : it->second;
    }

    std::size_t total_runs() const
    {
        absl::MutexLock lock(&mutex_);
        return total_runs_;
    }

    bool was_cancelled(const std::string& id) const
    {
        absl::MutexLock lock(&mutex_);
        return cancelled_.contains(id);
    }

    std::vector<nlohmann::json> orders() const
    {
        absl::MutexLock lock(&mutex_);
        return orders_;
    }

    /// Streams that were running when an order arrived.
    std::size_t cut_streams() const
    {
        absl::MutexLock lock(&mutex_);
        return cut_streams_;
    }

private:
    struct held_stream
    {
        net::responder_ptr answer;
        std::uint32_t next = 0;
        std::uint32_t end = 0;
    };

    void handle(const net::http_request& request,
                const net::responder_ptr& answer)
    {
        absl::MutexLock lock(&mutex_);
        ++requests_;
        if (request.path == "/v1/generate")
            return generate(nlohmann::json::parse(request.body), answer);
        if (request.path == "/v1/prefill")
            return answer->respond(net::json_response(
                200, R"({"handle":"h1","prompt_tokens":7,"cached_tokens":3})"));
        if (request.path == "/v1/cancel")
            return cancel(nlohmann::json::parse(request.body), answer);
        if (request.path == "/v1/orders")
            return order(nlohmann::json::parse(request.body), answer);
        answer->respond(net::json_response(200, report(request.path)));
    }

    std::string report(const std::string& path) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        if (path == "/v1/state")
            return nlohmann::json{{"role", role_},
                                  {"model", "m"},
                                  {"version", "1"},
                                  {"adapters", nlohmann::json::array()},
                                  {"changing", false}}
                .dump();
        if (path == "/v1/load")
            return R"({"running":2,"kv_pieces_total":1000})";
        return R"({"events":[{"seq":1,"kind":"add","block":77}],"next":1})";
    }

    static void write_token(const net::responder_ptr& answer, std::uint32_t i)
    {
        answer->write(
            nlohmann::json{{"offset", i}, {"text", token_text(i)}}.dump() +
            "\n");
    }

    static void write_rest(const held_stream& s)
    {
        for (std::uint32_t i = s.next; i < s.end; ++i)
            write_token(s.answer, i);
        s.answer->write("{\"done\":true,\"prompt_tokens\":5}\n");
        s.answer->finish();
    }

    void generate(const nlohmann::json& body, const net::responder_ptr& answer)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        const std::string id = body.at("request_id");
        ++runs_[id];
        ++total_runs_;
        held_stream s{answer, body.at("resume_tokens"), body.at("max_tokens")};
        answer->begin(200, {});
        if (leaves_out_tokens)
            ++s.next;
        if (hold_after == 0)
            return write_rest(s);
        const std::uint32_t until = std::min(s.end, s.next + hold_after);
        for (; s.next < until; ++s.next)
            write_token(answer, s.next);
        held_[id] = std::move(s);
    }

    void cancel(const nlohmann::json& body, const net::responder_ptr& answer)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        const std::string id = body.at("request_id");
        cancelled_.insert(id);
        const auto it = held_.find(id);
        if (it != held_.end())
            it->second.answer->abort();
        held_.erase(id);
        answer->respond(net::json_response(200, "{}"));
    }

    void order(const nlohmann::json& body, const net::responder_ptr& answer)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        orders_.push_back(body);
        cut_streams_ += held_.size();
        role_ = body.at("role");
        if (loses_order_answers)
            return answer->abort();
        answer->respond(net::json_response(202, "{}"));
    }

    mutable absl::Mutex mutex_;
    std::string role_ ABSL_GUARDED_BY(mutex_);
    std::size_t requests_ ABSL_GUARDED_BY(mutex_) = 0;
    std::size_t total_runs_ ABSL_GUARDED_BY(mutex_) = 0;
    std::size_t cut_streams_ ABSL_GUARDED_BY(mutex_) = 0;
    std::map<std::string, std::size_t> runs_ ABSL_GUARDED_BY(mutex_);
    std::map<std::string, held_stream> held_ ABSL_GUARDED_BY(mutex_);
    std::set<std::string> cancelled_ ABSL_GUARDED_BY(mutex_);
    std::vector<nlohmann::json> orders_ ABSL_GUARDED_BY(mutex_);
    net::http_server server_; ///< Last: its threads use the rest.
};

} // namespace poplar::tests
