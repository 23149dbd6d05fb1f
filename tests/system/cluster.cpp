#include "tests/system/cluster.hpp"

#include "base/error.hpp"
#include "standin/common/tokens.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <fstream>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace poplar::testing_support
{

namespace
{

using nlohmann::json;

constexpr const char* group_name = "writers";
constexpr const char* service_name = "desk";

/// A port that was free a moment ago.
unsigned free_port()
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof at;
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
        throw system_failure("bind", errno);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &n);
    close(fd);
    return ntohs(at.sin_port);
}

std::string quoted(const ip_address& a)
{
    return "\"" + to_string(a) + "\"";
}

std::string list_of(const std::vector<std::string>& names)
{
    std::string text = "[";
    for (const std::string& it : names)
        text += (text.size() > 1 ? ", \"" : "\"") + it + "\"";
    return text + "]";
}

std::string header_value(const net::http_response& r, const char* name)
{
    const std::string* value = net::find_header(r.headers, name);
    return value ? *value : "";
}

} // namespace

cluster::cluster(cluster_options options) : options_(std::move(options))
{
    start_platform();
    engines.resize(options_.engines);
    services.resize(options_.services);
    entries.resize(options_.entries);
    for (std::size_t i = 0; i < engines.size(); ++i)
    {
        engines[i].name = "engine-" + std::to_string(i);
        engines[i].kind = "engine";
        start_upstream(engines[i], {"127.0.0.1", 0});
        start_agent(engines[i]);
    }
    for (std::size_t i = 0; i < services.size(); ++i)
    {
        services[i].name = "desk-" + std::to_string(i);
        services[i].kind = "service";
        start_upstream(services[i], {"127.0.0.1", 0});
        start_agent(services[i]);
    }
    apply(sheet_text({}));
    for (std::size_t i = 0; i < entries.size(); ++i)
    {
        entries[i].name = "entry-" + std::to_string(i);
        start_entry(entries[i]);
    }
}

cluster::~cluster() = default;

void cluster::start_platform()
{
    platform = std::make_unique<child_process>(folder_, "platform",
                                               "standin-platform", "");
    platform->wait_until_listening();
}

std::string cluster::domain_of(const std::string& name) const
{
    return "fd-" + std::to_string((name.back() - '0') % 3);
}

ip_address cluster::platform_for(const std::unique_ptr<relay>& r) const
{
    return r ? r->address() : platform->http();
}

void cluster::start_upstream(upstream_slot& slot, const ip_address& at)
{
    const bool is_engine = slot.kind == "engine";
    std::string s = "listen = " + quoted(at) + "\n";
    if (is_engine)
        s += "role = \"mixed\"\nmodel = \"m\"\nversion = \"1\"\n"
             "decode_step = \"2ms\"\nrole_change_time = \"500ms\"\n"
             "model_load_time = \"500ms\"\nchecks_fencing = " +
             std::string(options_.checks_fencing ? "true" : "false") + "\n" +
             options_.engine_settings;
    else
        s += "name = \"" + slot.name + "\"\n" + options_.service_settings;
    slot.upstream = std::make_unique<child_process>(
        folder_, slot.name + "-" + std::to_string(++starts_),
        is_engine ? "standin-engine" : "standin-service", s);
    slot.upstream->wait_until_listening();
}

void cluster::restart_upstream(upstream_slot& slot)
{
    start_upstream(slot, slot.upstream->http());
}

std::unique_ptr<child_process> cluster::make_agent(upstream_slot& slot)
{
    const bool is_engine = slot.kind == "engine";
    std::string s = "instance = \"" + slot.name + "\"\n";
    s += std::string("group = \"") + (is_engine ? group_name : service_name) +
         "\"\n";
    s += "region = \"alpi-nord\"\nfailure_domain = \"" + domain_of(slot.name) +
         "\"\n";
    s += "kind = \"" + slot.kind + "\"\n";
    s += "upstream = " + quoted(slot.upstream->http()) + "\n";
    s += "listen = \"127.0.0.1:0\"\n";
    s += "platform = " + quoted(platform_for(slot.platform_relay)) + "\n";
    s += "slot_lock_port = " + std::to_string(slot.lock_port) + "\n";
    s += "checks_fencing = " +
         std::string(is_engine && options_.checks_fencing ? "true" : "false") +
         "\n" + options_.agent_settings;
    return std::make_unique<child_process>(
        folder_, slot.name + "-agent-" + std::to_string(++starts_),
        "poplar-agent", s);
}

void cluster::start_agent(upstream_slot& slot)
{
    slot.lock_port = free_port();
    if (options_.relay_platform)
        slot.platform_relay = std::make_unique<relay>(platform->http());
    slot.agent = make_agent(slot);
    slot.agent->wait_until_listening();
    if (options_.relay_agents)
        slot.agent_relay = std::make_unique<relay>(slot.agent->inner());
    list_instance(slot, "live");
}

std::unique_ptr<child_process> cluster::replace_agent(upstream_slot& slot)
{
    std::unique_ptr<child_process> old = std::move(slot.agent);
    slot.agent = make_agent(slot);
    slot.agent->wait_until_listening();
    if (slot.agent_relay)
        slot.agent_relay->set_target(slot.agent->inner());
    list_instance(slot, "live");
    return old;
}

void cluster::start_entry(entry_slot& slot)
{
    if (options_.relay_platform && !slot.platform_relay)
        slot.platform_relay = std::make_unique<relay>(platform->http());
    const std::string s = "instance = \"" + slot.name +
                          "\"\nregion = \"alpi-nord\"\nfailure_domain = \"" +
                          domain_of(slot.name) + "\"\nplatform = " +
                          quoted(platform_for(slot.platform_relay)) + "\n" +
                          options_.entry_settings;
    slot.process = std::make_unique<child_process>(
        folder_, slot.name + "-" + std::to_string(++starts_), "poplar-entry",
        s);
    slot.process->wait_until_listening();
    slot.http->set(slot.process->http());
    list_entry(slot, "live");
}

void cluster::list_instance(const upstream_slot& slot, const std::string& state)
{
    const ip_address at =
        slot.agent_relay ? slot.agent_relay->address() : slot.agent->inner();
    post(platform->http(), "PUT", "/admin/instances/" + slot.name,
         {{"instance", slot.name},
          {"kind", slot.kind},
          {"group", slot.kind == "engine" ? group_name : service_name},
          {"region", "alpi-nord"},
          {"failure_domain", domain_of(slot.name)},
          {"address", to_string(at)},
          {"state", state}});
}

void cluster::list_entry(const entry_slot& slot, const std::string& state)
{
    post(platform->http(), "PUT", "/admin/instances/" + slot.name,
         {{"instance", slot.name},
          {"kind", "entry"},
          {"group", ""},
          {"region", "alpi-nord"},
          {"failure_domain", domain_of(slot.name)},
          {"address", to_string(slot.process->inner())},
          {"state", state}});
}

std::string cluster::sheet_text(const std::vector<std::string>& drained,
                                const std::string& group_extra) const
{
    std::string s = "drained = " + list_of(drained) + "\n";
    s += R"(
[[rank]]
name = "urgent"
first_token_target = "2s"
token_interval_target = "200ms"
guaranteed_share = 0.5
worth = 8
engine_priority = 10

[[rank]]
name = "later"
first_token_target = "1min"
token_interval_target = "1s"
guaranteed_share = 0.3

[[service]]
name = "desk"
once = ["POST /bookings", "POST /payments"]
timeout = "5s"

[[group]]
name = "writers"
model = "m"
)";
    s += std::string("checks_fencing = ") +
         (options_.checks_fencing ? "true" : "false") + "\n";
    s += group_extra.empty() ? "version = \"1\"\nroles = \"all_mixed\"\n"
                             : group_extra;
    return s + options_.group_settings + options_.sheet_tail;
}

command_result cluster::ctl(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin() + 1,
                     {"--platform", to_string(platform->http())});
    return run_command("poplarctl", arguments);
}

command_result cluster::apply(const std::string& text,
                              const std::string& operator_name)
{
    const auto file =
        folder_.path() / ("sheet-" + std::to_string(++starts_) + ".toml");
    std::ofstream(file) << text;
    return ctl({"apply", "--operator", operator_name, file.string()});
}

net::client_result cluster::post(const ip_address& to,
                                 const std::string& method,
                                 const std::string& path, const json& body)
{
    net::client_request r;
    r.method = method;
    r.to = to;
    r.path = path;
    r.body = body.dump();
    const net::client_result result = client_.fetch(std::move(r));
    if (result.response.status / 100 != 2)
        throw error(method + " " + path + ": " +
                    std::to_string(result.response.status) + " " +
                    result.response.body + result.detail);
    return result;
}

void cluster::platform_faults(const json& faults)
{
    post(platform->http(), "POST", "/admin/faults", faults);
}

json cluster::get_json(const ip_address& to, const std::string& path)
{
    net::client_request r;
    r.to = to;
    r.path = path;
    const net::client_result result = client_.fetch(std::move(r));
    if (result.response.status != 200)
        return {};
    return json::parse(result.response.body);
}

json cluster::counters(const upstream_slot& slot)
{
    return get_json(slot.upstream->http(), "/admin/counters");
}

void cluster::upstream_faults(const upstream_slot& slot, const json& faults)
{
    post(slot.upstream->http(), "POST", "/admin/faults", faults);
}

json cluster::entry_status(const entry_slot& slot)
{
    return get_json(slot.process->address("admin"), "/status");
}

json cluster::agent_status(const upstream_slot& slot)
{
    return get_json(slot.agent->address("admin"), "/status");
}

unsigned cluster::usable_at(const entry_slot& slot)
{
    const json status = entry_status(slot);
    if (status.is_null() || !status.value("ready", false))
        return 0;
    unsigned n = 0;
    for (const json& it : status.at("instances"))
        n += it.at("state") == "usable" ? 1 : 0;
    return n;
}

bool cluster::wait_until_usable()
{
    const auto all = static_cast<unsigned>(engines.size() + services.size());
    return wait_for(
        [&]
        {
            return std::ranges::all_of(entries, [&](const entry_slot& e)
                                       { return usable_at(e) == all; });
        });
}

struct caller::open_chat
{
    mutable absl::Mutex mutex;
    chat_result result;
    std::string pending; ///< Bytes of an event that is not yet whole.
    bool is_stream = true;
    net::exchange_number exchange = 0;

    void take(std::string_view piece)
    {
        absl::MutexLock lock(&mutex);
        pending.append(piece);
        if (!is_stream)
            return;
        for (std::size_t at = 0;
             (at = pending.find("\n\n")) != std::string::npos;)
        {
            take_event(pending.substr(0, at));
            pending.erase(0, at + 2);
        }
    }

    void take_event(const std::string& event)
    {
        if (!event.starts_with("data: "))
            return;
        const std::string data = event.substr(6);
        if (data == "[DONE]")
        {
            result.has_done = true;
            return;
        }
        const json j = json::parse(data, nullptr, false);
        if (j.is_discarded())
            return;
        if (j.contains("error"))
            result.error_type = j["error"].value("type", "");
        if (!j.contains("choices") || j["choices"].empty())
            return;
        const json& delta = j["choices"][0]["delta"];
        if (!delta.contains("content") || !delta["content"].is_string())
            return;
        if (result.text.empty())
            result.first_text = now();
        result.text += delta["content"].get<std::string>();
    }

    void end(const net::client_result& r)
    {
        absl::MutexLock lock(&mutex);
        result.failure = r.failure;
        result.status = r.response.status;
        result.ran = header_value(r.response, "Poplar-Ran");
        result.request_id = header_value(r.response, "Poplar-Request-Id");
        result.retry_after = header_value(r.response, "Retry-After");
        const json j = json::parse(pending, nullptr, false);
        if (!j.is_discarded() && j.contains("error"))
            result.error_type = j["error"].value("type", "");
        if (!j.is_discarded() && j.contains("choices"))
        {
            result.text = j["choices"][0]["message"].value("content", "");
            result.has_done = true;
        }
        result.ended = now();
        result.has_ended = true;
    }
};

caller::handle caller::send(const entry_slot& to, const chat_request& request)
{
    auto chat = std::make_shared<open_chat>();
    chat->is_stream = request.stream;
    const json body{
        {"model", "m"},
        {"messages", {{{"role", "user"}, {"content", request.prompt}}}},
        {"max_tokens", request.max_tokens},
        {"stream", request.stream}};
    net::client_request r;
    r.method = "POST";
    r.to = to.http->get();
    r.path = "/v1/chat/completions";
    r.headers = {{"Content-Type", "application/json"},
                 {"Poplar-Tenant", request.tenant},
                 {"Poplar-Rank", request.rank},
                 {"Poplar-Deadline-Ms",
                  std::to_string(to_milliseconds(request.deadline))}};
    r.body = body.dump();
    r.timeout = request.deadline + std::chrono::seconds(5);
    net::client_hooks hooks;
    hooks.body_piece = [chat](std::string_view piece)
    {
        chat->take(piece);
        return true;
    };
    hooks.done = [chat](const net::client_result& result)
    {
        chat->end(result);
    };
    chat->exchange = cluster_.client().start(std::move(r), std::move(hooks));
    all_.push_back(std::move(chat));
    return all_.size() - 1;
}

chat_result caller::peek(handle h) const
{
    absl::MutexLock lock(&all_[h]->mutex);
    return all_[h]->result;
}

chat_result caller::wait(handle h)
{
    EXPECT_TRUE(
        wait_for([&] { return peek(h).has_ended; }, std::chrono::seconds(60)))
        << "no answer";
    return peek(h);
}

void caller::cancel(handle h)
{
    cluster_.client().cancel(all_[h]->exchange);
}

std::string expected_text(const chat_request& request)
{
    const std::uint64_t answer = standin::answer_digest(request.prompt, "m");
    std::string text;
    const std::uint32_t n =
        standin::answer_tokens(request.prompt, request.max_tokens);
    for (std::uint32_t i = 0; i < n; ++i)
        text += standin::token_text(answer, i);
    return text;
}

service_result call_service(cluster& c, const entry_slot& to,
                            const std::string& method, const std::string& path,
                            const std::string& key, const std::string& body,
                            duration deadline)
{
    net::client_request r;
    r.method = method;
    r.to = to.http->get();
    r.path = "/services/desk" + path;
    r.headers = {
        {"Poplar-Tenant", "consorzio"},
        {"Poplar-Deadline-Ms", std::to_string(to_milliseconds(deadline))}};
    if (!key.empty())
        r.headers.push_back({"Idempotency-Key", key});
    r.body = body;
    r.timeout = deadline + std::chrono::seconds(5);
    const net::client_result result = c.client().fetch(std::move(r));
    return {result.failure, result.response.status, result.response.body,
            header_value(result.response, "Poplar-Ran"),
            header_value(result.response, "Retry-After")};
}

} // namespace poplar::testing_support
