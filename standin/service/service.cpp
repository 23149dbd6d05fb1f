#include "standin/service/service.hpp"

#include "observe/log.hpp"
#include "standin/common/json.hpp"

#include <algorithm>
#include <cstdlib>

namespace poplar::standin
{

namespace
{

using nlohmann::json;

constexpr const char* key_header = "Idempotency-Key";
constexpr int crash_status = 9;
constexpr duration longest_delay = std::chrono::minutes(10);

} // namespace

service_settings parse_service_settings(settings::reader& all)
{
    service_settings s;
    s.listen = all.address("listen", {"127.0.0.1", 0});
    s.name = all.text("name", "service");
    s.delay =
        all.time("delay", duration::zero(), duration::zero(), longest_delay);
    s.status = static_cast<unsigned>(all.integer("status", 200, 200, 599));
    all.finish();
    return s;
}

service::service(service_settings settings)
    : settings_(std::move(settings)),
      gate_([this](const net::http_request& request,
                   const net::responder_ptr& answer)
            { execute(request, answer); }),
      delay_(settings_.delay), status_(settings_.status),
      thread_([this] { run(); })
{
}

service::~service()
{
    {
        absl::MutexLock lock(&mutex_);
        stopping_ = true;
        changed_.SignalAll();
    }
    thread_.join();
}

void service::handle(net::http_request request, net::responder_ptr answer)
{
    if (request.path == "/admin/counters")
        return give_counters(answer);
    if (request.path == "/admin/faults")
        return with_json(request, answer,
                         [&](const json& body) { set_faults(body, answer); });
    gate_.handle(std::move(request), std::move(answer));
}

net::http_response service::echo(const net::http_request& request) const
{
    const json body{{"service", settings_.name},
                    {"method", request.method},
                    {"path", request.path},
                    {"query", request.query},
                    {"body", request.body}};
    return net::json_response(
        status_, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

void service::execute(const net::http_request& request,
                      const net::responder_ptr& answer)
{
    const std::string* key = net::find_header(request.headers, key_header);
    absl::MutexLock lock(&mutex_);
    ++calls_;
    ++executions_[key ? *key : ""];
    late_answer late{answer, echo(request), close_next_ > 0};
    close_next_ -= close_next_ > 0 ? 1 : 0;
    late_.emplace(now() + delay_, std::move(late));
    changed_.Signal();
}

std::vector<service::late_answer> service::take_due()
{
    const auto end = late_.upper_bound(now());
    std::vector<late_answer> due;
    std::transform(late_.begin(), end, std::back_inserter(due),
                   [](auto& it) { return std::move(it.second); });
    late_.erase(late_.begin(), end);
    return due;
}

void service::run()
{
    for (;;)
    {
        std::vector<late_answer> due;
        {
            absl::MutexLock lock(&mutex_);
            if (stopping_)
                return;
            due = take_due();
            if (due.empty())
            {
                const duration wait = late_.empty()
                                          ? longest_delay
                                          : late_.begin()->first - now();
                changed_.WaitWithTimeout(&mutex_, absl::FromChrono(wait));
            }
        }
        for (late_answer& it : due)
        {
            if (it.is_lost)
                it.answer->abort();
            else
                it.answer->respond(std::move(it.response));
        }
    }
}

void service::set_faults(const json& body, const net::responder_ptr& answer)
{
    observe::log(observe::event::standin_fault, {{"fault", body.dump()}});
    if (body.value("crash", false))
        std::_Exit(crash_status);
    {
        absl::MutexLock lock(&mutex_);
        delay_ = std::chrono::milliseconds(
            body.value("delay_ms", to_milliseconds(delay_)));
        status_ = body.value("status", status_);
        close_next_ = body.value("close_next", close_next_);
    }
    if (body.contains("freeze"))
        gate_.set_frozen(body.at("freeze").get<bool>());
    respond_json(answer, 200, json::object());
}

void service::give_counters(const net::responder_ptr& answer) const
{
    absl::MutexLock lock(&mutex_);
    const auto repeated =
        std::ranges::count_if(executions_, [](const auto& it)
                              { return !it.first.empty() && it.second > 1; });
    respond_json(answer, 200,
                 {{"calls", calls_},
                  {"repeated", repeated},
                  {"executions", executions_}});
}

} // namespace poplar::standin
