#include "entry/entry_metrics.hpp"

#include "observe/metrics.hpp"

namespace poplar::entry
{

namespace
{

using boundaries = prometheus::Histogram::BucketBoundaries;

/// In seconds, with fine steps around a first-token target of 0.36 s.
const boundaries first_token_bounds{0.01, 0.03, 0.06, 0.1, 0.15, 0.2,
                                    0.25, 0.3,  0.36, 0.5, 0.75, 1,
                                    1.5,  2.5,  5,    10,  30};
/// In seconds, with fine steps around a token interval target of 27 ms.
const boundaries interval_bounds{0.002, 0.005, 0.01, 0.015, 0.02, 0.027, 0.035,
                                 0.05,  0.1,   0.25, 0.5,   1,    2.5,   5};

prometheus::Family<prometheus::Histogram>& histogram(const char* name,
                                                     const char* help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(
        observe::metrics());
}

prometheus::Family<prometheus::Counter>& counter(const char* name,
                                                 const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(
        observe::metrics());
}

} // namespace

entry_metrics::entry_metrics(unsigned tenant_labels)
    : tenant_labels_(tenant_labels),
      first_token_(histogram("poplar_entry_first_token_seconds",
                             "Time from arrival to the first token")),
      token_interval_(histogram("poplar_entry_token_interval_seconds",
                                "Time between tokens of one answer")),
      failures_(counter("poplar_entry_failures_total",
                        "Refused and failed requests by type")),
      retries_(counter("poplar_entry_retries_total",
                       "Dispatches after a refusal by an agent")
                   .Add({})),
      resumes_(counter("poplar_entry_resumes_total",
                       "Dispatches after the loss of an engine")
                   .Add({})),
      dropped_frames_(counter("poplar_entry_dropped_frames_total",
                              "Late, repeated and misdirected frames")
                          .Add({})),
      open_(prometheus::BuildGauge()
                .Name("poplar_entry_open_requests")
                .Help("Requests without their final answer")
                .Register(observe::metrics())
                .Add({}))
{
}

std::string entry_metrics::label_of(const tenant_id& tenant)
{
    absl::MutexLock lock(&mutex_);
    if (tenants_.contains(tenant))
        return tenant.value;
    if (tenants_.size() >= tenant_labels_)
        return "other";
    tenants_.insert(tenant);
    return tenant.value;
}

stream_histograms entry_metrics::histograms(const std::string& rank,
                                            const tenant_id& tenant)
{
    const prometheus::Labels labels{{"rank", rank},
                                    {"tenant", label_of(tenant)}};
    return {&first_token_.Add(labels, first_token_bounds),
            &token_interval_.Add(labels, interval_bounds)};
}

void entry_metrics::failed(failure_kind kind)
{
    failures_.Add({{"type", std::string(http_error_of(kind).type)}})
        .Increment();
}

void entry_metrics::retried()
{
    retries_.Increment();
}

void entry_metrics::resumed()
{
    resumes_.Increment();
}

void entry_metrics::frame_dropped()
{
    dropped_frames_.Increment();
}

void entry_metrics::open_requests(double count)
{
    open_.Set(count);
}

} // namespace poplar::entry
