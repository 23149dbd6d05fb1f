#include "standin/engine/api.hpp"

#include "base/digest.hpp"
#include "observe/log.hpp"
#include "standin/common/json.hpp"

#include <charconv>
#include <cstdlib>

namespace poplar::standin
{

namespace
{

using nlohmann::json;

constexpr std::string_view kv_prefix = "/v1/kv/";
constexpr const char* digest_header = "X-Prompt-Digest";
constexpr int crash_status = 9;

job_request parse_job(const json& body, bool prefill_only)
{
    job_request r;
    r.request_id = body.at("request_id").get<std::string>();
    r.model = body.at("model").get<std::string>();
    r.adapter = body.value("adapter", "");
    r.prompt = body.at("prompt").get<std::string>();
    r.max_tokens = body.value("max_tokens", 16U);
    r.priority = body.value("priority", 0);
    r.resume_tokens = body.value("resume_tokens", 0U);
    r.prefill_only = prefill_only;
    const auto kv = body.find("kv");
    if (kv == body.end() || kv->is_null())
        return r;
    r.kv_source = kv->at("source").get<std::string>();
    r.kv_handle = kv->at("handle").get<std::string>();
    return r;
}

unsigned status_of(admission result)
{
    if (result == admission::changing)
        return 503;
    return result == admission::too_long ? 400 : 409;
}

std::optional<std::uint64_t> imported_digest(const net::client_result& result)
{
    if (result.failure != net::client_failure::none ||
        result.response.status != 200)
        return std::nullopt;
    const std::string* text =
        net::find_header(result.response.headers, digest_header);
    std::uint64_t value = 0;
    if (!text ||
        std::from_chars(text->data(), text->data() + text->size(), value, 16)
                .ec != std::errc())
        return std::nullopt;
    return value;
}

} // namespace

engine_api::engine_api(const engine_settings& settings)
    : settings_(settings),
      engine_(
          settings, settings.weights.empty()
                        ? weight_loader()
                        : [this](const engine_setup& setup,
                                 const std::function<void(bool)>& done)
                        { load_weights(setup, done); }),
      gate_([this](const net::http_request& request,
                   const net::responder_ptr& answer)
            { handle_work(request, answer); })
{
}

void engine_api::handle(net::http_request request, net::responder_ptr answer)
{
    if (request.path.starts_with("/admin/"))
        return handle_admin(request, answer);
    gate_.handle(std::move(request), std::move(answer));
}

void engine_api::handle_work(const net::http_request& request,
                             const net::responder_ptr& answer)
{
    const std::string& path = request.path;
    if (path == "/v1/generate" || path == "/v1/prefill")
        return with_json(request, answer,
                         [&](const json& body)
                         { submit(body, path == "/v1/prefill", answer); });
    if (path == "/v1/cancel")
        return with_json(
            request, answer,
            [&](const json& body)
            {
                const auto id = body.at("request_id").get<std::string>();
                respond_json(answer, 200, {{"canceled", engine_.cancel(id)}});
            });
    if (path == "/v1/orders")
        return with_json(request, answer,
                         [&](const json& body) { order(body, answer); });
    if (path == "/v1/load")
        return report_load(answer);
    if (path == "/v1/state")
        return report_state(answer);
    if (path == "/v1/cache_events")
        return report_cache(request, answer);
    if (path.starts_with(kv_prefix))
        return export_kv(path.substr(kv_prefix.size()), answer);
    respond_error(answer, 404, "not_found");
}

void engine_api::submit(const json& body, bool prefill_only,
                        const net::responder_ptr& answer)
{
    job_request request = parse_job(body, prefill_only);
    admission result = engine_.check(request);
    if (result == admission::accepted && !request.kv_source.empty())
        return import_kv(std::move(request), answer);
    if (result == admission::accepted)
        result = engine_.submit(std::move(request), answer, std::nullopt);
    if (result != admission::accepted)
        respond_error(answer, status_of(result), to_string(result));
}

void engine_api::import_kv(job_request request,
                           const net::responder_ptr& answer)
{
    net::client_request fetch;
    try
    {
        fetch.to = parse_ip_address(request.kv_source);
    }
    catch (const parse_error&)
    {
        return respond_error(answer, 400, "bad_kv_source");
    }
    fetch.path = std::string(kv_prefix) + request.kv_handle;
    net::client_hooks hooks;
    hooks.done = [this, request = std::move(request),
                  answer](const net::client_result& fetched)
    {
        const auto digest = imported_digest(fetched);
        admission result = admission::kv_unavailable;
        if (digest)
            result = engine_.submit(request, answer, digest);
        if (result != admission::accepted)
            respond_error(answer, status_of(result), to_string(result));
    };
    client_.start(std::move(fetch), std::move(hooks));
}

void engine_api::export_kv(const std::string& handle,
                           const net::responder_ptr& answer)
{
    const auto kv = engine_.export_kv(handle);
    if (!kv)
        return respond_error(answer, 404, "no_such_kv");
    const auto size = static_cast<std::size_t>(kv->prompt_tokens *
                                               settings_.kv_bytes_per_token);
    answer->respond({200,
                     {{"Content-Type", "application/octet-stream"},
                      {digest_header, hex(kv->digest)}},
                     std::string(size, '\0')});
}

void engine_api::order(const json& body, const net::responder_ptr& answer)
{
    engine_order o;
    o.fencing = body.at("fencing").get<std::uint64_t>();
    o.setup.role = body.at("role").get<std::string>();
    o.setup.model = body.at("model").get<std::string>();
    o.setup.version = body.at("version").get<std::string>();
    o.setup.adapters = body.value("adapters", std::vector<std::string>());
    if (!is_engine_role(o.setup.role))
        return respond_error(answer, 400, "bad_role");
    const order_result result = engine_.order(o);
    const bool refused =
        result == order_result::stale || result == order_result::busy;
    if (refused)
        return respond_error(answer, 409, to_string(result));
    respond_json(answer, 202, {{"result", to_string(result)}});
}

void engine_api::report_load(const net::responder_ptr& answer) const
{
    const load_sample s = engine_.load();
    respond_json(answer, 200,
                 {{"role", s.setup.role},
                  {"model", s.setup.model},
                  {"version", s.setup.version},
                  {"running", s.running},
                  {"waiting", s.waiting},
                  {"queued_prompt_tokens", s.queued_prompt_tokens},
                  {"decode_streams", s.decode_streams},
                  {"kv_pieces_free", s.kv_pieces_free},
                  {"kv_pieces_total", settings_.kv_pieces},
                  {"measured_ms_ago", to_milliseconds(now() - s.at)}});
}

void engine_api::report_state(const net::responder_ptr& answer) const
{
    const engine_state s = engine_.state();
    respond_json(answer, 200,
                 {{"role", s.setup.role},
                  {"model", s.setup.model},
                  {"version", s.setup.version},
                  {"adapters", s.setup.adapters},
                  {"changing", s.changing}});
}

void engine_api::report_cache(const net::http_request& request,
                              const net::responder_ptr& answer) const
{
    const std::string text = net::query_value(request, "after", "0");
    std::uint64_t after = 0;
    std::from_chars(text.data(), text.data() + text.size(), after);
    std::uint64_t next = 0;
    json events = json::array();
    for (const cache_event& it : engine_.cache_events(after, next))
        events.push_back({{"seq", it.sequence},
                          {"kind", it.kind},
                          {"block", hex(it.block)}});
    respond_json(answer, 200, {{"events", std::move(events)}, {"next", next}});
}

void engine_api::handle_admin(const net::http_request& request,
                              const net::responder_ptr& answer)
{
    if (request.path == "/admin/counters")
        return respond_json(answer, 200, to_json(engine_.counters()));
    if (request.path == "/admin/faults")
        return with_json(request, answer,
                         [&](const json& body) { set_faults(body, answer); });
    respond_error(answer, 404, "not_found");
}

void engine_api::set_faults(const json& body, const net::responder_ptr& answer)
{
    observe::log(observe::event::standin_fault, {{"fault", body.dump()}});
    if (body.value("crash", false))
        std::_Exit(crash_status);
    if (body.contains("speed"))
        engine_.set_speed(std::max(1e-3, body.at("speed").get<double>()));
    if (body.contains("freeze"))
    {
        const bool frozen = body.at("freeze").get<bool>();
        engine_.set_frozen(frozen);
        gate_.set_frozen(frozen);
    }
    respond_json(answer, 200, json::object());
}

void engine_api::load_weights(const engine_setup& setup,
                              const std::function<void(bool)>& done)
{
    net::client_request request;
    request.to = settings_.weights;
    request.path = "/weights/" + setup.model + "/" + setup.version;
    request.timeout = std::chrono::minutes(10);
    net::client_hooks hooks;
    hooks.done = [setup, done](const net::client_result& result)
    {
        const bool loaded = result.failure == net::client_failure::none &&
                            result.response.status == 200;
        if (!loaded)
            observe::log(
                observe::event::standin_weights_refused,
                {{"model", setup.model}, {"status", result.response.status}});
        done(loaded);
    };
    client_.start(std::move(request), std::move(hooks));
}

} // namespace poplar::standin
