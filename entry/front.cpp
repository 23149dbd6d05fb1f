#include "entry/front.hpp"

#include "entry/caller_headers.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace poplar::entry
{

namespace
{

const std::string services_prefix = "/services/";
/// Retry-After for a process that cannot accept requests: after this time it
/// may be ready, or another process may have replaced it.
constexpr duration unavailable_retry_delay = std::chrono::seconds(1);

/// Thrown while a request is validated; `why` is sent as the answer.
class refused_request : public error
{
public:
    explicit refused_request(failure f) : error(f.message), why(std::move(f)) {}

    failure why;
};

[[noreturn]] void refuse_with(failure_kind kind, const std::string& message)
{
    throw refused_request({kind, message, fb::ran_state::no, {}});
}

} // namespace

/// A request during validation.
struct front::incoming
{
    net::http_request http;
    request_id id;
    mono_time arrived;
    std::shared_ptr<const sheet::sheet> sheet;
};

/// Tenant, rank and engine priority of a request.
struct front::caller_identity
{
    tenant_id tenant;
    rank_index rank;
    std::string rank_name;
    int priority = 0;
};

front::front(const entry_limits& limits, const entry_timeouts& timeouts,
             const live_config& config, agent_links& links,
             stream_table& streams, call_table& calls, decision_log& decisions,
             entry_metrics& metrics)
    : limits_(limits), timeouts_(timeouts), config_(config), links_(links),
      streams_(streams), calls_(calls), decisions_(decisions), metrics_(metrics)
{
}

void front::stop()
{
    is_stopping_ = true;
}

void front::handle(net::http_request request, const net::responder_ptr& answer)
{
    incoming in{std::move(request), make_request_id(), now(),
                config_.current().sheet};
    try
    {
        route(in, answer);
    }
    catch (const refused_request& ec)
    {
        refuse(in, answer, ec.why);
    }
}

void front::route(incoming& in, const net::responder_ptr& answer)
{
    const std::string& path = in.http.path;
    const bool is_service = path.starts_with(services_prefix);
    const bool is_chat = path == "/v1/chat/completions";
    if (!is_service && !is_chat && path != "/v1/models")
        refuse_with(failure_kind::not_found, "no such path");
    if (static_cast<std::int64_t>(in.http.body.size()) > limits_.max_body.value)
        refuse_with(failure_kind::too_long,
                    "the body is longer than " +
                        std::to_string(limits_.max_body.value) + " bytes");
    if (const std::optional<failure> why = unavailable_reason())
        throw refused_request(*why);
    if (is_service)
        return service(in, answer);
    if (is_chat && in.http.method != "POST")
        refuse_with(failure_kind::bad_request, "use POST");
    return is_chat ? chat(in, answer) : models(in, answer);
}

std::optional<failure> front::unavailable_reason() const
{
    if (is_stopping_)
        return failure{failure_kind::shutting_down,
                       "this instance is shutting down", fb::ran_state::no,
                       unavailable_retry_delay};
    if (!config_.current().sheet)
        return failure{failure_kind::not_ready, "there is no sheet yet",
                       fb::ran_state::no, unavailable_retry_delay};
    if (streams_.size() + calls_.size() >= limits_.max_open_requests)
        return failure{failure_kind::overloaded,
                       "this instance has too many open requests",
                       fb::ran_state::no, unavailable_retry_delay};
    return std::nullopt;
}

void front::refuse(const incoming& in, const net::responder_ptr& answer,
                   const failure& why)
{
    failure f = why;
    // The ledger was not queried, so an earlier request with the same key may
    // have executed. Refusals without a retry time keep their outcome.
    const bool is_call = in.http.path.starts_with(services_prefix);
    if (is_call && has_idempotency_key(in.http) &&
        f.retry_after > duration::zero())
        f.ran = fb::ran_state::unknown;
    metrics_.failed(f.kind);
    decisions_.add(decision_kind::refused, in.id, {},
                   std::string(http_error_of(f.kind).type) + ": " + f.message);
    answer->respond(failure_response(f, to_string(in.id)));
}

front::caller_identity front::identify_caller(const incoming& in) const
{
    const std::vector<sheet::rank>& ranks = in.sheet->ranks;
    caller_identity identity;
    identity.tenant =
        tenant_id(header_or(in.http, "Poplar-Tenant", "anonymous"));
    const auto tenant = std::ranges::find(in.sheet->tenants, identity.tenant,
                                          &sheet::tenant::name);
    const bool is_listed = tenant != in.sheet->tenants.end();
    identity.rank_name = header_or(in.http, "Poplar-Rank",
                                   is_listed ? tenant->rank : std::string());
    if (identity.rank_name.empty() && !ranks.empty())
        identity.rank_name = ranks.back().name;
    const auto it =
        std::ranges::find(ranks, identity.rank_name, &sheet::rank::name);
    if (it == ranks.end())
        refuse_with(failure_kind::unknown_rank,
                    "unknown rank \"" + identity.rank_name + "\"");
    identity.rank = rank_index(static_cast<std::uint64_t>(it - ranks.begin()));
    identity.priority = it->engine_priority;
    if (!is_listed || tenant->most_urgent_rank.empty())
        return identity;
    const auto limit =
        std::ranges::find(ranks, tenant->most_urgent_rank, &sheet::rank::name);
    if (it < limit)
        refuse_with(failure_kind::rank_not_allowed,
                    "rank \"" + identity.rank_name +
                        "\" is above the limit \"" + tenant->most_urgent_rank +
                        "\" of the tenant");
    return identity;
}

mono_time front::deadline_of(const incoming& in, duration default_timeout) const
{
    const std::optional<duration> wanted = deadline_header(in.http);
    if (wanted && *wanted <= duration::zero())
        refuse_with(failure_kind::bad_request,
                    "Poplar-Deadline-Ms: expected a positive integer");
    return in.arrived +
           std::min(wanted.value_or(default_timeout), timeouts_.max_deadline);
}

group_id front::choose_group(const sheet::sheet& s, const std::string& model,
                             std::string& adapter) const
{
    group_id found;
    for (const sheet::engine_group& g : s.groups)
    {
        const auto has = [&g](const std::string& name)
        {
            return std::ranges::count(g.adapters, adapter_id(name)) > 0;
        };
        const bool is_model =
            g.model.value == model && (adapter.empty() || has(adapter));
        // A request may name an adapter in place of a model.
        const bool is_adapter = adapter.empty() && has(model);
        if (!is_model && !is_adapter)
            continue;
        if (found.empty() || links_.usable(found).empty())
            found = g.name;
    }
    const sheet::engine_group* group = sheet::find_group(s, found);
    if (group && group->model.value != model)
        adapter = model;
    return found;
}

void front::chat(incoming& in, const net::responder_ptr& answer)
{
    auto parsed = parse_chat_request(in.http.body);
    if (const auto* why = std::get_if<failure>(&parsed))
        throw refused_request(*why);
    auto& r = std::get<chat_request>(parsed);
    const caller_identity identity = identify_caller(in);
    const group_id name = choose_group(*in.sheet, r.model, r.adapter);
    const sheet::engine_group* group = sheet::find_group(*in.sheet, name);
    if (!group)
        refuse_with(failure_kind::unknown_model,
                    "unknown model \"" + r.model + "\"");
    if (r.max_tokens > limits_.max_output.value)
        refuse_with(failure_kind::bad_request,
                    "max_tokens: the highest is " +
                        std::to_string(limits_.max_output.value));
    if (r.max_tokens == 0)
        r.max_tokens = static_cast<std::uint32_t>(limits_.default_output.value);

    new_stream s;
    s.view = {in.id,
              identity.tenant,
              identity.rank,
              name,
              group->model,
              adapter_id(r.adapter),
              r.prompt,
              count_tokens(r.prompt),
              token_count(r.max_tokens),
              in.arrived,
              deadline_of(in, timeouts_.default_deadline)};
    const bool is_split = s.view.prompt_tokens >= group->split_threshold;
    s.work = {in.id,        identity.tenant, identity.rank, identity.priority,
              group->model, s.view.adapter,  r.prompt,      r.max_tokens,
              is_split,     s.view.deadline};
    s.rank_name = identity.rank_name;
    s.metadata = {to_string(in.id), r.model, unix_seconds()};
    s.is_stream = r.stream;
    s.answer_buffer = static_cast<std::size_t>(limits_.answer_buffer.value);
    s.responder = answer;
    streams_.open(std::move(s));
}

void front::models(const incoming& in, const net::responder_ptr& answer) const
{
    nlohmann::json list = nlohmann::json::array();
    const auto add = [&list](const std::string& id, const std::string& owner)
    {
        list.push_back({{"id", id}, {"object", "model"}, {"owned_by", owner}});
    };
    for (const sheet::engine_group& g : in.sheet->groups)
    {
        add(g.model.value, g.name.value);
        for (const adapter_id& adapter : g.adapters)
            add(adapter.value, g.name.value);
    }
    const nlohmann::json body{{"object", "list"}, {"data", std::move(list)}};
    net::http_response response = net::json_response(200, body.dump());
    response.headers.push_back({"Poplar-Request-Id", to_string(in.id)});
    response.headers.push_back({"Poplar-Ran", "yes"});
    answer->respond(std::move(response));
}

void front::service(incoming& in, const net::responder_ptr& answer)
{
    const std::string rest = in.http.path.substr(services_prefix.size());
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    const sheet::service* s =
        sheet::find_service(*in.sheet, service_id(rest.substr(0, slash)));
    if (!s)
        refuse_with(failure_kind::unknown_service,
                    "unknown service \"" + rest.substr(0, slash) + "\"");
    const std::string path = slash < rest.size() ? rest.substr(slash) : "/";
    const caller_identity identity = identify_caller(in);
    service_call c;
    c.id = in.id;
    c.service = s->name;
    c.tenant = identity.tenant;
    c.rank = identity.rank;
    c.method = in.http.method;
    c.path = path + (in.http.query.empty() ? "" : "?" + in.http.query);
    c.is_once = sheet::is_once(*s, c.method, path);
    c.key = idempotency_key(header_or(in.http, "Idempotency-Key", ""));
    if (c.is_once && c.key.empty())
        refuse_with(failure_kind::key_missing,
                    "this call needs an Idempotency-Key");
    c.shard = ledger::shard_of({c.service, c.tenant, c.key});
    c.headers = forwarded_headers(in.http.headers);
    c.body = std::move(in.http.body);
    c.deadline = deadline_of(in, s->timeout);
    decisions_.add(decision_kind::admitted, in.id, {},
                   "tenant " + identity.tenant.value + ", rank " +
                       identity.rank_name);
    calls_.open(std::move(c), answer);
}

} // namespace poplar::entry
