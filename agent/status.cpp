// The agent's /status page.
#include "agent/agent.hpp"

#include <nlohmann/json.hpp>

namespace poplar::agent
{

namespace
{

using json = nlohmann::ordered_json;

json to_json(const engine_setup& setup)
{
    json adapters = json::array();
    for (const adapter_id& it : setup.adapters)
        adapters.push_back(it.value);
    return {{"role", sheet::to_string(setup.role)},
            {"model", setup.model.value},
            {"version", setup.version.value},
            {"adapters", std::move(adapters)}};
}

json to_json(const assignment& a)
{
    json j = to_json(a.setup);
    j["object_version"] = a.version.value;
    j["epoch"] = a.epoch.value;
    j["state"] = sheet::to_string(a.state);
    j["sheet_generation"] = a.generation.value;
    return j;
}

json to_json(const decision& d)
{
    return {{"time", utc_text(d.at)},
            {"decision", to_string(d.note.kind)},
            {"object_version", d.note.version.value},
            {"reason", d.note.detail}};
}

const char* gate_name(work_gate gate)
{
    switch (gate)
    {
    case work_gate::open:
        return "open";
    case work_gate::draining:
        return "draining";
    case work_gate::not_ready:
        return "not_ready";
    }
    return "unknown";
}

} // namespace

std::string agent::status_json() const
{
    const order_status s = orders_->status();
    json j{{"instance", settings_.instance.value},
           {"group", settings_.group.value},
           {"failure_domain", settings_.failure_domain.value},
           {"incarnation", incarnation_.load()},
           {"holds_lock", has_lock_.load()},
           {"superseded", is_superseded_.load()},
           {"ready", is_ready()},
           {"new_work", gate_name(s.gate)},
           {"order_phase", to_string(s.phase)},
           {"open_streams", streams_->open_at_engine()},
           {"unfinished_streams", streams_->unfinished()},
           {"open_calls", calls_->open_calls()},
           {"entries", links_.size()}};
    j["assignment"] =
        s.assigned.version.value > 0 ? to_json(s.assigned) : json(nullptr);
    j["engine"] = s.engine ? to_json(s.engine->setup) : json(nullptr);
    if (s.engine)
    {
        j["engine"]["changing"] = s.engine->changing;
        j["engine"]["reachable"] = s.engine_is_reachable;
    }
    j["decisions"] = json::array();
    for (const decision& it : orders_->decisions())
        j["decisions"].push_back(to_json(it));
    return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

void agent::answer_admin(const net::http_request& request,
                         const net::responder_ptr& answer) const
{
    if (request.path == "/status")
        return answer->respond(net::json_response(200, status_json()));
    answer->respond({404, {}, "not found\n"});
}

} // namespace poplar::agent
