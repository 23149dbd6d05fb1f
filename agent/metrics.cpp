#include "agent/metrics.hpp"

#include "observe/metrics.hpp"

namespace poplar::agent
{

namespace
{

/// Ranks come from entries; more label values than this are not kept.
constexpr std::uint32_t most_ranks = 16;

prometheus::Family<prometheus::Counter>& counter(const char* name,
                                                 const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(
        observe::metrics());
}

prometheus::Family<prometheus::Histogram>& histogram(const char* name,
                                                     const char* help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(
        observe::metrics());
}

std::string rank_label(std::uint32_t rank)
{
    return rank < most_ranks ? std::to_string(rank) : "other";
}

double seconds_of(duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// Seconds; close together around the first-token target of 0.36 s.
prometheus::Histogram::BucketBoundaries first_token_bounds()
{
    return {0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.36, 0.5, 0.75, 1, 2, 5, 10, 30};
}

prometheus::Histogram::BucketBoundaries stream_bounds()
{
    return {0.1, 0.25, 0.5, 1, 2, 5, 10, 20, 30, 60, 120, 300, 600};
}

} // namespace

agent_metrics::agent_metrics()
    : first_token_(histogram("poplar_agent_first_token_seconds",
                             "Time from open_stream to the first token")),
      streams_(histogram("poplar_agent_stream_seconds",
                         "Time from open_stream to the end of the stream")),
      stream_ends_(counter("poplar_agent_stream_ends_total",
                           "Streams by the reason of their end")),
      refusals_(counter("poplar_agent_refusals_total",
                        "Streams and calls refused, by reason")),
      cancels_(counter("poplar_agent_cancels_total",
                       "Streams cancelled at the engine, by cause")),
      orders_(counter("poplar_agent_orders_total",
                      "Decisions about orders, by kind")),
      calls_(counter("poplar_agent_calls_total",
                     "Calls to a plain service, by the state reported"))
{
}

void agent_metrics::observe_first_token(std::uint32_t rank, duration d)
{
    first_token_.Add({{"rank", rank_label(rank)}}, first_token_bounds())
        .Observe(seconds_of(d));
}

void agent_metrics::observe_stream(std::uint32_t rank, duration d)
{
    streams_.Add({{"rank", rank_label(rank)}}, stream_bounds())
        .Observe(seconds_of(d));
}

void agent_metrics::count_stream_end(const std::string& reason)
{
    stream_ends_.Add({{"reason", reason}}).Increment();
}

void agent_metrics::count_refusal(const std::string& reason)
{
    refusals_.Add({{"reason", reason}}).Increment();
}

void agent_metrics::count_cancel(const std::string& cause)
{
    cancels_.Add({{"cause", cause}}).Increment();
}

void agent_metrics::count_order(const std::string& outcome)
{
    orders_.Add({{"kind", outcome}}).Increment();
}

void agent_metrics::count_call(const std::string& state)
{
    calls_.Add({{"state", state}}).Increment();
}

} // namespace poplar::agent
