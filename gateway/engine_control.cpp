#include "gateway/engine_control.hpp"

#include "base/json_text.hpp"
#include "observe/log.hpp"
#include "platform/wire.hpp"

#include <nlohmann/json.hpp>
#include <random>

namespace poplar::gateway
{

namespace
{

using observe::event;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration check_interval = milliseconds(500);
/// The number of engines must be unchanged for this long before stages are
/// planned.
constexpr duration settle_time = milliseconds(1500);
/// Upper bound of the random delay before the first check, so that one gateway
/// acquires the order lease before the others try.
constexpr duration max_start_delay = milliseconds(800);
/// A stage change that the engine's entry does not show after this time is
/// planned again.
constexpr duration order_timeout = seconds(14);
/// Timeout of a call to an engine.
constexpr duration call_timeout = seconds(1);
constexpr std::size_t max_engine_answer_bytes = std::size_t(64) << 10;
/// A service whose demand is below this number of busy engines counts as unused
/// so far.
constexpr double min_demand = 0.05;
/// A gateway tries to acquire the order lease once orders have been due for its
/// index times this long, so that not all gateways keep calling the store.
constexpr duration takeover_delay = seconds(2);

engine_stage stage_of(policy::placed_stage stage)
{
    return stage == policy::placed_stage::prefill ? engine_stage::prefill
                                                  : engine_stage::decode;
}

duration random_start_delay()
{
    std::mt19937_64 random(make_request_id().low);
    return duration(
        std::int64_t(random() % std::uint64_t(max_start_delay.count())));
}

} // namespace

std::string encode_registration(const gateway_registration& registration)
{
    nlohmann::json j{{"peer", to_string(registration.peer)}};
    if (!registration.failure_domain.value.empty())
        j["failure_domain"] = registration.failure_domain.value;
    return j.dump();
}

gateway_registration decode_registration(const std::string& value)
{
    gateway_registration r = guard_json(
        [&]
        {
            const nlohmann::json j = parse_json(value);
            return gateway_registration{
                parse_ip_address(j.at("peer").get<std::string>()),
                failure_domain_id(j.value("failure_domain", std::string()))};
        });
    if (r.peer.port == 0)
        throw parse_error("peer: the port is 0");
    return r;
}

engine_control::engine_control(store::object_store& store,
                               engine_control_options options,
                               snapshot_source snapshot)
    : store_(store), options_(std::move(options)),
      snapshot_(std::move(snapshot)),
      lease_(store,
             {.holder = options_.instance.value,
              .handover_gap = options_.order_handover_gap},
             now),
      thread_([this] { run(); })
{
}

engine_control::~engine_control()
{
    stop_orders();
    thread_.join();
    remove_registration();
}

void engine_control::stop_orders()
{
    absl::MutexLock lock(&mutex_);
    is_ending_ = true;
}

bool engine_control::wait_for(duration d)
{
    absl::MutexLock lock(&mutex_);
    return !mutex_.AwaitWithTimeout(absl::Condition(&is_ending_),
                                    absl::Microseconds(d.count()));
}

void engine_control::run()
{
    bool keep_going = wait_for(random_start_delay());
    while (keep_going)
    {
        try
        {
            ensure_registered();
            step_duties();
            adjust_stages();
        }
        catch (const store::store_error& ec)
        {
            observe::log(event::gateway_store_call_failed,
                         {{"reason", ec.what()}});
        }
        catch (const std::exception& ec)
        {
            observe::log(event::gateway_handler_failed,
                         {{"where", "engine_control"}, {"reason", ec.what()}});
        }
        keep_going = wait_for(check_interval);
    }
    options_.on_stopped();
}

bool engine_control::is_ending() const
{
    absl::MutexLock lock(&mutex_);
    return is_ending_;
}

void engine_control::step_duties()
{
    duties_stepped_at_ = now();
    for (const duty_step& it : options_.duties)
        it(lease_, client_);
}

void engine_control::ensure_registered()
{
    // A restored store may have lost the registration.
    if (registration_version_ != object_version() &&
        era_of(registration_version_) == store_.era())
        return;
    const object_key key(gateway_prefix + options_.instance.value);
    const std::string value =
        encode_registration({options_.peer, options_.failure_domain});
    store::put_result result = store_.put(key, value, object_version());
    if (result.status == store::put_status::conflict)
        result = store_.put(key, value, result.version);
    if (result.status == store::put_status::written)
        registration_version_ = result.version;
}

void engine_control::remove_registration()
{
    if (registration_version_ == object_version())
        return;
    const object_key key(gateway_prefix + options_.instance.value);
    try
    {
        const store::put_result result =
            store_.remove(key, registration_version_);
        // The same registration has another version in a restored store.
        if (result.status == store::put_status::conflict &&
            era_of(result.version) != era_of(registration_version_))
            store_.remove(key, result.version);
    }
    catch (const store::store_error& ec)
    {
        // The registration stays: peers send reports to an unused address.
        observe::log(event::gateway_store_call_failed, {{"reason", ec.what()}});
    }
}

void engine_control::adjust_stages()
{
    lease_.follow_era();
    for (const auto& [service, service_state] : snapshot_())
        adjust_service_stages(service, service_state);
}

void engine_control::adjust_service_stages(
    const service_id& service, const service_snapshot& service_state)
{
    const std::vector<engine_snapshot>& engines = service_state.engines;
    if (engine_counts_[service] != engines.size())
    {
        engine_counts_[service] = engines.size();
        unchanged_since_[service] = now();
    }
    if (now() - unchanged_since_[service] < settle_time)
        return;
    std::vector<policy::staged_engine> staged;
    // Number of decode engines that the open streams would fill.
    double busy_engines = 0;
    for (const engine_snapshot& it : engines)
    {
        engine_stage stage = it.record.stage;
        const auto pending = pending_.find(it.record.id);
        if (pending != pending_.end() && now() < pending->second.expires_at)
            stage = pending->second.stage;
        staged.push_back({it.record.id.value, it.record.failure_domain,
                          placed_stage_of(stage), it.in_flight, it.record.slots,
                          it.record.version});
        if (it.record.stage == engine_stage::decode)
            busy_engines +=
                double(it.in_flight) / std::max(1U, it.record.slots);
    }
    average_busy_engines_[service].add(busy_engines, now());
    policy::stage_demand demand = service_state.demand;
    demand.decode += average_busy_engines_[service].value();
    // An initial plan ignores the tolerance and the shortage threshold. A
    // gateway that takes over from another lease holder while there is demand
    // must plan as that one did, so its first plan is not an initial one.
    const bool is_initial = !planned_prefill_.contains(service) &&
                            demand.prefill + demand.decode < min_demand;
    const policy::stage_plan plan =
        policy::plan_stages(options_.stages, staged, demand, is_initial);
    if (plan.changes.empty())
    {
        changes_due_since_.erase(service);
        return;
    }
    if (options_.is_held_elsewhere())
        return;
    const mono_time since =
        changes_due_since_.try_emplace(service, now()).first->second;
    const bool is_known_holder = !options_.duties.empty() && lease_.is_holder();
    if (!lease_.may_act() && !is_known_holder &&
        now() - since < takeover_delay * std::int64_t(options_.gateway_index()))
        return;
    const auto token = lease_.acquire();
    if (!token)
        return;
    observe::log(event::gateway_stage_plan,
                 {{"service", service.value},
                  {"engines", engines.size()},
                  {"reading_ms", std::int64_t(demand.prefill * 1000)},
                  {"running_ms", std::int64_t(demand.decode * 1000)},
                  {"prefill", plan.current_prefill},
                  {"wanted_prefill", plan.wanted_prefill},
                  {"fencing", token->value}});
    planned_prefill_[service] = plan.wanted_prefill;
    for (const policy::stage_change& it : plan.changes)
    {
        // A call to an engine that does not answer takes seconds.
        if (is_ending())
            return;
        if (now() - duties_stepped_at_ > check_interval)
            step_duties();
        if (engines[it.engine].accepts_requests)
            send_order(engines[it.engine], stage_of(it.to));
    }
}

std::optional<std::uint64_t>
engine_control::accepted_orders(const upstream_record& engine)
{
    net::client_request request;
    request.to = engine.address;
    request.path = platform::report_path();
    request.timeout = call_timeout;
    request.max_response_bytes = max_engine_answer_bytes;
    const mono_time sent = now();
    const net::client_result result = client_.fetch(std::move(request));
    if (result.failure == net::client_failure::none &&
        platform::announces_shutdown(result.response))
    {
        options_.on_leaving(engine, sent);
        return std::nullopt;
    }
    if (result.failure != net::client_failure::none ||
        result.response.status != 200)
    {
        observe::log(event::gateway_order_failed,
                     {{"upstream", engine.id.value},
                      {"reason", "no report"},
                      {"failure", to_string(result.failure)},
                      {"status", result.response.status}});
        return std::nullopt;
    }
    try
    {
        const auto report = platform::decode_report(result.response.body);
        if (report.is_changing)
            return std::nullopt;
        return report.orders;
    }
    catch (const parse_error& ec)
    {
        observe::log(event::gateway_order_failed,
                     {{"upstream", engine.id.value}, {"reason", ec.what()}});
        return std::nullopt;
    }
}

void engine_control::send_order(const engine_snapshot& engine,
                                engine_stage stage)
{
    const upstream_record& record = engine.record;
    // Recorded before sending: the engine may still carry out an order whose
    // call fails.
    pending_[record.id] = {stage, now() + order_timeout};
    const auto orders = accepted_orders(record);
    if (!orders)
        return;
    const auto token = lease_.acquire();
    if (!token)
        return;
    platform::stage_order order{record.id, record.address,
                                stage,     options_.instance.value,
                                *token,    *orders};
    net::client_request request = platform::encode_order(order);
    request.timeout = call_timeout;
    request.fresh_connection = true;
    request.max_response_bytes = max_engine_answer_bytes;
    if (!lease_.may_act())
        return;
    const mono_time sent = now();
    const net::client_result result = client_.fetch(std::move(request));
    if (result.failure == net::client_failure::none &&
        platform::announces_shutdown(result.response))
        options_.on_leaving(record, sent);
    const bool is_accepted =
        result.failure == net::client_failure::none &&
        (result.response.status == 200 || result.response.status == 202);
    observe::log(is_accepted ? event::gateway_order_sent
                             : event::gateway_order_failed,
                 {{"upstream", record.id.value},
                  {"stage", to_string(stage)},
                  {"fencing", token->value},
                  {"after_orders", *orders},
                  {"failure", to_string(result.failure)},
                  {"status", result.response.status}});
}

} // namespace poplar::gateway
