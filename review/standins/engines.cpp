// Stand-ins of model workers that take orders. Each one registers in the store
// and records every order that reaches it. Commands on standard input:
//   add N    starts N more workers
//   slow N   makes the next N workers that get an order slow for a while
#include "base/time.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

#include <chrono>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace
{

using nlohmann::json;
using poplar::net::http_request;
using poplar::net::responder_ptr;

/// Time of a change of stage.
constexpr auto switch_time = std::chrono::seconds(3);
/// Time from the arrival of an order to its answer.
constexpr auto answer_time = std::chrono::milliseconds(150);
constexpr int slow_factor = 5;
constexpr auto slow_time = std::chrono::milliseconds(6500);
/// Reports give the state as of this long ago.
constexpr auto report_lag = std::chrono::milliseconds(200);
/// Every third worker starts in the other stage.
constexpr std::size_t stage_period = 3;

struct shared_state
{
    poplar::ip_address store;
    json entry;  ///< Template of a registration.
    json report; ///< Template of a report.
    poplar::net::http_client client;
    std::mutex mutex;
    std::ofstream record;
    unsigned workers_to_slow = 0;
    std::size_t zones = 3;

    void note(const json& line);
    bool takes_slowness();
};

std::int64_t unix_milliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void shared_state::note(const json& line)
{
    const std::lock_guard lock(mutex);
    json stamped{{"ms", unix_milliseconds()}};
    stamped.update(line);
    record << stamped.dump() << std::endl;
}

bool shared_state::takes_slowness()
{
    const std::lock_guard lock(mutex);
    if (workers_to_slow == 0)
        return false;
    --workers_to_slow;
    return true;
}

class engine
{
public:
    engine(shared_state& shared, std::size_t index);

    void register_first();

private:
    void handle(const http_request& request, const responder_ptr& out);
    void take_order(const http_request& request, const responder_ptr& out);
    /// Returns the status of the answer.
    unsigned carry_out(const json& order);
    void finish_change(const std::string& stage);
    void write_entry(const std::string& method);
    json report();
    void keep_state();

    shared_state& shared_;
    const std::string id_;
    const std::string zone_;
    const std::int64_t born_ = unix_milliseconds();
    std::mutex mutex_;
    std::string stage_;
    bool is_changing_ = false;
    poplar::mono_time slow_until_{};
    std::uint64_t orders_ = 0;
    std::map<poplar::mono_time, json> reports_; ///< By when they were true.
    std::uint64_t entry_number_ = 0;
    poplar::net::http_server server_;
};

engine::engine(shared_state& shared, std::size_t index)
    : shared_(shared), id_("w" + std::to_string(index)),
      zone_("zone" + std::to_string(index % shared.zones)),
      stage_(index % stage_period == stage_period - 1 ? "prefill" : "decode"),
      server_({.listen = {"127.0.0.1", 0}, .threads = 1},
              [this](const http_request& request, const responder_ptr& out)
              { handle(request, out); })
{
    keep_state();
}

void engine::register_first()
{
    write_entry("POST");
    shared_.note({{"worker", id_}, {"starts_in", stage_}});
}

void engine::write_entry(const std::string& method)
{
    json spec = shared_.entry;
    {
        const std::lock_guard lock(mutex_);
        spec["address"] = poplar::to_string(server_.address());
        spec["zone"] = zone_;
        spec["stage"] = stage_;
        spec["born"] = born_;
        spec["seq"] = ++entry_number_;
    }
    poplar::net::client_request request;
    request.method = method;
    request.to = shared_.store;
    request.path = "/objects/servers";
    if (method == "PUT")
        request.path += "/" + id_;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = json{{"metadata", {{"name", id_}}}, {"spec", spec}}.dump();
    request.timeout = std::chrono::seconds(2);
    shared_.client.fetch(std::move(request));
}

json engine::report()
{
    const std::lock_guard lock(mutex_);
    const auto next = reports_.upper_bound(poplar::now() - report_lag);
    return next == reports_.begin() ? next->second : std::prev(next)->second;
}

void engine::keep_state()
{
    json state = shared_.report;
    state["stage"] = stage_;
    state["busy"] = is_changing_;
    state["seq"] = orders_;
    reports_[poplar::now()] = state;
}

void engine::handle(const http_request& request, const responder_ptr& out)
{
    if (request.path == "/order")
        return take_order(request, out);
    if (request.path == "/report")
        return out->respond(poplar::net::json_response(200, report().dump()));
    if (request.path == "/kv-list")
        return out->respond(poplar::net::json_response(
            200,
            json{{"epoch", 1}, {"next", 1}, {"held", json::array()}}.dump()));
    out->respond(poplar::net::json_response(404, "{}"));
}

void engine::take_order(const http_request& request, const responder_ptr& out)
{
    const json order = json::parse(request.body, nullptr, false);
    if (order.is_discarded())
        return out->respond(poplar::net::json_response(400, "{}"));
    const bool turns_slow = shared_.takes_slowness();
    const unsigned status = carry_out(order);
    bool is_slow = false;
    {
        const std::lock_guard lock(mutex_);
        if (turns_slow)
            slow_until_ = poplar::now() + slow_time;
        is_slow = poplar::now() < slow_until_;
    }
    shared_.note({{"worker", id_},
                  {"order", order},
                  {"answer", status},
                  {"slow", is_slow}});
    std::thread(
        [status, out, is_slow]
        {
            std::this_thread::sleep_for(answer_time *
                                        (is_slow ? slow_factor : 1));
            out->respond(poplar::net::json_response(status, "{}"));
        })
        .detach();
}

unsigned engine::carry_out(const json& order)
{
    const std::lock_guard lock(mutex_);
    const std::string stage = order.value("stage", "");
    if (order.value("opcode", "") != "stage" || stage.empty())
        return 400;
    if (is_changing_ ||
        (order.contains("expected") && order["expected"] != orders_))
        return 409;
    if (stage == stage_)
        return 200;
    ++orders_;
    is_changing_ = true;
    keep_state();
    std::thread([this, stage] { finish_change(stage); }).detach();
    return 202;
}

void engine::finish_change(const std::string& stage)
{
    std::this_thread::sleep_for(switch_time);
    {
        const std::lock_guard lock(mutex_);
        stage_ = stage;
        is_changing_ = false;
        keep_state();
    }
    write_entry("PUT");
    shared_.note({{"worker", id_}, {"now_in", stage}});
}

void add_engines(std::vector<std::unique_ptr<engine>>& all,
                 shared_state& shared, std::size_t count)
{
    for (std::size_t n = 0; n < count; ++n)
    {
        all.push_back(std::make_unique<engine>(shared, all.size()));
        all.back()->register_first();
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        std::cerr << "usage: review-engines STORE WORKER_FILE RECORD_FILE\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    shared_state shared;
    shared.store = poplar::parse_ip_address(argv[1]);
    std::ifstream file(argv[2]);
    const json worker = json::parse(file);
    shared.entry = worker.at("entry");
    shared.report = worker.at("report");
    shared.record.open(argv[3], std::ios::app);
    std::vector<std::unique_ptr<engine>> engines;
    std::string command;
    std::size_t n = 0;
    while (std::cin >> command >> n)
    {
        if (command == "add")
            add_engines(engines, shared, n);
        const std::lock_guard lock(shared.mutex);
        if (command == "slow")
            shared.workers_to_slow = unsigned(n);
    }
    std::_Exit(0); // Threads that wait to answer may be left.
}
