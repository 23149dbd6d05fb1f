#include "gateway/metrics.hpp"

#include "observe/metrics.hpp"

#include <prometheus/registry.h>

namespace poplar::gateway
{

namespace
{

/// Upper bounds in seconds, meant to cover the latency targets of routes.
const prometheus::Histogram::BucketBoundaries latency_bounds{
    0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 8};

/// Client accounts with a label of their own. An account has a histogram and a
/// few counters, about 3 KB.
constexpr std::size_t max_named_accounts = 20;

double seconds_of(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

gateway_metrics::gateway_metrics()
    : requests_(prometheus::BuildCounter()
                    .Name("poplar_gateway_requests_total")
                    .Help("Requests that ended, by outcome")
                    .Register(observe::metrics())),
      attempts_(prometheus::BuildCounter()
                    .Name("poplar_gateway_tries_total")
                    .Help("Tries at upstreams, by result")
                    .Register(observe::metrics())),
      request_seconds_(prometheus::BuildHistogram()
                           .Name("poplar_gateway_request_seconds")
                           .Help("Time from a request to the end of its answer")
                           .Register(observe::metrics())),
      first_event_seconds_(prometheus::BuildHistogram()
                               .Name("poplar_gateway_first_event_seconds")
                               .Help("Time from a request to its first event")
                               .Register(observe::metrics())),
      account_requests_(
          prometheus::BuildCounter()
              .Name("poplar_gateway_account_requests_total")
              .Help("Requests that ended, by client account and outcome")
              .Register(observe::metrics())),
      account_seconds_(
          prometheus::BuildHistogram()
              .Name("poplar_gateway_account_request_seconds")
              .Help("Time from a request to the end of its answer, by client "
                    "account")
              .Register(observe::metrics())),
      labels_(max_named_accounts,
              [this](const std::string& label) { drop_account(label); }),
      open_requests_(prometheus::BuildGauge()
                         .Name("poplar_gateway_open_requests")
                         .Help("Requests without a final answer")
                         .Register(observe::metrics())
                         .Add({})),
      ended_callers_(prometheus::BuildCounter()
                         .Name("poplar_gateway_ended_callers_total")
                         .Help("Requests and connections of callers that were "
                               "ended because of a limit, by its setting")
                         .Register(observe::metrics())),
      caller_bytes_(prometheus::BuildGauge()
                        .Name("poplar_gateway_caller_bytes")
                        .Help("Bytes that callers have sent and that are held, "
                              "and of answers that they have not read")
                        .Register(observe::metrics())
                        .Add({})),
      held_requests_(prometheus::BuildGauge()
                         .Name("poplar_gateway_held_requests")
                         .Help("Requests that are refused, since upstreams "
                               "crashed under them")
                         .Register(observe::metrics())
                         .Add({}))
{
}

void gateway_metrics::record_request(const std::string& service,
                                     unsigned priority,
                                     const std::string& outcome,
                                     duration elapsed)
{
    const std::string priority_text = std::to_string(priority);
    requests_
        .Add({{"service", service},
              {"priority", priority_text},
              {"outcome", outcome}})
        .Increment();
    request_seconds_
        .Add({{"service", service}, {"priority", priority_text}},
             latency_bounds)
        .Observe(seconds_of(elapsed));
}

void gateway_metrics::record_first_event(const std::string& service,
                                         unsigned priority, duration elapsed)
{
    first_event_seconds_
        .Add({{"service", service}, {"priority", std::to_string(priority)}},
             latency_bounds)
        .Observe(seconds_of(elapsed));
}

void gateway_metrics::record_attempt(const std::string& service,
                                     const std::string& result)
{
    attempts_.Add({{"service", service}, {"result", result}}).Increment();
}

void gateway_metrics::record_account(const account_name& account,
                                     const std::string& outcome,
                                     duration elapsed)
{
    const std::string label = labels_.count(account);
    account_metrics& it = accounts_[label];
    prometheus::Counter*& counter = it.requests[outcome];
    if (!counter)
        counter =
            &account_requests_.Add({{"account", label}, {"outcome", outcome}});
    if (!it.seconds)
        it.seconds =
            &account_seconds_.Add({{"account", label}}, latency_bounds);
    counter->Increment();
    it.seconds->Observe(seconds_of(elapsed));
}

void gateway_metrics::drop_account(const std::string& label)
{
    const auto it = accounts_.find(label);
    if (it == accounts_.end())
        return;
    for (const auto& [outcome, counter] : it->second.requests)
        account_requests_.Remove(counter);
    account_seconds_.Remove(it->second.seconds);
    accounts_.erase(it);
}

void gateway_metrics::set_open_requests(unsigned n)
{
    open_requests_.Set(n);
}

void gateway_metrics::record_ended_caller(const std::string& limit)
{
    ended_callers_.Add({{"limit", limit}}).Increment();
}

void gateway_metrics::set_caller_bytes(std::size_t n)
{
    caller_bytes_.Set(double(n));
}

void gateway_metrics::set_held_requests(std::size_t n)
{
    held_requests_.Set(double(n));
}

} // namespace poplar::gateway
