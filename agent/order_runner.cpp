#include "agent/order_runner.hpp"

#include "observe/log.hpp"

namespace poplar::agent
{

namespace
{

constexpr std::size_t kept_decisions = 64;
constexpr unsigned status_accepted_first = 200;
constexpr unsigned status_accepted_last = 299;
constexpr unsigned status_server_error = 500;

order_outcome outcome_of(const net::client_result& result)
{
    if (result.failure == net::client_failure::not_connected)
        return order_outcome::refused;
    if (result.failure != net::client_failure::none ||
        result.response.status >= status_server_error)
        return order_outcome::lost;
    const bool is_accepted = result.response.status >= status_accepted_first &&
                             result.response.status <= status_accepted_last;
    return is_accepted ? order_outcome::accepted : order_outcome::refused;
}

std::string describe(const net::client_result& result)
{
    if (result.failure != net::client_failure::none)
        return to_string(result.failure) + ": " + result.detail;
    return std::to_string(result.response.status) + " " + result.response.body;
}

} // namespace

order_runner::order_runner(net::http_client& client, ip_address engine,
                           duration order_timeout, order_options options,
                           stream_table& streams, agent_metrics& metrics)
    : client_(client), engine_(std::move(engine)),
      order_timeout_(order_timeout), streams_(streams), metrics_(metrics),
      machine_(options)
{
}

void order_runner::take_assignment(const assignment& a)
{
    absl::MutexLock lock(&mutex_);
    machine_.take_assignment(a);
    step(now());
}

void order_runner::platform_was_read(const std::optional<assignment>& part)
{
    absl::MutexLock lock(&mutex_);
    machine_.platform_was_read(part);
    step(now());
}

void order_runner::set_authority(std::optional<agent_incarnation> held)
{
    absl::MutexLock lock(&mutex_);
    machine_.set_authority(held);
    step(now());
}

void order_runner::stop()
{
    absl::MutexLock lock(&mutex_);
    machine_.stop();
    step(now());
}

std::uint64_t order_runner::begin_read()
{
    absl::MutexLock lock(&mutex_);
    return machine_.begin_read();
}

void order_runner::take_state(std::uint64_t read, const engine_state& state)
{
    absl::MutexLock lock(&mutex_);
    machine_.take_state(read, state);
    streams_.set_engine(state.setup);
    streams_.engine_answered(now());
    step(now());
}

void order_runner::take_unreachable(std::uint64_t read)
{
    absl::MutexLock lock(&mutex_);
    machine_.take_unreachable(read);
    step(now());
}

void order_runner::tick(mono_time t)
{
    absl::MutexLock lock(&mutex_);
    step(t);
}

void order_runner::step(mono_time t)
{
    // The count is read before the gate moves: the step that closes the gate
    // sends no order, so the next one sees every stream that passed it.
    const order_actions actions = machine_.step(t, streams_.open_at_engine());
    streams_.set_gate(machine_.gate());
    if (actions.hand_back)
        streams_.hand_back();
    if (actions.order)
        send(*actions.order);
    record_notes();
}

void order_runner::send(const engine_order& order)
{
    net::client_request r;
    r.method = "POST";
    r.to = engine_;
    r.path = "/v1/orders";
    r.headers = {{"Content-Type", "application/json"}};
    r.body = order_body(order);
    r.timeout = order_timeout_;
    // A failure on a kept connection would not tell whether it was sent.
    r.fresh_connection = true;
    net::client_hooks hooks;
    hooks.done = [self = weak_from_this(),
                  fencing = order.fencing](const net::client_result& result)
    {
        if (const auto runner = self.lock())
            runner->take_answer(fencing, result);
    };
    client_.start(std::move(r), std::move(hooks));
}

void order_runner::take_answer(fencing_token fencing,
                               const net::client_result& result)
{
    absl::MutexLock lock(&mutex_);
    machine_.take_answer(fencing, outcome_of(result), describe(result));
    step(now());
}

void order_runner::record_notes()
{
    for (order_note& it : machine_.take_notes())
    {
        const std::string kind = to_string(it.kind);
        metrics_.count_order(kind);
        observe::log(observe::event::order_decision,
                     {{"kind", kind},
                      {"version", it.version.value},
                      {"detail", it.detail}});
        decisions_.push_back({unix_seconds(), std::move(it)});
        if (decisions_.size() > kept_decisions)
            decisions_.pop_front();
    }
}

order_status order_runner::status() const
{
    absl::MutexLock lock(&mutex_);
    return {machine_.assigned(), machine_.engine(),
            machine_.engine_is_reachable(), machine_.phase(), machine_.gate()};
}

std::vector<decision> order_runner::decisions() const
{
    absl::MutexLock lock(&mutex_);
    return {decisions_.begin(), decisions_.end()};
}

work_gate order_runner::gate() const
{
    absl::MutexLock lock(&mutex_);
    return machine_.gate();
}

} // namespace poplar::agent
