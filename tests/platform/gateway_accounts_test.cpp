// Guards against requests that run for the wrong client account or without a
// valid key, keys that reach an upstream, and 401 for a key that may be valid.
#include "tests/platform/gateway_fixture.hpp"

#include <atomic>

namespace poplar::gateway
{
namespace
{

json account_json(const char* name, std::vector<std::string> keys)
{
    return {{"name", name}, {"apiKeys", std::move(keys)}};
}

json configuration_with_accounts(int version)
{
    json c = configuration_json(version);
    json open = route_json("/open/", "desk", "idempotent");
    open["public"] = true;
    c["routes"].push_back(open);
    c["tenants"] = {account_json("ada", {"key-of-ada", "second-key"}),
                    account_json("bob", {"key-of-bob"})};
    c["tenants"][1]["priority"] = 2;
    return c;
}

std::string bearer(const std::string& key)
{
    return "Authorization: Bearer " + key + "\r\n";
}

class account_test : public gateway_test
{
protected:
    void start_with(const json& configuration)
    {
        put("config/main", configuration);
        start_without_configuration();
        wait_until_ready();
    }

    /// Answers calls, prefill calls and streams of one event.
    static scripted_answer answer(const std::string& head)
    {
        const std::string id = field_of(head, "Attempt-Id");
        if (head.starts_with("GET /kv-list"))
            return {whole_answer(404, "", "")};
        if (head.starts_with("DELETE"))
            return {whole_answer(200, "", "")};
        if (field_of(head, "Serving-Stage") == "prefill")
            return {whole_answer(200, id, R"({"kvHandle":"h"})")};
        if (head.starts_with("GET /stream/"))
            return {stream_head(id) + chunk("id: 1\n\n") + "0\r\n\r\n"};
        return {whole_answer(200, id, "end of answer")};
    }

    /// Sends requests until one gets this status, for at most 3 s.
    bool gets_status(const std::string& status, const std::string& key)
    {
        const mono_time limit = now() + seconds(3);
        while (now() < limit)
            if (status_of(fetch(request("/safe/x", "1", bearer(key)),
                                "\r\n\r\n")) == status)
                return true;
        return false;
    }

    scripted_upstream upstream_{answer};
};

struct credentials_case
{
    const char* name;
    const char* path;
    const char* fields;
    const char* status;
    const char* account; ///< That the upstream gets; empty: none.
};

class credentials : public account_test,
                    public testing::WithParamInterface<credentials_case>
{
};

TEST_P(credentials, decide_the_account)
{
    add_upstream("i-1", upstream_.address(), "desk");
    start_with(configuration_with_accounts(1));
    const std::string text =
        fetch(request(GetParam().path, "77", GetParam().fields), "\r\n\r\n");
    EXPECT_EQ(status_of(text), GetParam().status);
    const bool is_served = std::string(GetParam().status) == "200";
    ASSERT_EQ(upstream_.heads().size(), is_served ? 1U : 0U);
    if (!is_served)
        return;
    const std::string head = upstream_.heads()[0];
    EXPECT_EQ(field_of(head, "Tenant"), GetParam().account);
    EXPECT_EQ(head.find("Tenant"), head.rfind("Tenant"));
    EXPECT_EQ(head.find("Authorization"), std::string::npos);
    EXPECT_EQ(head.find("key"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    requests, credentials,
    testing::Values(
        credentials_case{"known", "/safe/x",
                         "Authorization: Bearer key-of-ada\r\n", "200", "ada"},
        credentials_case{"second_key", "/safe/x",
                         "authorization: bearer second-key\r\n", "200", "ada"},
        credentials_case{"forged_account", "/once/x",
                         "Tenant: bob\r\nAuthorization: Bearer key-of-ada\r\n"
                         "Tenant: bob\r\n",
                         "200", "ada"},
        credentials_case{"missing", "/safe/x", "", "401", ""},
        credentials_case{"unknown", "/safe/x",
                         "Authorization: Bearer key-of-eve\r\n", "401", ""},
        credentials_case{"other_scheme", "/safe/x",
                         "Authorization: Basic key-of-ada\r\n", "401", ""},
        credentials_case{"no_scheme", "/safe/x",
                         "Authorization: key-of-ada\r\n", "401", ""},
        credentials_case{"repeated", "/safe/x",
                         "Authorization: Bearer key-of-ada\r\n"
                         "Authorization: Bearer key-of-bob\r\n",
                         "401", ""},
        credentials_case{"account_only", "/safe/x", "Tenant: ada\r\n", "401",
                         ""},
        credentials_case{"public_route", "/open/x", "Tenant: ada\r\n", "200",
                         ""},
        credentials_case{"public_with_key", "/open/x",
                         "Authorization: Bearer key-of-bob\r\n", "200", "bob"},
        credentials_case{"public_unknown_key", "/open/x",
                         "Authorization: Bearer key-of-eve\r\n", "200", ""},
        credentials_case{"no_route", "/none/x", "", "404", ""}),
    [](const auto& it) { return it.param.name; });

TEST_F(account_test, without_accounts_the_fields_are_forwarded)
{
    add_upstream("i-1", upstream_.address(), "desk");
    start_with(configuration_json(1));
    fetch(request("/safe/x", "77", bearer("some-key") + "Tenant: t\r\n"));
    ASSERT_EQ(upstream_.heads().size(), 1U);
    EXPECT_EQ(field_of(upstream_.heads()[0], "Authorization"),
              "Bearer some-key");
    EXPECT_EQ(field_of(upstream_.heads()[0], "Tenant"), "t");
}

struct path_case
{
    const char* name;
    const char* path;
    /// How upstreams answer the first call that is not a prefill.
    scripted_answer (*first)(const std::string& id);
    bool splits = false;
};

class account_path : public account_test,
                     public testing::WithParamInterface<path_case>
{
};

// The account has to be stated in every call for a request, not only in the
// first one: prefill, decode, retry and resumption build heads of their own.
TEST_P(account_path, states_the_account_and_never_the_key)
{
    std::atomic<bool> is_first = true;
    const auto script = [&](const std::string& head) -> scripted_answer
    {
        const bool is_own =
            head.starts_with("GET /kv-list") || head.starts_with("DELETE");
        if (is_own || field_of(head, "Serving-Stage") == "prefill" ||
            !is_first.exchange(false))
            return answer(head);
        return GetParam().first(field_of(head, "Attempt-Id"));
    };
    scripted_upstream a(script);
    scripted_upstream b(script);
    scripted_upstream c(script);
    add_upstream("d-1", a.address(), "desk");
    add_upstream("d-2", b.address(), "desk");
    add_upstream("w-1", a.address(), "writers", "decode");
    add_upstream("w-2", b.address(), "writers", "decode");
    if (GetParam().splits)
        add_upstream("w-3", c.address(), "writers", "prefill");
    start_with(configuration_with_accounts(1));
    fetch(request(GetParam().path, "77",
                  bearer("key-of-ada") + "Tenant: bob\r\n" +
                      "Model: m\r\nToken-Count: 9000,20\r\n"
                      "Prompt-Prefix: aa:6000,bb:3000\r\n"),
          GetParam().path == std::string("/stream/x") ? "0\r\n\r\n"
                                                      : "end of answer");
    std::size_t calls = 0;
    for (const scripted_upstream* u : {&a, &b, &c})
        for (const std::string& head : u->heads())
        {
            EXPECT_EQ(head.find("key-of"), std::string::npos) << head;
            if (field_of(head, "Attempt-Id") != "77")
                continue;
            ++calls;
            EXPECT_EQ(field_of(head, "Tenant"), "ada") << head;
        }
    EXPECT_GE(calls, 2U);
}

scripted_answer not_executed(const std::string& id)
{
    return {whole_answer(503, id, "", "Not-Executed: 1\r\n")};
}

scripted_answer reset_connection(const std::string& /*id*/)
{
    return {.bytes = "", .resets = true};
}

scripted_answer broken_stream(const std::string& id)
{
    return {.bytes = stream_head(id) + chunk("id: 1\n\nid: 2"), .closes = true};
}

INSTANTIATE_TEST_SUITE_P(
    paths, account_path,
    testing::Values(path_case{"rejected_call", "/once/x", not_executed},
                    path_case{"lost_call", "/safe/x", reset_connection},
                    path_case{"rejected_stream", "/stream/x", not_executed},
                    path_case{"resumed_stream", "/stream/x", broken_stream},
                    path_case{"moved_decode", "/stream/x", not_executed, true},
                    path_case{"resumed_split", "/stream/x", broken_stream,
                              true}),
    [](const auto& it) { return it.param.name; });

TEST_F(account_test, priority_of_the_account_comes_before_that_of_the_route)
{
    add_upstream("i-1", upstream_.address(), "writers", "decode");
    start_with(configuration_with_accounts(1));
    for (const char* key : {"key-of-ada", "key-of-bob"})
        fetch(request("/stream/x", key,
                      bearer(key) + "Model: m\r\nToken-Count: 100,20\r\n"
                                    "Prompt-Prefix: aa:60,bb:40\r\n"),
              "0\r\n\r\n");
    std::map<std::string, std::string> priorities;
    for (const std::string& it : upstream_.heads())
        priorities[field_of(it, "Tenant")] = field_of(it, "Request-Priority");
    // Bob's account has priority 2; Ada's has none, so that of the route
    // counts.
    EXPECT_EQ(priorities["ada"], "0");
    EXPECT_EQ(priorities["bob"], "1");
}

TEST_F(account_test, answers_503_without_a_configuration)
{
    start_without_configuration();
    EXPECT_EQ(status_of(fetch(request("/safe/x", "1", bearer("key-of-ada")),
                              "\r\n\r\n")),
              "503");
}

TEST_F(account_test, keys_change_with_the_configuration_and_never_go_back)
{
    add_upstream("i-1", upstream_.address(), "desk");
    start_with(configuration_with_accounts(3));
    json changed = configuration_with_accounts(4);
    changed["tenants"][0]["apiKeys"] = {"second-key", "new-key"};
    put("config/main", changed);
    EXPECT_TRUE(gets_status("401", "key-of-ada"));
    EXPECT_TRUE(gets_status("200", "new-key"));
    EXPECT_TRUE(gets_status("200", "second-key"));
    put("config/main", configuration_with_accounts(2));
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(status_of(fetch(request("/safe/x", "1", bearer("key-of-ada")),
                              "\r\n\r\n")),
              "401");
}

// A kept connection and a stream that has begun outlive the key: the stream
// goes on, the next request on the connection is refused.
TEST_F(account_test, a_removed_key_does_not_cut_a_stream)
{
    scripted_upstream slow(
        [](const std::string& head) -> scripted_answer
        {
            if (!head.starts_with("GET /stream/"))
                return answer(head);
            return {.bytes = stream_head(field_of(head, "Attempt-Id")) +
                             chunk("id: 1\n\n"),
                    .pieces = {chunk("id: 2\n\n"), "0\r\n\r\n"},
                    .pause = milliseconds(600)};
        });
    add_upstream("w-1", slow.address(), "writers", "decode");
    add_upstream("i-1", upstream_.address(), "desk");
    start_with(configuration_with_accounts(1));
    scripted_caller c(gateway_->address());
    c.send(request("/stream/x", "1",
                   bearer("key-of-ada") + "Model: m\r\n"
                                          "Token-Count: 100,20\r\n"));
    c.read_until("id: 1");
    json changed = configuration_with_accounts(2);
    changed["tenants"].erase(0);
    put("config/main", changed);
    EXPECT_TRUE(c.read_until("0\r\n\r\n").ends_with("0\r\n\r\n"));
    c.send(request("/safe/x", "2", bearer("key-of-ada")));
    EXPECT_EQ(status_of(c.read_until("\r\n\r\n")), "401");
}

// A caller does not retry after 401, and the key may be one that a newer
// configuration adds, which this gateway has not read.
TEST_F(account_test, answers_503_to_unknown_keys_while_the_store_is_down)
{
    add_upstream("i-1", upstream_.address(), "desk");
    start_with(configuration_with_accounts(1));
    EXPECT_TRUE(gets_status("401", "key-of-eve"));
    store_.set_faults({.outage = true});
    // Longer than the last watch and the time to apply a configuration.
    std::this_thread::sleep_for(milliseconds(3500));
    const std::string text =
        fetch(request("/safe/x", "1", bearer("key-of-eve")), "\r\n\r\n");
    EXPECT_EQ(status_of(text), "503");
    EXPECT_NE(text.find("Retry-After: "), std::string::npos);
    EXPECT_EQ(status_of(fetch(request("/safe/x", "2", bearer("key-of-ada")))),
              "200");
    EXPECT_EQ(status_of(fetch(request("/safe/x", "3"), "\r\n\r\n")), "401");
    store_.set_faults({});
    EXPECT_TRUE(gets_status("401", "key-of-eve"));
}

} // namespace
} // namespace poplar::gateway
