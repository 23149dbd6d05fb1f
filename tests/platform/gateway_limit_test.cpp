// Guards against more requests than an upstream announced to accept from all
// gateways together, and against an upstream that is no longer used afterwards.
#include "tests/platform/gateway_fixture.hpp"

#include <atomic>

namespace poplar::gateway
{
namespace
{

bool is_counted(const std::string& head)
{
    return !head.starts_with("GET /kv-list");
}

/// An upstream that announces a limit, and when requests reached it.
class limited_upstream
{
public:
    explicit limited_upstream(std::string limit, bool is_limited = true)
        : is_limited_(is_limited), limit_(std::move(limit)),
          upstream_([this](const std::string& head) { return answer(head); })
    {
    }

    ip_address address() const
    {
        return upstream_.address();
    }
    void set_limited(bool is_limited)
    {
        is_limited_ = is_limited;
    }
    std::size_t requests_between(mono_time first, mono_time last) const
    {
        absl::MutexLock lock(&mutex_);
        return std::size_t(std::ranges::count_if(
            times_, [&](mono_time it) { return it >= first && it < last; }));
    }
    /// Most requests within `span`, from `first` on.
    std::size_t most_requests_in(duration span, mono_time first) const
    {
        absl::MutexLock lock(&mutex_);
        std::size_t most = 0;
        for (auto begin = std::ranges::lower_bound(times_, first);
             begin != times_.end(); ++begin)
        {
            const auto end =
                std::ranges::upper_bound(begin, times_.end(), *begin + span);
            most = std::max(most, std::size_t(end - begin));
        }
        return most;
    }

private:
    scripted_answer answer(const std::string& head)
    {
        const std::string id = field_of(head, "Attempt-Id");
        if (!is_counted(head))
            return {whole_answer(404, "", "")};
        {
            absl::MutexLock lock(&mutex_);
            times_.push_back(now());
        }
        const std::string fields =
            is_limited_ ? "Server-Limit: " + limit_ + "\r\n" : "";
        if (head.starts_with("DELETE"))
            return {whole_answer(200, "", "", fields)};
        if (field_of(head, "Serving-Stage") == "prefill")
            return {.bytes =
                        whole_answer(200, id, R"({"kvHandle":"h"})", fields),
                    .delay = milliseconds(20)};
        if (!head.starts_with("GET /stream/"))
            return {whole_answer(200, id, "end of answer", fields)};
        std::string bytes = stream_head(id);
        bytes.insert(bytes.find("\r\n") + 2, fields);
        return {.bytes = bytes + chunk("id: 1\n\n") + "0\r\n\r\n",
                .delay = milliseconds(20)};
    }

    std::atomic<bool> is_limited_;
    const std::string limit_;
    mutable absl::Mutex mutex_;
    std::vector<mono_time> times_ ABSL_GUARDED_BY(mutex_);
    scripted_upstream upstream_;
};

class limit_test : public gateway_test
{
protected:
    static constexpr unsigned callers_per_gateway = 3;

    void start_gateways(std::size_t count)
    {
        put("config/main", configuration_json(1));
        for (std::size_t i = 0; i < count; ++i)
            gateways_.push_back(make_gateway(i));
        // Longer than the gateways take to read each other's registrations.
        std::this_thread::sleep_for(count > 1 ? seconds(6) : seconds(1));
    }
    std::unique_ptr<gateway> make_gateway(std::size_t i)
    {
        gateway_settings s;
        const ip_address any{"127.0.0.1", 0};
        s.instance = instance_id("g" + std::to_string(i));
        s.failure_domain = failure_domain_id("z");
        s.listen = s.ready = s.admin = s.peer = any;
        s.timeouts.close_delay = milliseconds(0);
        return std::make_unique<gateway>(s, store_);
    }

    /// A long prompt is prefilled on a prefill engine, if there is one.
    static std::string request_for(const std::string& stage,
                                   const std::string& id)
    {
        if (stage.empty())
            return request("/safe/x", id);
        if (stage == "decode")
            return prompt_request(id);
        return request("/stream/x", id,
                       "Model: m\r\nToken-Count: 6000,20\r\n"
                       "Prompt-Prefix: aa" +
                           id + ":4000,bb" + id + ":2000\r\n");
    }
    static bool is_answered(const gateway& g, const std::string& id,
                            const std::string& stage = "")
    {
        scripted_caller c(g.address());
        c.send(request_for(stage, id));
        const std::string end = stage.empty() ? "end of answer" : "0\r\n\r\n";
        return status_of(c.read_until(end, seconds(3))) == "200";
    }

    /// Callers at all gateways send one request after the other for `span`.
    /// Returns the number of requests that were not answered with success.
    unsigned send_for(duration span, const std::string& stage = "")
    {
        const mono_time end = now() + span;
        std::atomic<unsigned> failed = 0;
        std::vector<std::thread> callers;
        callers.reserve(gateways_.size() * callers_per_gateway);
        for (std::size_t i = 0; i < gateways_.size() * callers_per_gateway; ++i)
            callers.emplace_back(
                [&, i]
                {
                    const gateway& g = *gateways_[i % gateways_.size()];
                    for (int n = 0; now() < end; ++n)
                    {
                        const std::string id =
                            std::to_string(i) + "e" + std::to_string(n);
                        failed += is_answered(g, id, stage) ? 0 : 1;
                        std::this_thread::sleep_for(milliseconds(10));
                    }
                });
        for (std::thread& it : callers)
            it.join();
        return failed;
    }

    std::vector<std::unique_ptr<gateway>> gateways_;
};

constexpr duration window = seconds(4);
constexpr duration time_to_learn = milliseconds(500);

/// Requests that may reach a limited upstream within `window`.
std::size_t allowed_in_window(double limit)
{
    return std::size_t(1.5 * limit * 4 + 5);
}

struct limit_case
{
    const char* name;
    std::size_t gateways;
    const char* stage; ///< Of the limited upstream; empty: a plain service.
    double limit;      ///< Requests per second.
};

class announced_limit : public limit_test,
                        public testing::WithParamInterface<limit_case>
{
};

TEST_P(announced_limit, holds_for_all_gateways_together)
{
    const limit_case& p = GetParam();
    const bool is_stream = p.stage[0] != 0;
    limited_upstream limited(std::to_string(p.limit));
    limited_upstream other("", false);
    limited_upstream decode_engine("", false);
    const char* service = is_stream ? "writers" : "desk";
    add_upstream("i-1", limited.address(), service, p.stage);
    add_upstream("i-2", other.address(), service, p.stage);
    if (p.stage == std::string("prefill"))
        add_upstream("i-3", decode_engine.address(), service, "decode");
    start_gateways(p.gateways);
    const mono_time started = now();
    EXPECT_EQ(send_for(seconds(6), p.stage), 0U);
    const mono_time told = started + time_to_learn;
    EXPECT_LE(limited.most_requests_in(window, told),
              allowed_in_window(p.limit));
    // The upstream serves about what it said that it can.
    EXPECT_GE(limited.requests_between(told, told + window),
              std::size_t(p.limit * 4 / 2));
}

INSTANTIATE_TEST_SUITE_P(
    kinds, announced_limit,
    testing::Values(limit_case{"calls_of_one", 1, "", 3.1},
                    limit_case{"calls", 5, "", 4},
                    limit_case{"calls_of_many", 12, "", 2},
                    limit_case{"streams", 5, "decode", 4.6},
                    limit_case{"prefills", 5, "prefill", 3.5}),
    [](const auto& it) { return it.param.name; });

TEST_F(limit_test, ends_when_answers_no_longer_announce_it)
{
    limited_upstream limited("2");
    limited_upstream other("", false);
    add_upstream("i-1", limited.address(), "desk");
    add_upstream("i-2", other.address(), "desk");
    start_gateways(1);
    send_for(seconds(2));
    limited.set_limited(false);
    send_for(seconds(2));
    const mono_time ended = now();
    send_for(seconds(2));
    EXPECT_GT(limited.requests_between(ended, now()), 20U);
}

TEST_F(limit_test, holds_after_a_restart_of_the_gateway)
{
    limited_upstream limited("3");
    limited_upstream other("", false);
    add_upstream("i-1", limited.address(), "desk");
    add_upstream("i-2", other.address(), "desk");
    start_gateways(3);
    send_for(seconds(2));
    gateways_[0].reset();
    gateways_[0] = make_gateway(0);
    std::this_thread::sleep_for(seconds(2));
    const mono_time restarted = now();
    EXPECT_EQ(send_for(seconds(6)), 0U);
    EXPECT_LE(limited.most_requests_in(window, restarted),
              allowed_in_window(3));
}

// Callers that the limit leaves no room for are refused at once, with a time at
// which a request is accepted.
TEST_F(limit_test, is_told_to_callers_when_no_upstream_is_left)
{
    limited_upstream limited("2");
    add_upstream("i-1", limited.address(), "desk");
    start_gateways(1);
    ASSERT_TRUE(is_answered(*gateways_[0], "1"));
    std::this_thread::sleep_for(seconds(1));
    const mono_time before = now();
    ASSERT_TRUE(is_answered(*gateways_[0], "2"));
    const mono_time sent = now();
    scripted_caller c(gateways_[0]->address());
    c.send(request("/safe/x", "3"));
    const std::string refusal = c.read_until("\r\n\r\n");
    EXPECT_LT(now() - sent, milliseconds(100));
    ASSERT_EQ(status_of(refusal), "503");
    const double seconds_to_wait = std::stod(field_of(refusal, "Retry-After"));
    // The second request was admitted at some time after `before`.
    const double passed = double((now() - before).count()) / 1e6;
    EXPECT_GE(seconds_to_wait, 0.5 - passed);
    EXPECT_LE(seconds_to_wait, 0.5 + 0.001);
    std::this_thread::sleep_for(
        milliseconds(std::int64_t(seconds_to_wait * 1000) + 20));
    EXPECT_TRUE(is_answered(*gateways_[0], "4"));
}

} // namespace
} // namespace poplar::gateway
