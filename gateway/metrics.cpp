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
      open_requests_(prometheus::BuildGauge()
                         .Name("poplar_gateway_open_requests")
                         .Help("Requests without a final answer")
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

void gateway_metrics::set_open_requests(unsigned n)
{
    open_requests_.Set(n);
}

} // namespace poplar::gateway
