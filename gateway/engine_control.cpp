#include "gateway/engine_control.hpp"

#include "base/json_guard.hpp"
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
/// The set of engines must be unchanged for this long before a plan.
constexpr duration steady_time = milliseconds(1500);
/// Random delay of the first check, so that one gateway acquires the right
/// before the others ask for it.
constexpr duration longest_stagger = milliseconds(800);
/// A change that does not show after this time is planned again.
constexpr duration change_limit = seconds(14);
constexpr duration call_limit = seconds(1);
/// Engines kept busy below which a service counts as not asked for yet.
constexpr double no_demand = 0.05;
/// A gateway asks for the right to order when orders have been due for this
/// long for each one before it, so that not all ask all the time.
constexpr duration rank_delay = seconds(2);

engine_stage stage_of(policy::placed_stage stage)
{
    return stage == policy::placed_stage::prefill ? engine_stage::prefill
                                                  : engine_stage::decode;
}

duration random_stagger()
{
    std::mt19937_64 random(make_request_id().low);
    return duration(
        std::int64_t(random() % std::uint64_t(longest_stagger.count())));
}

} // namespace

std::string encode_registration(const ip_address& peer)
{
    return nlohmann::json{{"peer", to_string(peer)}}.dump();
}

ip_address decode_registration(const std::string& value)
{
    return parse_ip_address(guard_json(
        [&] {
            return nlohmann::json::parse(value).at("peer").get<std::string>();
        }));
}

engine_control::engine_control(store::object_store& store,
                               engine_control_options options,
                               snapshot_source snapshot)
    : store_(store), options_(std::move(options)),
      snapshot_(std::move(snapshot)),
      lease_(store,
             {.holder = options_.instance.value, .lease = options_.order_lease},
             now),
      thread_([this] { run(); })
{
}

engine_control::~engine_control()
{
    end_orders();
    thread_.join();
    remove_registration();
}

void engine_control::end_orders()
{
    absl::MutexLock lock(&mutex_);
    is_ending_ = true;
}

bool engine_control::pause(duration d)
{
    absl::MutexLock lock(&mutex_);
    return !mutex_.AwaitWithTimeout(absl::Condition(&is_ending_),
                                    absl::Microseconds(d.count()));
}

void engine_control::run()
{
    bool goes_on = pause(random_stagger());
    while (goes_on)
    {
        try
        {
            keep_registered();
            keep_stages();
        }
        catch (const store::store_error& ec)
        {
            observe::log(event::gateway_store_call_failed,
                         {{"reason", ec.what()}});
        }
        goes_on = pause(check_interval);
    }
}

void engine_control::keep_registered()
{
    if (registered_ != object_version())
        return;
    const object_key key(gateway_prefix + options_.instance.value);
    const std::string value = encode_registration(options_.peer);
    store::put_result result = store_.put(key, value, object_version());
    if (result.status == store::put_status::conflict)
        result = store_.put(key, value, result.version);
    if (result.status == store::put_status::written)
        registered_ = result.version;
}

void engine_control::remove_registration()
{
    if (registered_ == object_version())
        return;
    const object_key key(gateway_prefix + options_.instance.value);
    try
    {
        store_.remove(key, registered_);
    }
    catch (const store::store_error& ec)
    {
        // The others send reports to an address where no one listens.
        observe::log(event::gateway_store_call_failed, {{"reason", ec.what()}});
    }
}

void engine_control::keep_stages()
{
    for (const auto& [service, seen] : snapshot_())
        keep_stages_of(service, seen);
}

void engine_control::keep_stages_of(const service_id& service,
                                    const service_snapshot& seen)
{
    const std::vector<engine_snapshot>& engines = seen.engines;
    if (seen_engines_[service] != engines.size())
    {
        seen_engines_[service] = engines.size();
        steady_since_[service] = now();
    }
    if (now() - steady_since_[service] < steady_time)
        return;
    std::vector<policy::staged_engine> staged;
    double busy = 0; // engines' worth of streams
    for (const engine_snapshot& it : engines)
    {
        engine_stage stage = it.record.stage;
        const auto pending = pending_.find(it.record.id);
        if (pending != pending_.end() && now() < pending->second.until)
            stage = pending->second.stage;
        staged.push_back({it.record.id.value, it.record.failure_domain,
                          placed_stage_of(stage), it.runs, it.record.slots});
        if (it.record.stage == engine_stage::decode)
            busy += double(it.runs) / std::max(1U, it.record.slots);
    }
    runs_[service].add(busy, now());
    policy::stage_demand demand = seen.demand;
    demand.decode += runs_[service].value();
    // A gateway that takes the orders over from another plans as that one did.
    const bool is_first = !planned_.contains(service) &&
                          demand.prefill + demand.decode < no_demand;
    const policy::stage_plan plan =
        policy::plan_stages(options_.stages, staged, demand, is_first);
    if (plan.changes.empty())
    {
        wanted_since_.erase(service);
        return;
    }
    const mono_time since =
        wanted_since_.try_emplace(service, now()).first->second;
    if (!lease_.may_order() &&
        now() - since < rank_delay * std::int64_t(options_.rank()))
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
    planned_[service] = plan.wanted_prefill;
    for (const policy::stage_change& it : plan.changes)
        if (engines[it.engine].may_send)
            send_order(engines[it.engine], stage_of(it.to));
}

std::optional<std::uint64_t>
engine_control::accepted_orders(const upstream_record& engine)
{
    net::client_request request;
    request.to = engine.address;
    request.path = platform::report_path();
    request.timeout = call_limit;
    const net::client_result result = client_.fetch(std::move(request));
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
    // Whatever becomes of it, the order may be carried out later.
    pending_[record.id] = {stage, now() + change_limit};
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
    request.timeout = call_limit;
    request.fresh_connection = true;
    if (!lease_.may_order())
        return;
    const net::client_result result = client_.fetch(std::move(request));
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
